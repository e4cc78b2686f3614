package discovery

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The limits for a local agent are shorter, since it responds at once or is down. Its connection and its first data
// must not take longer than the silence timeout.
func TestWatchLimits(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		silence      time.Duration
		isLocalAgent bool
		want         watchLimits
	}{
		"server": {3 * time.Second, false,
			watchLimits{3 * time.Second, 3 * time.Second, 3 * time.Second, 12 * time.Second}},
		"local agent": {3 * time.Second, true,
			watchLimits{250 * time.Millisecond, time.Second, 3 * time.Second, 12 * time.Second}},
		"local agent, shorter silence": {100 * ms, true, watchLimits{100 * ms, 100 * ms, 100 * ms, 400 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := newWatchLimits(c.silence, c.isLocalAgent); got != c.want {
				t.Errorf("got limits %+v, want %+v", got, c.want)
			}
		})
	}
}

// watchdogCase is a stream of one piece per second, with the time and the reason of its cancellation.
type watchdogCase struct {
	pieces         []string
	completesAll   bool // each piece is a complete list
	cancelledAfter time.Duration
	want           error
}

// Each piece restarts the silence timeout, and a blank piece does not start a list. A list that takes too long cancels
// the watch even if its pieces keep arriving.
func TestWatchdog(t *testing.T) {
	for name, c := range map[string]watchdogCase{
		"nothing comes":         {nil, false, time.Second, errSilent},
		"silent after a piece":  {[]string{"{"}, false, 4 * time.Second, errSilent},
		"signs of life":         {strings.Split("\n,\n,\n,\n,\n,\n,\n,\n", ","), false, 11 * time.Second, errSilent},
		"lists":                 {[]string{"{}", "{}", "{}", "{}", "{}", "{}", "{}"}, true, 10 * time.Second, errSilent},
		"a list in many pieces": {[]string{"{", ",", ",", ",", ",", ",", ","}, false, 6 * time.Second, errSlowList},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// run passes the stream to a watchdog in virtual time and checks when and why the watch is cancelled.
func (c watchdogCase) run(t *testing.T) {
	limits := watchLimits{firstLine: 1100 * time.Millisecond, silence: 3 * time.Second, list: 4500 * time.Millisecond}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	startedAt := time.Now()
	watchdog := startWatchdog(limits, cancel)
	defer watchdog.stop()
	for _, piece := range c.pieces {
		time.Sleep(time.Second)
		watchdog.pieceReceived([]byte(piece))
		if c.completesAll {
			watchdog.listCompleted()
		}
		if ctx.Err() != nil {
			break
		}
	}
	<-ctx.Done()
	if got := context.Cause(ctx); got != c.want {
		t.Errorf("watch cancelled with %v, want %v", got, c.want)
	}
	if took := time.Since(startedAt).Truncate(time.Second); took != c.cancelledAfter {
		t.Errorf("watch cancelled after %v, want %v", took, c.cancelledAfter)
	}
}

// The next watch of a local agent is opened after the short retry delay, except after a malformed list.
func TestPollSchedule(t *testing.T) {
	for name, c := range map[string]struct {
		isLocalAgent bool
		outcomes     []watchOutcome
		want         []time.Duration
	}{
		"local agent": {true,
			[]watchOutcome{watchNothingReceived, watchNothingReceived, watchReceived},
			[]time.Duration{localRetryDelay, localRetryDelay, localRetryDelay}},
		"local agent with malformed lists": {true,
			[]watchOutcome{watchMalformed, watchMalformed, watchNothingReceived, watchMalformed},
			[]time.Duration{minBackoff, 2 * minBackoff, localRetryDelay, 2 * minBackoff}},
		"server": {false,
			[]watchOutcome{watchReceived, watchNothingReceived, watchMalformed, watchReceived},
			[]time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff, minBackoff}},
	} {
		t.Run(name, func(t *testing.T) {
			schedule := newRetrySchedule(c.isLocalAgent, nil)
			for i, outcome := range c.outcomes {
				if got := schedule.nextDelay(outcome); got != c.want[i] {
					t.Errorf("delay %d: got %v, want %v", i, got, c.want[i])
				}
			}
		})
	}
}
