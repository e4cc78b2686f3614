package edgeproxy

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"mulleinmux/internal/simwire"
	"mulleinmux/policy"
)

func newTestPool(servers ...Instance) *serverPool {
	pool := newServerPool(simwire.ConnectionSettings{ConnIdleTimeout: time.Minute, ConnectTimeout: 5 * time.Second}, 100)
	pool.updateEndpoints(servers, policy.EndpointsComplete)
	return pool
}

// The connection used last is used next, so that with little traffic the others time out.
func TestPoolIsLIFO(t *testing.T) {
	hold := make(chan struct{})
	s := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		<-hold
		return respondWith(okAnswer)(c, nil, nil)
	})
	pool := newTestPool(s.instance("a"))
	done := make(chan policy.Result, 2)
	for range 2 {
		go func() {
			_, res := pool.exchange(context.Background(), "a", &get)
			done <- res
		}()
	}
	eventually(t, "two requests out", func() bool { return len(s.requests()) == 2 })
	close(hold)
	wantResult(t, <-done, policy.OK)
	wantResult(t, <-done, policy.OK)
	idle := pool.servers["a"].idle
	if len(idle) != 2 {
		t.Fatalf("%d idle connections for two requests at once", len(idle))
	}
	older, last := idle[0], idle[1]
	runExchange(t, pool, "a")
	if idle = pool.servers["a"].idle; len(idle) != 2 || idle[0] != older || idle[1] != last {
		t.Error("another connection was used than the last")
	}
}

// A connection that the server has closed meanwhile is noticed: a request written to it would end as a reset, after
// which one with a key may not always be retried.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := newAppServer(t, respondWith(okAnswer))
	pool := newTestPool(s.instance("a"))
	runExchange(t, pool, "a")
	(<-s.conns).Close()
	c := pool.servers["a"].idle[0]
	eventually(t, "close arrived", func() bool { return !c.isQuiet() })
	_, res := runExchange(t, pool, "a")
	wantResult(t, res, policy.OK)
	if pool.openCount != 1 {
		t.Errorf("%d connections counted, 1 open", pool.openCount)
	}
}

// A server that moved, restarted, drains or is gone keeps no connection, neither an idle one nor one that was in
// use when the list changed.
func TestEndpointUpdateClosesConnections(t *testing.T) {
	for name, change := range map[string]func(Instance) ([]Instance, policy.EndpointUpdateKind){
		"moved": func(i Instance) ([]Instance, policy.EndpointUpdateKind) {
			i.Addr = netip.MustParseAddrPort("127.0.0.1:1")
			return []Instance{i}, policy.EndpointsDelta
		},
		"restarted": func(i Instance) ([]Instance, policy.EndpointUpdateKind) {
			i.StartedAt = time.Hour
			return []Instance{i}, policy.EndpointsDelta
		},
		"draining": func(i Instance) ([]Instance, policy.EndpointUpdateKind) {
			i.State = policy.Draining
			return []Instance{i}, policy.EndpointsDelta
		},
		"removed": func(i Instance) ([]Instance, policy.EndpointUpdateKind) {
			i.State = policy.Removed
			return []Instance{i}, policy.EndpointsDelta
		},
		"vanished": func(Instance) ([]Instance, policy.EndpointUpdateKind) { return nil, policy.EndpointsComplete },
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			first := true
			s := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				if !first {
					<-hold
				}
				first = false
				return respondWith(okAnswer)(c, nil, nil)
			})
			pool := newTestPool(s.instance("a"))
			runExchange(t, pool, "a") // leaves one idle
			done := make(chan policy.Result)
			go func() {
				_, res := pool.exchange(context.Background(), "a", &get)
				done <- res
			}()
			eventually(t, "second request out", func() bool { return len(s.requests()) == 2 })
			closeConns(pool.updateEndpoints(change(s.instance("a"))))
			close(hold)
			wantResult(t, <-done, policy.OK)
			wantClosed(t, <-s.conns)
			if pool.openCount != 0 {
				t.Errorf("%d connections counted, none open", pool.openCount)
			}
		})
	}
}

// Nothing new is sent to a server that began to drain while the connection was established.
func TestDrainDuringDial(t *testing.T) {
	s := newAppServer(t, respondWith(okAnswer))
	pool := newTestPool(s.instance("a"))
	b := pool.servers["a"]
	drains := s.instance("a")
	drains.State = policy.Draining
	pool.updateEndpoints([]Instance{drains}, policy.EndpointsDelta)
	pool.openCount++
	if _, err := pool.dial(context.Background(), b); err != errServerNotUp {
		t.Errorf("error %v, want %v", err, errServerNotUp)
	}
	_, res := runExchange(t, pool, "a")
	wantResult(t, res, policy.ConnectFailed)
	if len(s.requests()) != 0 || pool.openCount != 0 {
		t.Errorf("requests %q, %d connections counted", s.requests(), pool.openCount)
	}
}

// At the limit of descriptors an idle connection is closed; with none idle the attempt is not sent, which is held
// against no server.
func TestDescriptorLimit(t *testing.T) {
	a, b := newAppServer(t, respondWith(okAnswer)), newAppServer(t, respondWith(okAnswer))
	pool := newTestPool(a.instance("a"), b.instance("b"))
	pool.maxConns = 1
	runExchange(t, pool, "a")
	_, res := runExchange(t, pool, "b")
	wantResult(t, res, policy.OK)
	wantClosed(t, <-a.conns)
	busy, err := pool.acquire(context.Background(), "b")
	if err != nil {
		t.Fatal(err)
	}
	_, res = runExchange(t, pool, "a")
	wantResult(t, res, policy.NotSent)
	pool.release(busy)
	if pool.openCount != 1 {
		t.Errorf("%d connections counted, 1 open", pool.openCount)
	}
}

// A server whose machine is gone does not answer: the dial has a timeout of its own, and what it ends has never
// run.
func TestDialTimeout(t *testing.T) {
	ln, _ := fullListener(t) // it drops what comes
	pool := newServerPool(simwire.ConnectionSettings{ConnIdleTimeout: time.Minute, ConnectTimeout: 50 * time.Millisecond}, 100)
	pool.updateEndpoints([]Instance{{Server: policy.Server{ID: "a"}, Addr: addrOf(ln)}}, policy.EndpointsComplete)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, res := pool.exchange(ctx, "a", &get)
	wantResult(t, res, policy.ConnectFailed)
	if ctx.Err() != nil || pool.openCount != 0 {
		t.Errorf("context %v, %d connections counted", ctx.Err(), pool.openCount)
	}
}
