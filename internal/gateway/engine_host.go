package gateway

import (
	"container/heap"
	"log/slog"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/logging"
	"mulleinmux/policy"
	"mulleinmux/policy/lateness"
)

// engineEvent passes one event to the engine, which requests actions through out. It runs while engineHost.mu is held.
type engineEvent func(now time.Duration, out policy.Actions)

// engineHost runs the engine. Its mutex serializes events from many goroutines. Actions that do I/O are deferred until
// the mutex is released.
type engineHost struct {
	clock
	logger  *slog.Logger
	actions policy.Actions // carries out the engine's actions; called with mu held

	mu          sync.Mutex
	engine      *policy.Engine // guarded by mu, as are all fields down to lateness
	deferred    []func()       // functions to run after mu is released
	isClosed    bool           // events are ignored
	timers      timerQueue
	nextTimer   *time.Timer // fires at nextTimerAt
	nextTimerAt time.Duration
	lateness    lateness.Estimator // estimates how late timers and timeouts are handled

	latenessNanos atomic.Int64 // current estimate of lateness
}

// noTimer is the value of nextTimerAt when no timer is set.
const noTimer = time.Duration(math.MaxInt64)

// start creates the timer that runs fireTimers. Timers fire only after start was called.
func (h *engineHost) start() {
	h.nextTimer = time.AfterFunc(time.Hour, h.fireTimers)
	h.nextTimerAt = noTimer
}

// handleEvent runs one event of the engine, then the functions that its actions deferred.
func (h *engineHost) handleEvent(event engineEvent) {
	h.mu.Lock()
	h.runEvent(event)
	deferred := h.takeDeferred()
	h.mu.Unlock()
	runAll(deferred)
}

// afterEvent defers a function until the current event has ended and mu is released. The caller must hold mu.
func (h *engineHost) afterEvent(function func()) { h.deferred = append(h.deferred, function) }

// takeDeferred returns and clears the deferred functions, which the caller runs after it releases mu. The caller must
// hold mu.
func (h *engineHost) takeDeferred() []func() {
	deferred := h.deferred
	h.deferred = nil
	return deferred
}

func runAll(functions []func()) {
	for _, function := range functions {
		function()
	}
}

// runEvent runs an event unless the host is closed. It recovers from a panic of the engine and logs the panic with its
// stack, so that only this event is lost. The caller must hold mu.
func (h *engineHost) runEvent(event engineEvent) {
	if h.isClosed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			stack := debug.Stack()
			h.afterEvent(func() { logging.Panic(h.logger, p, stack) })
		}
	}()
	event(h.now(), h.actions)
}

// close stops the processing of events and timers and calls last while holding mu.
func (h *engineHost) close(last func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isClosed = true
	h.nextTimer.Stop()
	last()
}

// subsetServers returns the IDs of the servers to which idle connections are kept; nil means all servers.
func (h *engineHost) subsetServers() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine.SubsetServerIDs()
}

// setTimer schedules the engine's timer with the given token to fire after the given time. The caller must hold mu.
func (h *engineHost) setTimer(token uint64, after time.Duration) {
	now := h.now()
	h.timers.push(timer{now + after, token})
	h.scheduleTimer(now)
}

// fireTimers passes the timers that are due to the engine.
func (h *engineHost) fireTimers() {
	h.handleEvent(func(now time.Duration, out policy.Actions) {
		if len(h.timers) > 0 && h.timers[0].at <= now {
			h.recordLateness(h.timers[0].at, now)
		}
		for len(h.timers) > 0 && h.timers[0].at <= now {
			token := h.timers[0].token
			n := len(h.timers) - 1
			h.timers[0] = h.timers[n]
			if h.timers = h.timers[:n]; n > 0 {
				heap.Fix(&h.timers, 0)
			}
			h.engine.TimerFired(now, token, out)
		}
		h.nextTimerAt = noTimer
		h.scheduleTimer(now)
	})
}

// recordLateness updates the estimate of lateness with an event that was due at one time and is handled now. The caller
// must hold mu.
func (h *engineHost) recordLateness(due, now time.Duration) {
	h.latenessNanos.Store(int64(h.lateness.Record(due, now)))
}

// latenessMargin returns the time by which a timeout is shortened to compensate for the current estimate of lateness,
// so that the response to the client is not late.
func (h *engineHost) latenessMargin(timeout time.Duration) time.Duration {
	return lateness.Margin(time.Duration(h.latenessNanos.Load()), timeout)
}

// scheduleTimer makes sure that fireTimers runs when the earliest timer is due. The caller must hold mu.
func (h *engineHost) scheduleTimer(now time.Duration) {
	if len(h.timers) > 0 && h.timers[0].at < h.nextTimerAt {
		h.nextTimerAt = h.timers[0].at
		h.nextTimer.Reset(max(h.nextTimerAt-now, 0))
	}
}
