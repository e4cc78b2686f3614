package gateway

import (
	"strconv"
	"testing"
	"time"

	"mulleinmux/policy"
)

// An instance that runs late gives requests up earlier by twice its lateness, for reading the request and for writing
// the answer. The server is sent the shorter timeout, and a client whose server hangs is answered within its own
// timeout.
func TestLateInstanceGivesUpEarlier(t *testing.T) {
	const late, timeout = 150 * time.Millisecond, 2 * time.Second
	h, g, c := startWithServer(t)
	g.host.handleEvent(func(now time.Duration, _ policy.Actions) { g.host.recordLateness(now-late, now) })
	began := time.Now()
	c.send(getRequest("DELETE /visits/1", "X-Expires-In: 2.000"))
	attempt := h.nextRequest()
	left, err := strconv.ParseFloat(attempt.header.Get(timeoutField), 64)
	if err != nil || left > (timeout-2*late).Seconds() {
		t.Errorf("the server is sent a timeout of %v s (error %v), want at least twice the lateness less", left, err)
	}
	got := c.readResponse()
	if took := time.Since(began); got.Status != 502 || took > timeout-late {
		t.Errorf("got status %d after %v, want 502 before the client's timeout less the lateness", got.Status, took)
	}
	attempt.response <- ""
}

// An instance estimates its lateness from how late its timers fire.
func TestLatenessIsLearnedFromTimers(t *testing.T) {
	const late = 80 * time.Millisecond
	_, g, _ := startWithServer(t)
	host := &g.host
	host.mu.Lock()
	host.setTimer(unusedToken, time.Millisecond)
	time.Sleep(late)
	host.mu.Unlock()
	for end := time.Now().Add(testTimeout); host.latenessMargin(time.Second) < 2*late-10*time.Millisecond; {
		if time.Now().After(end) {
			t.Fatalf("margin after a late timer: %v, want about twice the lateness", host.latenessMargin(time.Second))
		}
		time.Sleep(time.Millisecond)
	}
}

// unusedToken is a timer token that the engine does not use.
const unusedToken = 1 << 60
