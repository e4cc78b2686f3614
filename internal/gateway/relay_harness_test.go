package gateway

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"mulleinmux/internal/raftnode"
)

// linkForwarder simulates the link from the near to the far site. It forwards connections, which can be reset, or whose
// data can be held back from the far side while they look open to the near side.
type linkForwarder struct {
	ln         net.Listener
	goroutines sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	targetAddr string     // the far side
	nearConns  []net.Conn // from the near side
	openConns  []net.Conn
	hold       chan struct{} // received data waits until it is closed; nil: nothing waits
	held       chan bool     // receives a value for each piece of data that waits
	delay      time.Duration // for which each piece of data is held back besides
}

func newLinkForwarder(t *testing.T, to string) *linkForwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &linkForwarder{ln: ln, targetAddr: to, held: make(chan bool, 100)}
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
			w.nearConns, w.openConns = append(w.nearConns, c), append(w.openConns, c, far)
			w.mu.Unlock()
			w.goroutines.Go(func() { w.forward(c, far) })
			w.goroutines.Go(func() { io.Copy(c, far); c.Close() })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		w.mu.Lock()
		for _, c := range w.openConns {
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
		hold, delay := w.hold, w.delay
		w.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && hold != nil {
			w.held <- true
			<-hold
		}
		if _, werr := far.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// target returns the far side's address.
func (w *linkForwarder) target() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targetAddr
}

// redirect forwards new connections to another address.
func (w *linkForwarder) redirect(to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targetAddr = to
}

// breakAll resets the connections from the near side.
func (w *linkForwarder) breakAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.nearConns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	w.nearConns = nil
}

// setHold turns the holding back of received data on or off. release delivers the data held back so far.
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

// startTwoSites starts an instance at each of two sites, a link between them, and a server at the far site only. The
// near instance relays requests to the far one.
func startTwoSites(
	t *testing.T,
	h *testSites,
	change func(near, far *RelayConfig),
) (near, far *testInstance, w *linkForwarder) {
	t.Helper()
	return startTwoSitesWith(t, h, change, func(*Config) {})
}

// startTwoSitesWith is startTwoSites with a function that changes the far instance's configuration.
func startTwoSitesWith(
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
	newConfig := func(member uint64, own string) *RelayConfig {
		creds, err := auth.IssueCredentials(member)
		if err != nil {
			t.Fatal(err)
		}
		c := creds.TLSConfig()
		c.SessionTicketsDisabled = true
		verify := func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember("test", s) }
		return &RelayConfig{OwnSites: []string{own}, TLS: c, Verify: verify}
	}
	a, b := newConfig(1, "site-a"), newConfig(2, "site-b")
	if b.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if a.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	w = newLinkForwarder(t, b.listener.Addr().String())
	a.PeersBySite = map[string][]RelayPeer{"site-b": {{2, w.ln.Addr().(*net.TCPAddr).AddrPort()}}}
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
