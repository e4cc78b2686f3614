package gateway

import (
	"fmt"
	"runtime/debug"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
)

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (in *Instance) now() time.Duration {
	return time.Duration(in.startedAt.UnixNano()) + time.Since(in.startedAt)
}

// handleEvent runs one event of the engine, then what its actions left to do.
func (in *Instance) handleEvent(f func(now time.Duration, out policy.Actions)) {
	in.mu.Lock()
	in.runEvent(f)
	after := in.deferred
	in.deferred = nil
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
}

// runEvent runs an event. A panic of the engine is logged, with the stack that names its
// cause, and costs the one event.
func (in *Instance) runEvent(f func(now time.Duration, out policy.Actions)) {
	if in.isClosed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
			in.deferred = append(in.deferred, func() { in.log.Print(text) })
		}
	}()
	f(in.now(), (*actions)(in))
}

// handleRequestEvent runs an event of one request and takes what comes next for it.
func (in *Instance) handleRequestEvent(fl *pendingRequest, f func(now time.Duration, out policy.Actions)) (next attempt, pending, done bool) {
	in.mu.Lock()
	in.runEvent(f)
	after := in.deferred
	in.deferred = nil
	if in.isClosed {
		in.answer(fl, failed, 0)
	}
	next, pending, done = fl.next, fl.hasNext, fl.isAnswered
	if fl.hasNext = false; pending && !done {
		fl.current = &attemptControl{}
		fl.attempts++
	}
	fl.isWaiting = !pending && !done
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
	return next, pending, done
}

// actions carries out what the module asks for. All are called under the mutex.
type actions Instance

// SendAttempt leaves word of the request's next attempt, bounded by its timeout and by the
// client's deadline. The request's goroutine begins it once no other is out.
func (a *actions) SendAttempt(id, server string, timeout time.Duration) {
	in := (*Instance)(a)
	fl := in.requests[id]
	if fl == nil || fl.isAnswered || fl.hasNext {
		in.logLater("module: send for %s, which is not open for one", id)
		return
	}
	until := fl.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	fl.next, fl.hasNext = attempt{server, until}, true
	in.wakeRequest(fl)
}

func (a *actions) RejectRequest(id string, retryAfter time.Duration) {
	if fl := a.requests[id]; fl != nil {
		(*Instance)(a).answer(fl, rejected, retryAfter)
	}
}

func (a *actions) FailRequest(id string) {
	if fl := a.requests[id]; fl != nil {
		(*Instance)(a).answer(fl, failed, 0)
	}
}

func (a *actions) CancelAttempt(id string, attempt int) {
	if fl := a.requests[id]; fl != nil && fl.current != nil && attempt == fl.attempts-1 {
		a.deferred = append(a.deferred, fl.current.abort)
	}
}

func (a *actions) SetTimer(token uint64, after time.Duration) {
	in := (*Instance)(a)
	now := in.now()
	in.timers.push(timer{now + after, token})
	in.scheduleTimer(now)
}

func (a *actions) CheckHealth(server string) {
	in := (*Instance)(a)
	in.healthChecks.Add(1)
	go in.checkHealth(server)
}

func (a *actions) SendGossip(peer int, message []byte) {
	in := (*Instance)(a)
	message = append([]byte(nil), message...)
	if in.peers != nil {
		in.deferred = append(in.deferred, func() { in.peers.Tell(peer, message, in.log.Printf) })
	}
}

// WatchEndpoints has nothing to do: the lists are always watched.
func (a *actions) WatchEndpoints(bool) {}

func (a *actions) Log(text string) { (*Instance)(a).logLater("module: %s", text) }

func (in *Instance) logLater(format string, args ...any) {
	in.deferred = append(in.deferred, func() { in.log.Printf(format, args...) })
}

// gossipReceived hands a message of a peer on.
func (in *Instance) gossipReceived(from int, message []byte) {
	in.handleEvent(func(now time.Duration, out policy.Actions) { in.engine.GossipReceived(now, from, message, out) })
}

// checkHealth asks a server for its load.
func (in *Instance) checkHealth(id string) {
	defer in.healthChecks.Done()
	var rep response
	sent := in.now()
	result := in.servers.exchange(in.ctx, &attemptControl{}, id, time.Now().Add(healthCheckTimeout), false, &rep, func(b []byte) []byte {
		return append(b, "GET "+healthCheckPath+" HTTP/1.1\r\nHost: hall\r\n\r\n"...)
	})
	report := rep.report()
	if report == nil && result == policy.OK {
		report = loadreport.Parse(string(rep.body))
	}
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		if !isRemoteServer(id) || result != policy.OK {
			in.recordSiteHealth(now, id, result, sent)
		}
		in.engine.HealthCheckCompleted(now, id, result, report, out)
	})
}
