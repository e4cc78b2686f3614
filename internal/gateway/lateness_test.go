package gateway

import (
	"strconv"
	"testing"
	"time"

	"mulleinmux/policy"
)

// An instance that is late by some time gives requests up earlier by it, once for their reading and once for their
// answer: a server is told so, and a client whose server hangs has its answer within its time.
func TestLateInstanceGivesUpEarlier(t *testing.T) {
	const late, timeout = 150 * time.Millisecond, 2 * time.Second
	h, g, c := startWithServer(t)
	g.host.handleEvent(func(now time.Duration, _ policy.Actions) { g.host.recordLateness(now-late, now) })
	began := time.Now()
	c.send(getRequest("DELETE /visits/1", "X-Expires-In: 2.000"))
	attempt := h.nextRequest()
	left, err := strconv.ParseFloat(attempt.header.Get(timeoutField), 64)
	if err != nil || left > (timeout-2*late).Seconds() {
		t.Errorf("the server is told %v s: %v", left, err)
	}
	got := c.readResponse()
	if took := time.Since(began); got.Status != 502 || took > timeout-late {
		t.Errorf("%d after %v", got.Status, took)
	}
	attempt.response <- ""
}

// A timer that is held up is what an instance learns its lateness from.
func TestLatenessIsLearnedFromTimers(t *testing.T) {
	const late = 80 * time.Millisecond
	_, g, _ := startWithServer(t)
	host := &g.host
	host.mu.Lock()
	host.setTimer(unusedToken, time.Millisecond)
	time.Sleep(late)
	host.mu.Unlock()
	for end := time.Now().Add(testTimeout); host.margin(time.Second) < 2*late-10*time.Millisecond; {
		if time.Now().After(end) {
			t.Fatalf("margin %v", host.margin(time.Second))
		}
		time.Sleep(time.Millisecond)
	}
}

// unusedToken is of a timer that the engine knows nothing of.
const unusedToken = 1 << 60
