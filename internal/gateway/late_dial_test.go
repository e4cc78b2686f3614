package gateway

import (
	"io"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// startLateServer lists a server of a site whose connections come up late.
func (h *testSites) startLateServer(site, id string) *testserver.FullListener {
	h.t.Helper()
	listener, err := testserver.NewFullListener()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { listener.Close() })
	h.listServer(site, id, listener.Addr().String(), "up")
	return listener
}

// awaitServing waits until an instance serves a request.
func (r *testInstance) awaitServing(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !r.isServing(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request is served")
		}
	}
}

// synRetryTime is more than the kernel waits until it asks a second time for a connection that a full backlog refused.
const synRetryTime = 2500 * time.Millisecond

// requireNothingSent accepts what fills the backlog and what an instance has dialled since, and checks that nothing but
// health checks is sent.
func requireNothingSent(t *testing.T, listener *testserver.FullListener) {
	t.Helper()
	end := time.Now().Add(synRetryTime)
	listener.SetDeadline(end)
	for n := 0; ; n++ {
		conn, err := listener.Accept()
		if err != nil {
			return // nothing more comes
		}
		defer conn.Close()
		if n < listener.FillerCount() {
			continue
		}
		conn.SetDeadline(end)
		var first [4]byte
		if _, err := io.ReadFull(conn, first[:]); err == nil && string(first[:]) == "DELE" {
			t.Error("a request was sent for a client that has left")
		}
	}
}

// A client leaves while the connection for its attempt comes up: when it has, nothing is sent.
func TestNothingIsSentAfterClientLeavesDuringDial(t *testing.T) {
	h := newTestSites(t)
	listener := h.startLateServer("site-a", "late")
	g := startInstance(t, h, 1, func(c *Config) { c.ConnectTimeout = testTimeout })
	c := dial(t, g.addr)
	c.send(getRequest("DELETE /visits/1"))
	g.awaitServing(t)
	c.Close()
	requireNothingSent(t, listener)
}

// The near instance gives a relayed request up while the far one dials, and the far one's watch runs later than the
// goroutine that sends: when the connection has come up, nothing is sent.
func TestNothingIsSentAfterRelayIsGivenUpDuringDial(t *testing.T) {
	h := newTestSites(t)
	held := &heldListener{at: heldAfterRead}
	link := &heldLink{heldListener: held}
	listener := h.startLateServer("site-b", "late")
	_, link.far, _ = twoSitesWith(t, h, func(near, far *RelayConfig) {
		link.config = near.TLS
		holdFarReads(held)(near, far)
	}, func(c *Config) { c.ConnectTimeout = testTimeout })
	h.listServer("site-b", "s1", "127.0.0.1:1", "removed") // its scripted one
	h.awaitServerCount(link.far, "site-b", 1)
	c := link.dial(t)
	c.send(getRequest("DELETE /visits/1", relayIDField+": a.1", "X-Expires-In: 15"))
	link.far.awaitServing(t)
	release := held.hold()
	defer release()
	c.Close()
	requireNothingSent(t, listener)
}
