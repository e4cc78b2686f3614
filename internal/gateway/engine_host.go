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

// engineEvent brings one event to the engine, which asks for what follows through out. It runs under the mutex.
type engineEvent func(now time.Duration, out policy.Actions)

// engineHost runs the engine. Its events come from many goroutines; the mutex makes them one sequence. What an event
// leaves to do that does I/O runs after the mutex is released.
type engineHost struct {
	clock
	logger  *slog.Logger
	actions policy.Actions // carries out what the engine asks for, under the mutex

	mu          sync.Mutex
	engine      *policy.Engine // guarded by mu, as all below
	deferred    []func()       // what the event under way leaves to do without the mutex
	isClosed    bool           // no more events
	timers      timerQueue
	nextTimer   *time.Timer // fires at nextTimerAt
	nextTimerAt time.Duration
	lateness    lateness.Estimator // of what is due at a time

	lateBy atomic.Int64 // the estimate of lateness, in ns
}

// noTimer is the reading at which no timer fires.
const noTimer = time.Duration(math.MaxInt64)

// start has timers fire from now on.
func (h *engineHost) start() {
	h.nextTimer = time.AfterFunc(time.Hour, h.fireTimers)
	h.nextTimerAt = noTimer
}

// handleEvent runs one event of the engine, then what its actions left to do.
func (h *engineHost) handleEvent(event engineEvent) {
	h.mu.Lock()
	h.runEvent(event)
	deferred := h.takeDeferred()
	h.mu.Unlock()
	runAll(deferred)
}

// afterEvent has a function run when the event under way is over, without the mutex. Called under the mutex.
func (h *engineHost) afterEvent(function func()) { h.deferred = append(h.deferred, function) }

// takeDeferred returns what the events so far left to do, for when the mutex is released. Called under the mutex.
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

// runEvent runs an event unless the host is closed. A panic of the engine is logged, with the stack that names its
// cause, and costs the one event. Called under the mutex.
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

// close ends the events, and runs last under the mutex.
func (h *engineHost) close(last func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isClosed = true
	h.nextTimer.Stop()
	last()
}

// subsetServers returns the IDs of the servers to which idle connections are kept; nil: all.
func (h *engineHost) subsetServers() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine.SubsetServerIDs()
}

// setTimer has the engine's timer with a token fire after a time. Called under the mutex.
func (h *engineHost) setTimer(token uint64, after time.Duration) {
	now := h.now()
	h.timers.push(timer{now + after, token})
	h.scheduleTimer(now)
}

// fireTimers brings the engine the timers that are due.
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

// recordLateness records that what was due at a time comes now. Called under the mutex.
func (h *engineHost) recordLateness(due, now time.Duration) {
	h.lateBy.Store(int64(h.lateness.Record(due, now)))
}

// margin decides by how much earlier than its timeout a request is given up, so that its answer is not late.
func (h *engineHost) margin(timeout time.Duration) time.Duration {
	return lateness.Margin(time.Duration(h.lateBy.Load()), timeout)
}

// scheduleTimer has fireTimers called at the earliest timer. Called under the mutex.
func (h *engineHost) scheduleTimer(now time.Duration) {
	if len(h.timers) > 0 && h.timers[0].at < h.nextTimerAt {
		h.nextTimerAt = h.timers[0].at
		h.nextTimer.Reset(max(h.nextTimerAt-now, 0))
	}
}
