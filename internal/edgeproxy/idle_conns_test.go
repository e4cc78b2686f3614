package edgeproxy

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"mulleinmux/policy"
)

// A server that closes idle connections sooner than the settings say shows only when one is written to, which may
// have run: from the first on they are kept for less. A reset of a request that the server had begun, or on a
// connection just used, teaches nothing.
func TestStaleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		rested, answer time.Duration
		learns         bool
	}{
		"stale":           {10 * minIdleTimeout, 0, true},
		"just used":       {0, 0, false},
		"at the work":     {10 * minIdleTimeout, 2 * staleResetWindow, false},
		"not much rested": {minIdleTimeout / 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("X-Trace-Id") == "fine" {
					return respondWith(okAnswer)(conn, r, body)
				}
				time.Sleep(c.answer) // the server at work
				conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			pool := newTestPool(s.instance("a"))
			b := pool.servers["a"]
			fine := &serverRequest{method: "GET", target: "/check", id: "fine"}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			rest := func(d time.Duration) {
				pool.exchange(ctx, "a", fine)
				b.idle[0].idleSince = time.Now().Add(-d)
			}
			rest(c.rested)
			_, res := runExchange(t, pool, "a")
			wantResult(t, res, policy.ConnectionReset)
			if got := b.learnedIdleTimeout != 0; got != c.learns {
				t.Fatalf("kept for %v, learned: %v, want %v", b.learnedIdleTimeout, got, c.learns)
			}
			rest(c.rested)
			old := b.idle[0]
			pool.exchange(ctx, "a", fine)
			if again := b.idle[0] == old; again == c.learns {
				t.Errorf("used again: %v", again)
			}
			b.learnedAt = time.Now().Add(-12 * idleTimeoutDoublingInterval)
			if keep := pool.idleTimeout(b); keep != pool.maxIdleTimeout {
				t.Errorf("kept for %v long after, want %v", keep, pool.maxIdleTimeout)
			}
		})
	}
}

// A connection near the age at which servers close it is closed, when acquired and while idle.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := newAppServer(t, respondWith(okAnswer))
	pool := newTestPool(s.instance("a"))
	runExchange(t, pool, "a")
	pool.servers["a"].idle[0].idleSince = time.Now().Add(-pool.maxIdleTimeout)
	runExchange(t, pool, "a")
	wantClosed(t, <-s.conns)
	pool.servers["a"].idle[0].idleSince = time.Now().Add(-pool.maxIdleTimeout)
	pool.maxIdleTimeout = 50 * time.Millisecond // sets the reaper's pace
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.runIdlePruning(ctx)
	wantClosed(t, <-s.conns)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.openCount != 0 {
		t.Errorf("%d connections counted, none open", pool.openCount)
	}
}

// Outside of the node's subset an idle connection is closed soon; in it, and where there is no subset, it stays.
func TestIdleConnectionsOutsideSubset(t *testing.T) {
	near, far := newAppServer(t, respondWith(okAnswer)), newAppServer(t, respondWith(okAnswer))
	pool := newTestPool(near.instance("near"), far.instance("far"))
	for _, id := range []string{"near", "far"} {
		runExchange(t, pool, id)
		pool.servers[id].idle[0].idleSince = time.Now().Add(-outsideSubsetIdleTimeout)
	}
	if stale := pool.pruneIdle(); len(stale) != 0 {
		t.Fatalf("without a part %d connections are closed", len(stale))
	}
	pool.subsetServers = func() map[string]bool { return map[string]bool{"near": true} }
	closeConns(pool.pruneIdle())
	wantClosed(t, <-far.conns)
	if pool.openCount != 1 || len(pool.servers["near"].idle) != 1 {
		t.Errorf("%d connections counted, the one in the part is open", pool.openCount)
	}
}

// After a timeout on one connection the others of that server are not used again: if its machine is gone they are
// unresponsive too, and each would cost a request its time.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Trace-Id") == "silent" {
			select {}
		}
		return respondWith(okAnswer)(c, r, body)
	})
	pool := newTestPool(s.instance("a"))
	c, err := pool.acquire(context.Background(), "a")
	if err != nil {
		t.Fatal(err)
	}
	runExchange(t, pool, "a")
	pool.release(c)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, res := pool.exchange(ctx, "a", &serverRequest{method: "GET", target: "/check", id: "silent"})
	wantResult(t, res, policy.TimedOut)
	wantClosed(t, <-s.conns)
	wantClosed(t, <-s.conns)
	if pool.openCount != 0 {
		t.Errorf("%d connections counted, none open", pool.openCount)
	}
}
