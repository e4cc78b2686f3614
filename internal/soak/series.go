package soak

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

// playSeries sends the signals of the plan, and waits until every process has ended.
func (r *run) playSeries(ctx context.Context, first *process) error {
	gap := r.plan.Gap
	last := first
	var err error
	switch r.plan.Series {
	case seriesTerm:
		r.tellLast(first)
	case seriesTermTwice:
		r.tellLast(first)
		sleep(ctx, gap)
		first.signal(syscall.SIGTERM)
	case seriesHangupTerm:
		first.signal(syscall.SIGHUP)
		sleep(ctx, gap/100)
		r.tellLast(first)
	case seriesTermHangup:
		r.tellLast(first)
		sleep(ctx, gap/100)
		first.signal(syscall.SIGHUP)
	case seriesRestarts:
		last, err = r.playRestarts(ctx, first)
	case seriesUpgrade:
		last, err = r.upgrade(ctx, first)
	case seriesLateHello:
		err = r.playLateHello(ctx, first)
	case seriesLostGo:
		last, err = r.playLostGo(ctx, first)
	case seriesUpgradeTwice:
		if last, err = r.upgrade(ctx, first); err == nil {
			last, err = r.upgrade(ctx, last)
		}
	default:
		last, err = r.playFailingUpgrade(ctx, first)
	}
	if err != nil {
		return err
	}
	if last.toldToEnd.IsZero() && !last.hasExited() {
		r.tellLast(last)
	}
	r.awaitEnd(last)
	for _, p := range r.processes {
		if !p.hasExited() {
			r.awaitEnd(p)
		}
	}
	return nil
}

// playRestarts ends a process and starts the next, twice. With an inherited socket clients wait in its backlog
// meanwhile.
func (r *run) playRestarts(ctx context.Context, p *process) (last *process, err error) {
	for range 2 {
		before := p
		r.tell(p)
		if r.socket == nil { // else clients wait in its backlog
			time.Sleep(balancerDelay)
			r.acceptsClients.Store(false)
		}
		r.awaitEnd(p)
		if p, err = r.start(); err != nil {
			return nil, err
		}
		if !r.awaitReady(p) {
			return p, nil
		}
		if r.socket != nil {
			r.outages = append(r.outages, interval{before.servesUntil().Add(-crossTolerance), time.Now()})
		}
		r.acceptsClients.Store(true)
		sleep(ctx, afterHandover+r.plan.Gap)
	}
	return p, nil
}

// upgrade starts a successor and ends the old process for it.
func (r *run) upgrade(ctx context.Context, old *process) (next *process, err error) {
	if next, err = r.startSuccessor(old); err != nil {
		return nil, err
	}
	sleep(ctx, r.plan.Gap/10)
	r.tell(old)
	r.awaitReady(next)
	sleep(ctx, afterHandover)
	return next, nil
}

// playFailingUpgrade disturbs an upgrade, and returns the process that serves afterwards.
func (r *run) playFailingUpgrade(ctx context.Context, old *process) (last *process, err error) {
	next, err := r.startSuccessor(old)
	if err != nil {
		return nil, err
	}
	switch r.plan.Series {
	case seriesUpgradeBoth:
		r.tell(old)
		r.awaitStep(ctx, old, next)
		r.tellLast(next)
		return next, nil
	case seriesSuccessorEnds:
		r.tell(next)
		sleep(ctx, r.plan.StepGap)
		r.tellLast(old)
		return old, nil
	case seriesSuccessorStops:
		began := time.Now()
		if r.plan.Step == stepNone {
			next.signal(syscall.SIGSTOP)
		}
		sleep(ctx, r.plan.StepGap)
		r.tell(old)
		if r.plan.Step != stepNone {
			r.awaitStep(ctx, old, next)
			next.signal(syscall.SIGSTOP)
		}
		sleep(ctx, r.plan.Stop)
		next.signal(syscall.SIGCONT)
		r.awaitReady(next)
		r.outages = append(r.outages, interval{began, time.Now()})
		sleep(ctx, afterHandover)
		return next, nil
	case seriesSuccessorDies:
		r.tell(old)
		r.awaitStep(ctx, old, next)
		next.signal(syscall.SIGKILL)
		<-next.exited
		return r.replaceSuccessor(ctx, old, next)
	case seriesOldDies:
		old.signal(syscall.SIGKILL)
		<-old.exited
		r.awaitReady(next)
		sleep(ctx, afterHandover)
		return next, nil
	}
	return nil, fmt.Errorf("series %q is unknown", r.plan.Series)
}

// awaitStep waits for the plan's step of a handover, and a moment.
func (r *run) awaitStep(ctx context.Context, old, next *process) {
	switch r.plan.Step {
	case stepHandingOver:
		old.awaitStep(string(stepHandingOver))
	case stepReady:
		next.awaitStep(string(stepReady))
	}
	sleep(ctx, r.plan.StepGap)
}

// playLateHello has a successor that dies: its hello, its end and the signal to the old process come while that one is
// stopped, so that all are in its sockets as it runs on. The old process keeps its clients.
func (r *run) playLateHello(ctx context.Context, old *process) error {
	successor, err := r.connectAsSuccessor()
	if err != nil {
		return err
	}
	defer successor.Close()
	sleep(ctx, r.plan.Gap)
	began := time.Now()
	old.signal(syscall.SIGSTOP)
	if _, err := successor.Write([]byte(handoverHello)); err != nil {
		return fmt.Errorf("as a successor: %w", err)
	}
	successor.Close()
	r.tellLast(old)
	sleep(ctx, r.plan.StepGap)
	old.signal(syscall.SIGCONT)
	r.outages = append(r.outages, interval{began, time.Now()})
	return nil
}

// playLostGo restarts a node whose predecessor, in its successor's eyes, dies once it has handed the gossip socket over.
// The node starts from nothing, and gossips.
func (r *run) playLostGo(ctx context.Context, first *process) (last *process, err error) {
	r.tell(first)
	r.awaitEnd(first) // clients wait in the backlog of the inherited socket
	listener, err := net.ListenUnix("unixpacket", r.handoverSocket())
	if err != nil {
		return nil, err
	}
	handover := make(chan error, 1)
	go func() { handover <- r.abandonedHandover(listener) }()
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
	r.outages = append(r.outages, interval{first.servesUntil().Add(-crossTolerance), time.Now()})
	r.peer.forget()
	if !r.peer.hearsNode(gossipTimeout) {
		r.problems = append(r.problems, fmt.Sprintf("process %d sends no gossip within %v", next.number, gossipTimeout))
	}
	sleep(ctx, afterHandover)
	return next, nil
}

// gossipTimeout is far more than a node with clients is silent for.
const gossipTimeout = 3 * time.Second

// replaceSuccessor returns the process that serves after a successor was killed: the old one, which has taken back what
// it had handed over, or a new one if the successor had taken over.
func (r *run) replaceSuccessor(ctx context.Context, old, killed *process) (*process, error) {
	if !killed.hasLogged("ready") && old.awaitLog("handover failed", handoverTimeout) {
		r.endClients(old)
		return old, nil
	}
	third, err := r.start()
	if err != nil {
		return nil, err
	}
	r.awaitReady(third)
	r.outages = append(r.outages, interval{killed.killedAt, time.Now()})
	sleep(ctx, afterHandover)
	return third, nil
}

// handoverTimeout is more than an old process waits for its successor.
const handoverTimeout = 2500 * time.Millisecond

// servesUntil is when a process stops taking requests that it need not answer: half a second after it was told to end.
func (p *process) servesUntil() time.Time { return p.toldToEnd.Add(drainDelay) }

// drainDelay is for how long a process that was told to end goes on accepting, whatever comes.
const drainDelay = 500 * time.Millisecond
