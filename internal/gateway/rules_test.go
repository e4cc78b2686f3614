package gateway

import (
	"testing"
	"time"

	"mulleinmux/policy"
)

// An attempt ends at the engine's timeout for it or at the request's deadline, whichever comes first.
func TestAttemptDeadline(t *testing.T) {
	now := time.Now()
	requestDeadline := now.Add(time.Second)
	for _, c := range []struct {
		name    string
		timeout time.Duration
		want    time.Time
	}{
		{"no timeout", 0, requestDeadline},
		{"a timeout before the deadline", time.Millisecond, now.Add(time.Millisecond)},
		{"a timeout after the deadline", time.Minute, requestDeadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := attemptDeadline(now, c.timeout, requestDeadline); !got.Equal(c.want) {
				t.Errorf("deadline: got %v from now, want %v", got.Sub(now), c.want.Sub(now))
			}
		})
	}
}

// The Retry-After of a request whose key has no owning site is at least minKeyRetryAfter, so that the owners can have
// changed by then, and at most the longest Retry-After.
func TestKeyRejectionWait(t *testing.T) {
	const longest = 2 * time.Second
	for _, c := range []struct {
		name       string
		wait, want time.Duration
	}{
		{"a retry can't succeed", 0, 0},
		{"a short wait", 20 * time.Millisecond, 50 * time.Millisecond},
		{"a wait in between", time.Second, time.Second},
		{"a long wait", time.Minute, longest},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := keyRejectionWait(c.wait, longest); got != c.want {
				t.Errorf("Retry-After: got %v, want %v", got, c.want)
			}
		})
	}
}

// An instance serves requests on a stale setup unless operators chose to reject them, and never before the setup's
// first confirmation.
func TestConfirmationDecidesServing(t *testing.T) {
	startedAt := time.Now()
	const staleAfter = 30 * time.Second
	rejecting, serving := &Agreement{staleAfter, true}, &Agreement{staleAfter, false}
	for _, c := range []struct {
		name        string
		agreement   *Agreement
		isConfirmed bool          // at one second
		now         time.Duration // since the start
		serves      bool
	}{
		{"nothing has to be agreed on", nil, false, time.Hour, true},
		{"never confirmed", serving, false, time.Minute, false},
		{"confirmed, and as old as may be", rejecting, true, time.Second + staleAfter, true},
		{"stale, where stale setups are rejected", rejecting, true, time.Second + staleAfter + 1, false},
		{"stale, where stale setups are served on", serving, true, time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := versions{agreement: c.agreement, startedAt: startedAt}
			if c.isConfirmed {
				v.confirm(startedAt.Add(time.Second))
				v.confirm(startedAt) // an earlier confirmation has no effect
			}
			if _, serves := v.confirmation(startedAt.Add(c.now)); serves != c.serves {
				t.Errorf("serves: got %v, want %v", serves, c.serves)
			}
		})
	}
}

// While an instance drains, a request's timeout ends before the finish deadline, with slack for writing the answer.
func TestDrainLimitsRequestTimeout(t *testing.T) {
	now := time.Unix(100, 0)
	var d drainState
	const slack = 10 * time.Millisecond
	if timeout, isLeft := d.requestTimeout(now, time.Second, slack); timeout != time.Second || !isLeft ||
		d.isPastFinishDeadline(now) {
		t.Errorf("before a drain: got timeout %v, isLeft %v; want 1s, true", timeout, isLeft)
	}
	d.setFinishDeadline(now.Add(time.Second))
	for _, c := range []struct {
		at, timeout, want time.Duration
		isLeft, isOver    bool
	}{
		{0, 500 * time.Millisecond, 500 * time.Millisecond, true, false},
		{0, 2 * time.Second, 990 * time.Millisecond, true, false},
		{900 * time.Millisecond, 2 * time.Second, 90 * time.Millisecond, true, false},
		{990 * time.Millisecond, 2 * time.Second, 0, false, false},
		{time.Second, 2 * time.Second, -slack, false, true},
	} {
		at := now.Add(c.at)
		timeout, isLeft := d.requestTimeout(at, c.timeout, slack)
		if timeout != c.want || isLeft != c.isLeft || d.isPastFinishDeadline(at) != c.isOver {
			t.Errorf("at %v: got timeout %v, isLeft %v, isPastFinishDeadline %v", c.at, timeout, isLeft,
				d.isPastFinishDeadline(at))
		}
	}
}

// A drain ended at once, or not in time, when the wall clock was stepped while it ran.
func TestDrainIgnoresWallClock(t *testing.T) {
	var d drainState
	d.setFinishDeadline(time.Now().Add(time.Second))
	if deadline := *d.finishDeadline.Load(); deadline.Round(0) == deadline {
		t.Error("the finish deadline has no reading of the monotonic clock")
	}
}

// Requests that were matched before their version was replaced keep its longer deadlines, and no longer than that.
func TestOpenDeadlinesOfReplacedVersions(t *testing.T) {
	var d openDeadlines
	d.replace(0, []policy.Class{{Deadline: 9 * time.Second}})
	d.replace(time.Minute, []policy.Class{{Deadline: 4 * time.Second}})
	d.replace(time.Minute+2*time.Second, []policy.Class{{Deadline: time.Second}})
	for _, c := range []struct{ since, want time.Duration }{
		{2 * time.Second, 7 * time.Second},
		{5 * time.Second, 4 * time.Second},
		{8 * time.Second, time.Second},
		{time.Minute, time.Second},
	} {
		if got := d.longest(time.Minute + c.since); got != c.want {
			t.Errorf("%v after the first replacement: got %v, want %v", c.since, got, c.want)
		}
	}
	d.replace(2*time.Hour, nil)
	if len(d.replaced) != 1 {
		t.Errorf("replaced versions recorded: got %d, want only the last one", len(d.replaced))
	}
}

// Guards against an attempt that is repeated so late that its server does not drop repeats any more when a connection
// comes up: the engine has to know for how long that may take.
func TestEngineKnowsConnectTimeout(t *testing.T) {
	for _, c := range []struct{ configured, want time.Duration }{
		{0, defaultConnectTimeout},
		{1500 * time.Millisecond, 1500 * time.Millisecond},
	} {
		config := Config{Name: "g", ConnectTimeout: c.configured}
		if err := config.check(); err != nil {
			t.Fatal(err)
		}
		if got := config.Settings.ConnectTimeout; got != c.want {
			t.Errorf("connect timeout of the engine with %v configured: got %v, want %v", c.configured, got, c.want)
		}
	}
}
