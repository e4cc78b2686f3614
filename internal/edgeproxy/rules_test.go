package edgeproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/policy"
)

const ms = time.Millisecond

// Connections that are silent or idle for long are evicted first, those on which a request is being received last, and
// those with an active request never. With evictsOldest all but the latter have the same priority.
func TestEvictionPriority(t *testing.T) {
	for name, c := range map[string]struct {
		activity     connActivity
		evictsOldest bool
		want         evictionPriority
	}{
		"new":                          {connActivity{state: stateSilent, age: silentGrace - 1}, false, evictSilent},
		"silent":                       {connActivity{state: stateSilent, age: silentGrace}, false, evictSilentLong},
		"head has begun":               {connActivity{state: stateReading, age: readingGrace - 1}, false, evictNever},
		"slow head":                    {connActivity{state: stateReading, age: readingGrace, sinceRead: readingGrace - 1, hasServed: true}, false, evictSlowHead},
		"stalled head":                 {connActivity{state: stateReading, age: readingGrace, sinceRead: readingGrace, hasServed: true}, false, evictStalledHead},
		"first request stops":          {connActivity{state: stateReading, age: newConnGrace, sinceRead: newConnGrace}, false, evictNewStalled},
		"first request pauses":         {connActivity{state: stateReading, age: newConnGrace, sinceRead: newConnGrace - 1}, false, evictNever},
		"later request stops":          {connActivity{state: stateReading, age: newConnGrace, sinceRead: newConnGrace, hasServed: true}, false, evictNever},
		"active":                       {connActivity{state: stateActive, age: time.Hour}, false, evictNever},
		"answered just now":            {connActivity{state: stateAnswered, age: writtenGrace - 1}, false, evictNever},
		"idle for little":              {connActivity{state: stateIdle, age: idleGrace - 1}, false, evictIdleShort},
		"idle for long":                {connActivity{state: stateIdle, age: idleGrace}, false, evictIdleLong},
		"closed":                       {connActivity{state: stateClosed, age: time.Hour}, false, evictNever},
		"the oldest: active":           {connActivity{state: stateActive, age: time.Hour}, true, evictNever},
		"the oldest: head has begun":   {connActivity{state: stateReading}, true, evictSlowHead},
		"the oldest: silent for long":  {connActivity{state: stateSilent, age: time.Hour}, true, evictSlowHead},
		"the oldest: answered, or not": {connActivity{state: stateAnswered}, true, evictSlowHead},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.activity.evictionPriority(c.evictsOldest); got != c.want {
				t.Errorf("priority %d, want %d", got, c.want)
			}
		})
	}
}

// A connection is awaited as long as it closes soon: after its last answer, not in the middle of a request, and no longer
// if its client does not read that answer.
func TestEndsSoon(t *testing.T) {
	for _, c := range []struct {
		activity connActivity
		want     bool
	}{
		{connActivity{state: stateAnswered, isEnding: true}, true},
		{connActivity{state: stateAnswered, isEnding: true, age: endingGrace}, false},
		{connActivity{state: stateAnswered}, false},
		{connActivity{state: stateReading, isEnding: true}, false},
	} {
		if got := c.activity.endsSoon(); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.activity, got, c.want)
		}
	}
}

// A new connection is refused rather than an idle one evicted only where few are idle: else idle ones would keep out
// clients that open a connection for each request.
func TestRefusalIsPreferred(t *testing.T) {
	for _, c := range []struct {
		priority  evictionPriority
		idleConns int
		want      bool
	}{
		{evictIdleShort, 12, true}, {evictIdleShort, 13, false}, {evictSlowHead, 0, false}, {evictSilentLong, 0, false},
	} {
		if got := c.priority.prefersRefusal(c.idleConns, 100); got != c.want {
			t.Errorf("priority %d, %d of 100 idle: got %v, want %v", c.priority, c.idleConns, got, c.want)
		}
	}
}

// A drain evicts idle and silent connections, each after a minimum time.
func TestIsUnusedFor(t *testing.T) {
	for name, c := range map[string]struct {
		activity           connActivity
		minIdle, minSilent time.Duration
		want               bool
	}{
		"idle":                       {connActivity{state: stateIdle, age: time.Second}, time.Second, time.Hour, true},
		"idle for less":              {connActivity{state: stateIdle, age: time.Second - 1}, time.Second, 0, false},
		"response just written":      {connActivity{state: stateAnswered, age: writtenGrace - 1}, 0, 0, false},
		"response surely written":    {connActivity{state: stateAnswered, age: writtenGrace}, 0, 0, true},
		"silent":                     {connActivity{state: stateSilent, age: 400 * ms}, time.Hour, 400 * ms, true},
		"silent for less":            {connActivity{state: stateSilent, age: 399 * ms}, 0, 400 * ms, false},
		"head has begun":             {connActivity{state: stateReading, age: time.Hour}, 0, 0, false},
		"request is active for long": {connActivity{state: stateActive, age: time.Hour}, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.activity.isUnusedFor(c.minIdle, c.minSilent); got != c.want {
				t.Errorf("isUnusedFor: got %v, want %v", got, c.want)
			}
		})
	}
}

// The limit is near once three quarters of the connections are in use.
func TestIsNearConnLimit(t *testing.T) {
	for inUse, want := range []bool{false, false, false, true, true} {
		if got := isNearConnLimit(inUse, 4); got != want {
			t.Errorf("%d of 4 connections in use: got %v, want %v", inUse, got, want)
		}
	}
}

// A drain by an operator evicts no connection at first, then those that are unused, then all idle ones.
func TestMaintenanceEviction(t *testing.T) {
	for _, c := range []struct {
		sinceCall, minIdle time.Duration
		evicts             bool
	}{
		{0, 0, false},
		{599 * ms, 0, false},
		{600 * ms, time.Second, true},
		{1699 * ms, time.Second, true},
		{1700 * ms, 0, true},
	} {
		t.Run(c.sinceCall.String(), func(t *testing.T) {
			if minIdle, evicts := maintenanceEviction(c.sinceCall); minIdle != c.minIdle || evicts != c.evicts {
				t.Errorf("evicts %v, minIdle %v, want %v, %v", evicts, minIdle, c.evicts, c.minIdle)
			}
		})
	}
}

// A process answers until 150 ms before the platform kills it. The platform limits the longest deadline to 3 s.
func TestShutdownTimeout(t *testing.T) {
	for longestDeadline, want := range map[time.Duration]time.Duration{
		400 * ms:         950 * ms,
		3 * time.Second:  3550 * ms,
		20 * time.Second: 3550 * ms,
	} {
		if got := graceful.AnswerTimeout(longestDeadline, defaultDrainDelay); got != want {
			t.Errorf("longest deadline %v: timeout %v, want %v", longestDeadline, got, want)
		}
	}
}

// Before the shutdown a request has its own timeout; afterwards at most the time until the shutdown timer expires,
// minus slack.
func TestRequestTimeoutInShutdown(t *testing.T) {
	timer := newShutdownTimer()
	if got, isLeft := timer.requestTimeout(time.Minute, time.Second); got != time.Minute || !isLeft {
		t.Errorf("before the start: timeout %v, isLeft %v, want 1m and true", got, isLeft)
	}
	timer.start(time.Hour)
	if got, isLeft := timer.requestTimeout(time.Minute, time.Second); got != time.Minute || !isLeft {
		t.Errorf("with enough time left: timeout %v, isLeft %v, want 1m and true", got, isLeft)
	}
	got, isLeft := timer.requestTimeout(2*time.Hour, time.Second)
	if got > time.Hour-time.Second || got < 50*time.Minute || !isLeft {
		t.Errorf("with less time left than the timeout: timeout %v, isLeft %v, want almost 1h and true", got, isLeft)
	}
	if _, isLeft := timer.requestTimeout(time.Minute, time.Hour); isLeft {
		t.Error("isLeft is true although no time is left after slack")
	}
}

// A body may be received slowly at first; afterwards it must not stall and must keep the minimum rate.
func TestBodyPieceDeadline(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		sinceStart time.Duration
		received   int64         // bytes
		want       time.Duration // since the start
	}{
		"at the start":         {0, 0, 2300 * ms},
		"short body":           {2 * time.Second, 128, 2307812500 * time.Nanosecond},
		"stalls":               {10 * time.Second, 10 << 20, 11500 * ms},
		"falls below its rate": {10 * time.Second, 128 << 10, 10300 * ms},
		"stalls at its begin":  {500 * ms, 1 << 20, 2300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			got := bodyPieceDeadline(startedAt, startedAt.Add(c.sinceStart), c.received).Sub(startedAt)
			if got != c.want {
				t.Errorf("deadline %v after the start, want %v", got, c.want)
			}
		})
	}
}

// The complete list is always requested from a local agent; from a service the changes since the last generation.
func TestFirstGeneration(t *testing.T) {
	if got := firstGeneration(true, 7); got != 0 {
		t.Errorf("local agent: generation %d, want 0", got)
	}
	if got := firstGeneration(false, 7); got != 7 {
		t.Errorf("service: generation %d, want 7", got)
	}
}

// A request is skipped, and not forwarded, if the shutdown time is over or its connection was evicted.
func TestFindSkipReason(t *testing.T) {
	server := newIdleClientServer(t, testConfig())
	conn, _ := newPipedConn(t, server.limiter)
	server.limiter.add(conn)
	conn.setState(stateReading)
	r := httptest.NewRequest(http.MethodGet, "/check", nil)
	request := policy.Request{Timeout: time.Second}
	if got := server.findSkipReason(r, conn, &request); got != skipNone || request.Timeout != time.Second {
		t.Errorf("before the shutdown: skip reason %d, timeout %v, want none and 1s", got, request.Timeout)
	}
	server.shutdown.start(0)
	if got := server.findSkipReason(r, conn, &request); got != skipShuttingDown {
		t.Errorf("after the shutdown: skip reason %d, want skipShuttingDown", got)
	}
	conn.Close()
	if got := server.findSkipReason(r, conn, &request); got != skipConnectionEvicted {
		t.Errorf("on an evicted connection: skip reason %d, want skipConnectionEvicted", got)
	}
}
