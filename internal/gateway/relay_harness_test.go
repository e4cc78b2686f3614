package gateway

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"testing"

	"mulleinmux/internal/raftnode"
)

// linkForwarder is the network between two sites: a forwarder whose connections can be broken, or held back from the
// far side while they look open to the near one.
type linkForwarder struct {
	ln         net.Listener
	goroutines sync.WaitGroup

	mu    sync.Mutex // guards all below
	to    string     // the far side
	conns []net.Conn // of the near side
	all   []net.Conn
	hold  chan struct{} // what comes waits for its close; nil: nothing waits
	held  chan bool     // receives once for each piece that waits
}

func newLinkForwarder(t *testing.T, to string) *linkForwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &linkForwarder{ln: ln, to: to, held: make(chan bool, 100)}
	w.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", w.target())
			if err != nil {
				c.Close()
				continue
			}
			w.mu.Lock()
			w.conns, w.all = append(w.conns, c), append(w.all, c, far)
			w.mu.Unlock()
			w.goroutines.Go(func() { w.forward(c, far) })
			w.goroutines.Go(func() { io.Copy(c, far); c.Close() })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		w.mu.Lock()
		for _, c := range w.all {
			c.Close()
		}
		w.mu.Unlock()
		w.goroutines.Wait()
	})
	return w
}

func (w *linkForwarder) forward(near, far net.Conn) {
	defer far.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := near.Read(buf)
		w.mu.Lock()
		hold := w.hold
		w.mu.Unlock()
		if n > 0 && hold != nil {
			w.held <- true
			<-hold
		}
		if _, werr := far.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// target is the far side's address.
func (w *linkForwarder) target() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to
}

// redirect has connections go to another address from now on.
func (w *linkForwarder) redirect(to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.to = to
}

// breakAll resets the connections of the near side.
func (w *linkForwarder) breakAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	w.conns = nil
}

// setHold has what comes from now on wait.
func (w *linkForwarder) setHold(on bool) (release func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hold = nil
	if on {
		hold := make(chan struct{})
		w.hold = hold
		return func() { close(hold) }
	}
	return nil
}

// twoSites starts an instance of each site, a link between them, and a server at the far site alone.
func twoSites(
	t *testing.T,
	h *testSites,
	change func(near, far *RelayConfig),
) (near, far *testInstance, w *linkForwarder) {
	t.Helper()
	return twoSitesWith(t, h, change, func(*Config) {})
}

// twoSitesWith is twoSites with a change of the far instance's configuration.
func twoSitesWith(
	t *testing.T,
	h *testSites,
	change func(near, far *RelayConfig),
	changeFar func(*Config),
) (near, far *testInstance, w *linkForwarder) {
	t.Helper()
	auth, err := raftnode.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	h.authority = auth
	part := func(member uint64, own string) *RelayConfig {
		creds, err := auth.IssueCredentials(member)
		if err != nil {
			t.Fatal(err)
		}
		c := creds.TLSConfig()
		c.SessionTicketsDisabled = true
		verify := func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember("test", s) }
		return &RelayConfig{Own: []string{own}, TLS: c, Verify: verify}
	}
	a, b := part(1, "site-a"), part(2, "site-b")
	if b.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if a.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	w = newLinkForwarder(t, b.listener.Addr().String())
	a.Remote = map[string][]RelayPeer{"site-b": {{2, w.ln.Addr().(*net.TCPAddr).AddrPort()}}}
	if change != nil {
		change(a, b)
	}
	h.startServer("site-b", "s1")
	far = startInstance(t, h, 1, func(c *Config) {
		c.Relay = b
		changeFar(c)
	})
	near = startInstance(t, h, 1, func(c *Config) { c.Relay = a })
	return near, far, w
}
