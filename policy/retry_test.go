package policy

import (
	"testing"
	"time"
)

// Rule 2 of the rule checker: the idempotency of the class determines whether a retry, a rejection or a failure follows
// each result of an attempt.
func TestActionAfterEachAttemptResult(t *testing.T) {
	mayRun := map[Result]bool{OK: true, ErrorResponse: true, TimedOut: true, ConnectionReset: true, Cancelled: true}
	for res := OK; res <= NotSent; res++ {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			for _, inDedupScope := range []bool{true, false} {
				first := Server{ID: "s0", Kind: "k", Zone: "a"}
				other := Server{ID: "s1", Kind: "k", Zone: "b"}
				if inDedupScope {
					other.Zone = "a"
				}
				e, r := newEngine(t, testSettings(), first)
				e.retries.tokens = 5
				e.RequestReceived(t0, newRequest(1, class, "rate", 1), r)
				e.EndpointsChanged(
					t0, EndpointsComplete, []Server{{ID: "s0", State: Draining, Kind: "k", Zone: "a"}, other}, r,
				)
				r.actions = nil
				e.AttemptCompleted(
					t0+ms, AttemptResult{ID: "r1", Result: res, Server: "s0", RequestAnswered: res == OK}, r,
				)
				wantRetry := res != OK && res != NotSent &&
					(!mayRun[res] || class == "safe" || class == "keyed" && inDedupScope)
				want := "send r1 s1"
				switch {
				case res == OK:
					want = ""
				case !wantRetry && (class == "safe" || !mayRun[res]):
					want = "reject r1"
				case !wantRetry:
					want = "fail r1"
				}
				if got := r.last(); got != want {
					t.Errorf("%s after result %d, in deduplication scope %v: got action %q, want %q",
						class, res, inDedupScope, got, want)
				}
			}
		}
	}
}

func TestNoRetryAfterDedupWindow(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(3)...)
	e.retries.tokens = 5
	e.RequestReceived(t0, newRequest(1, "keyed", "rate", 1), r)
	e.AttemptCompleted(t0+300*ms, AttemptResult{ID: "r1", Result: ConnectionReset}, r)
	if r.last() != "fail r1" {
		t.Errorf("got action %q after the deduplication window, want the failure of r1", r.last())
	}
}

// A retry must arrive within the deduplication window: the time that a connection may take to be established is
// subtracted.
func TestRetryArrivesWithinDedupWindow(t *testing.T) {
	for connect, want := range map[time.Duration]int{0: 2, 150 * ms: 1} {
		settings := testSettings()
		settings.ConnectTimeout = connect
		for i := range settings.Classes {
			if settings.Classes[i].Name == "keyed" {
				settings.Classes[i].DedupWindow, settings.Classes[i].DedupScope = 300*ms, DedupAllServers
			}
		}
		e, r := newEngine(t, settings, testServers(2)...)
		e.retries.tokens = 5
		e.RequestReceived(t0, newRequest(1, "keyed", "rate", 1), r)
		first := r.last()
		e.AttemptCompleted(t0+200*ms, AttemptResult{ID: "r1", Result: ConnectionReset, Server: first[len(first)-2:]}, r)
		if got := r.count("send"); got != want {
			t.Errorf("connect timeout %v: got %d attempts, want %d: %v", connect, got, want, r.actions)
		}
	}
}

// A hedged request counts as in flight: it must not use up the in-flight limit of a customer.
func TestNoHedgingNearInFlightLimit(t *testing.T) {
	for plan, want := range map[string]int{"rate": 1, "open": 0} {
		s := testSettings()
		s.AllowsHedging = true
		s.Plans[2].MaxInFlight = 2
		e, r := newEngine(t, s, testServers(4)...)
		e.retries.tokens = 5
		e.RequestReceived(t0, newRequest(1, "safe", plan, 1), r)
		r.actions = nil
		e.TimerFired(t0+ms, timerToken(timerHedge, e.requests.lastNumber), r)
		if n := r.count("send"); n != want {
			t.Errorf("plan %s: got %d hedged requests, want %d", plan, n, want)
		}
	}
}

// Only one attempt of a request is in flight at a time if hedging is not allowed.
func TestNoHedgingWhereNotAllowed(t *testing.T) {
	for _, allowsHedging := range []bool{false, true} {
		s := testSettings()
		s.AllowsHedging = allowsHedging
		e, r := newEngine(t, s, testServers(2)...)
		e.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
		if got := mayAttempt(e.now, e.requests.byID["r1"], e.servers.list[0], &e.settings); got != allowsHedging {
			t.Errorf("hedging allowed %v: got a second attempt allowed %v", allowsHedging, got)
		}
	}
}
