package gateway

import (
	"net"
	"testing"
)

// restartFar has another instance of site-b, which knows nothing of what the first was sent, take the first one's place
// on the link, with its certificate. The first one's connections break.
func restartFar(t *testing.T, h *testSites, link *linkForwarder) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	startSecondFar(t, h, listener, 2)
	link.redirect(listener.Addr().String())
	link.breakAll()
}

// A far instance that was restarted does not know what its predecessor has sent to servers: a request that may have run
// is not sent again on its word that it never did.
func TestRestartedInstanceCannotTellThatNothingRan(t *testing.T) {
	h := newTestSites(t)
	near, _, link := twoSites(t, h, nil)
	near.earnRetries(h, 20)
	c := dial(t, near.addr)
	c.send(getRequest("DELETE /visits/1")) // not idempotent
	attempt := h.nextRequest()
	restartFar(t, h, link)
	if got := c.readResponse(); got.Status != 502 {
		t.Errorf("%+v", got)
	}
	h.expectNoRequest()
	attempt.response <- responseText(204, "", "")
}
