package gateway

import (
	"io"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// startFullBacklogServer lists a server whose accept backlog is full, so that connections to it are established late.
func (h *testSites) startFullBacklogServer(site, id string) *testserver.FullListener {
	h.t.Helper()
	listener, err := testserver.NewFullListener()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { listener.Close() })
	h.listServer(site, id, listener.Addr().String(), "up")
	return listener
}

// awaitServing waits until the instance is serving a request.
func (r *testInstance) awaitServing(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !r.isServing(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("awaitServing: got no request in service before the timeout, want one")
		}
	}
}

// synRetryTime is longer than the kernel waits before it retransmits the SYN of a connection that a full backlog
// refused.
const synRetryTime = 2500 * time.Millisecond

// requireNothingSent accepts the connections that fill the backlog and those that instances have dialed since, and
// checks that only health checks are sent on the latter.
func requireNothingSent(t *testing.T, listener *testserver.FullListener) {
	t.Helper()
	end := time.Now().Add(synRetryTime)
	listener.SetDeadline(end)
	for n := 0; ; n++ {
		conn, err := listener.Accept()
		if err != nil {
			return // no further connections
		}
		defer conn.Close()
		if n < listener.FillerCount() {
			continue
		}
		conn.SetDeadline(end)
		var first [4]byte
		if _, err := io.ReadFull(conn, first[:]); err == nil && string(first[:]) == "DELE" {
			t.Error("a request was sent, want none after the client disconnected")
		}
	}
}

// If the client disconnects while the connection for its attempt is being established, the request is not sent.
func TestNothingIsSentAfterClientLeavesDuringDial(t *testing.T) {
	h := newTestSites(t)
	listener := h.startFullBacklogServer("site-a", "late")
	g := startInstance(t, h, 1, func(c *Config) { c.ConnectTimeout = testTimeout })
	c := dial(t, g.addr)
	c.send(getRequest("DELETE /visits/1"))
	g.awaitServing(t)
	c.Close()
	requireNothingSent(t, listener)
}

// If the near instance abandons a relayed request while the far instance dials its server, the request is not sent,
// even if the goroutine that watches the near instance's connection has not run when the dial completes.
func TestNothingIsSentAfterRelayIsGivenUpDuringDial(t *testing.T) {
	h := newTestSites(t)
	held := &heldListener{at: heldAfterRead}
	link := &heldLink{heldListener: held}
	listener := h.startFullBacklogServer("site-b", "late")
	_, link.far, _ = startTwoSitesWith(t, h, func(near, far *RelayConfig) {
		link.config = near.TLS
		holdFarReads(held)(near, far)
	}, func(c *Config) { c.ConnectTimeout = testTimeout })
	h.listServer("site-b", "s1", "127.0.0.1:1", "removed") // the scripted server
	h.awaitServerCount(link.far, "site-b", 1)
	c := link.dial(t)
	c.send(getRequest("DELETE /visits/1", relayIDField+": a.1", "X-Expires-In: 15"))
	link.far.awaitServing(t)
	release := held.hold()
	defer release()
	c.Close()
	requireNothingSent(t, listener)
}
