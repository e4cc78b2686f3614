package soak

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

// runSignalSeries sends the signals of the plan, and waits until every process has exited.
func (r *run) runSignalSeries(ctx context.Context, first *process) error {
	gap := r.plan.SignalGap
	last := first
	var err error
	switch r.plan.Series {
	case seriesTerm:
		r.terminateLast(first)
	case seriesIdle:
		if err = r.awaitIdle(ctx, first); err == nil {
			r.terminateLast(first)
		}
	case seriesTermTwice:
		r.terminateLast(first)
		sleep(ctx, gap)
		first.signal(syscall.SIGTERM)
	case seriesHangupTerm:
		first.signal(syscall.SIGHUP)
		sleep(ctx, gap/100)
		r.terminateLast(first)
	case seriesTermHangup:
		r.terminateLast(first)
		sleep(ctx, gap/100)
		first.signal(syscall.SIGHUP)
	case seriesRestarts:
		last, err = r.runRestarts(ctx, first)
	case seriesUpgrade:
		last, err = r.upgrade(ctx, first)
	case seriesLateHello:
		err = r.runLateHello(ctx, first)
	case seriesPredecessorLost:
		last, err = r.runPredecessorLost(ctx, first)
	case seriesUpgradeTwice:
		if last, err = r.upgrade(ctx, first); err == nil {
			last, err = r.upgrade(ctx, last)
		}
	default:
		last, err = r.runDisturbedUpgrade(ctx, first)
	}
	if err != nil {
		return err
	}
	if last.sigtermAt.IsZero() && !last.hasExited() {
		r.terminateLast(last)
	}
	r.awaitTermination(last)
	for _, p := range r.processes {
		if !p.hasExited() {
			r.awaitTermination(p)
		}
	}
	return nil
}

// awaitIdle stops all clients, and counts the descriptors that a process then holds.
func (r *run) awaitIdle(ctx context.Context, p *process) error {
	r.stopClients()
	sleep(ctx, quietTime)
	counts, err := r.countDescriptors(p)
	p.atIdle, p.idleAt = &counts, time.Now()
	return err
}

// runRestarts terminates a process and starts the next, twice. Between them, clients wait in the backlog of an
// inherited socket. Without one, they are blocked from connecting.
func (r *run) runRestarts(ctx context.Context, p *process) (last *process, err error) {
	for range 2 {
		before := p
		r.terminate(p)
		if r.socket == nil { // otherwise clients wait in the socket's backlog
			time.Sleep(balancerDelay)
			r.clientsMayConnect.Store(false)
		}
		r.awaitTermination(p)
		if p, err = r.start(); err != nil {
			return nil, err
		}
		if !r.awaitReady(p) {
			return p, nil
		}
		if r.socket != nil {
			r.outages = append(r.outages, interval{before.servesUntil().Add(-drainTolerance), time.Now()})
		}
		r.clientsMayConnect.Store(true)
		sleep(ctx, servingTime+r.plan.SignalGap)
	}
	return p, nil
}

// upgrade starts a successor, terminates the old process and waits until the successor is ready.
func (r *run) upgrade(ctx context.Context, old *process) (next *process, err error) {
	if next, err = r.startSuccessor(old); err != nil {
		return nil, err
	}
	sleep(ctx, r.plan.SignalGap/10)
	r.terminate(old)
	r.awaitReady(next)
	sleep(ctx, servingTime)
	return next, nil
}

// runDisturbedUpgrade runs an upgrade in which a process is stopped, killed or terminated. It returns the
// process that serves afterwards.
func (r *run) runDisturbedUpgrade(ctx context.Context, old *process) (last *process, err error) {
	next, err := r.startSuccessor(old)
	if err != nil {
		return nil, err
	}
	switch r.plan.Series {
	case seriesUpgradeBoth:
		r.terminate(old)
		r.awaitStep(ctx, old, next)
		r.terminateLast(next)
		return next, nil
	case seriesSuccessorTerminated:
		r.terminate(next)
		sleep(ctx, r.plan.StepGap)
		r.terminateLast(old)
		return old, nil
	case seriesSuccessorStopped:
		began := time.Now()
		if r.plan.Step == stepNone {
			next.signal(syscall.SIGSTOP)
		}
		sleep(ctx, r.plan.StepGap)
		r.terminate(old)
		if r.plan.Step != stepNone {
			r.awaitStep(ctx, old, next)
			next.signal(syscall.SIGSTOP)
		}
		sleep(ctx, r.plan.StopDuration)
		next.signal(syscall.SIGCONT)
		r.awaitReady(next)
		if old.hasLogged(msgHandoverFailed) { // it has served until the end of its drain
			began = old.servesUntil().Add(-drainTolerance)
		}
		r.outages = append(r.outages, interval{began, time.Now()})
		sleep(ctx, servingTime)
		return next, nil
	case seriesSuccessorKilled:
		r.terminate(old)
		r.awaitStep(ctx, old, next)
		next.signal(syscall.SIGKILL)
		<-next.exited
		return r.replaceSuccessor(ctx, old, next)
	case seriesOldKilled:
		old.signal(syscall.SIGKILL)
		<-old.exited
		r.awaitReady(next)
		sleep(ctx, servingTime)
		return next, nil
	}
	return nil, fmt.Errorf("soak: series %q has no implementation", r.plan.Series)
}

// awaitStep waits for the plan's handover step, and then for plan.StepGap.
func (r *run) awaitStep(ctx context.Context, old, next *process) {
	switch r.plan.Step {
	case stepHandingOver:
		old.awaitStep(string(stepHandingOver))
	case stepReady:
		next.awaitStep(string(stepReady))
	}
	sleep(ctx, r.plan.StepGap)
}

// runLateHello runs a handover to a successor that exits early. The successor's hello, its disconnect and the SIGTERM
// to the old process all arrive while the old process is stopped, so all are pending when it continues. The old process
// must keep serving its clients.
func (r *run) runLateHello(ctx context.Context, old *process) error {
	successor, err := r.connectAsSuccessor()
	if err != nil {
		return err
	}
	defer successor.Close()
	sleep(ctx, r.plan.SignalGap)
	began := time.Now()
	old.signal(syscall.SIGSTOP)
	if _, err := successor.Write([]byte(handoverHello)); err != nil {
		return fmt.Errorf("soak: sending the hello of a successor: %w", err)
	}
	successor.Close()
	r.terminateLast(old)
	sleep(ctx, r.plan.StepGap)
	old.signal(syscall.SIGCONT)
	r.outages = append(r.outages, interval{began, time.Now()})
	return nil
}

// runPredecessorLost restarts a node while the tool acts as its predecessor, which exits after handing over the gossip
// socket. The node must start without inherited state, and must send gossip.
func (r *run) runPredecessorLost(ctx context.Context, first *process) (last *process, err error) {
	r.terminate(first)
	r.awaitTermination(first) // clients wait in the backlog of the inherited socket
	listener, err := net.ListenUnix("unixpacket", r.handoverSocket())
	if err != nil {
		return nil, err
	}
	handover := make(chan error, 1)
	go func() { handover <- r.abandonHandover(listener) }()
	next, err := r.start()
	if err != nil {
		listener.Close()
		<-handover
		return nil, err
	}
	if err := <-handover; err != nil {
		return nil, err
	}
	if !r.awaitReady(next) {
		return next, nil
	}
	r.outages = append(r.outages, interval{first.servesUntil().Add(-drainTolerance), time.Now()})
	r.peer.discardReceived()
	if !r.peer.awaitNodeMessage(gossipTimeout) {
		r.processProblems = append(r.processProblems,
			fmt.Sprintf("process %d sent no gossip within %v", next.number, gossipTimeout))
	}
	sleep(ctx, servingTime)
	return next, nil
}

// gossipTimeout is much longer than the gossip interval of a node with clients.
const gossipTimeout = 3 * time.Second

// replaceSuccessor returns the process that serves after a successor was killed: the old process if it reports that the
// handover failed and so keeps serving, or a new process if the successor had already taken over.
func (r *run) replaceSuccessor(ctx context.Context, old, killed *process) (*process, error) {
	if !killed.hasLogged("ready") && old.awaitLog(msgHandoverFailed, handoverTimeout) {
		r.blockConnectsAfterSigterm(old)
		return old, nil
	}
	third, err := r.start()
	if err != nil {
		return nil, err
	}
	r.awaitReady(third)
	r.outages = append(r.outages, interval{killed.killedByPlanAt, time.Now()})
	sleep(ctx, servingTime)
	return third, nil
}

// msgHandoverFailed is logged by a process that keeps its clients since its successor has not taken over.
const msgHandoverFailed = "handover failed"

// handoverTimeout is longer than an old process waits for its successor.
const handoverTimeout = 2500 * time.Millisecond

// servesUntil returns the earliest time at which a process may stop accepting requests: drainDelay after its SIGTERM.
func (p *process) servesUntil() time.Time { return p.sigtermAt.Add(drainDelay) }

// drainDelay is how long a process keeps accepting requests after SIGTERM at least.
const drainDelay = 500 * time.Millisecond
