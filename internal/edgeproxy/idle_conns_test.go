package edgeproxy

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"mulleinmux/internal/serverpool"
	"mulleinmux/internal/serverpool/conntable"
	"mulleinmux/policy"
)

// staleConnCase is a request that is reset, with what preceded the reset.
type staleConnCase struct {
	idleTime     time.Duration // of its connection
	responseTime time.Duration // from the request to the reset
	learns       bool          // the pool shortens its idle timeout
}

// A server that closes idle connections earlier than the settings say is noticed only when a request is written to such
// a connection, and that request may have been executed. So after the first such reset the pool keeps the server's
// connections for a shorter time. A reset of a request that the server had begun, or on a connection that was just
// used, must not change the idle timeout.
func TestStaleConnections(t *testing.T) {
	for name, c := range map[string]staleConnCase{
		"stale":           {10 * conntable.MinIdleTimeout, 0, true},
		"just used":       {0, 0, false},
		"server at work":  {10 * conntable.MinIdleTimeout, 2 * conntable.StaleResetWindow, false},
		"idle for little": {conntable.MinIdleTimeout / 2, 0, false},
	} {
		t.Run(name, c.run)
	}
}

// run checks the idle timeout after the reset, and that it recovers later.
func (c staleConnCase) run(t *testing.T) {
	s := newAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Trace-Id") == "fine" {
			return respondWith(okAnswer)(conn, r, body)
		}
		time.Sleep(c.responseTime) // the server's processing time
		conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	clock := newTestClock()
	pool := newTestPoolWith(time.Minute, serverPoolOptions{now: clock.now}, s.instance("a"))
	idleTimeout := func() time.Duration { return pool.Snapshot().Servers["a"].IdleTimeout }
	maxIdleTimeout := idleTimeout()

	runAnsweredExchange(t, pool)
	clock.advance(c.idleTime)
	_, res := runExchange(t, pool, "a")
	wantResult(t, res, policy.ConnectionReset)
	if got := idleTimeout() != maxIdleTimeout; got != c.learns {
		t.Fatalf("idle timeout %v after the reset: shortened %v, want %v", idleTimeout(), got, c.learns)
	}

	runAnsweredExchange(t, pool)
	clock.advance(c.idleTime)
	old := idleConns(pool, "a")[0]
	runAnsweredExchange(t, pool)
	if again := idleConns(pool, "a")[0] == old; again == c.learns {
		t.Errorf("connection idle for the same time: reused %v", again)
	}
	clock.advance(12 * conntable.IdleTimeoutDoublingInterval)
	if keep := idleTimeout(); keep != maxIdleTimeout {
		t.Errorf("idle timeout long after the reset: got %v, want %v", keep, maxIdleTimeout)
	}
}

// A connection close to the age at which servers close it is closed, both when it is acquired and while it is idle.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := newAppServer(t, respondWith(okAnswer))
	clock := newTestClock()
	const serverIdleTimeout = 50 * time.Millisecond // determines the interval of pruning
	pool := newTestPoolWith(serverIdleTimeout, serverPoolOptions{now: clock.now}, s.instance("a"))
	maxIdleTimeout := serverpool.MaxIdleTimeout(serverIdleTimeout)
	runExchange(t, pool, "a")
	clock.advance(maxIdleTimeout)
	runExchange(t, pool, "a")
	wantClosed(t, <-s.conns)
	clock.advance(maxIdleTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.RunPruning(ctx)
	wantClosed(t, <-s.conns)
	wantOpenConns(t, pool, 0)
}

// An idle connection to a server outside of the node's subset is closed soon. Inside the subset, or without a subset,
// it is kept.
func TestIdleConnectionsOutsideSubset(t *testing.T) {
	near, far := newAppServer(t, respondWith(okAnswer)), newAppServer(t, respondWith(okAnswer))
	clock := newTestClock()
	var subset map[string]bool
	options := serverPoolOptions{now: clock.now, subsetServers: func() map[string]bool { return subset }}
	pool := newTestPoolWith(time.Minute, options, near.instance("near"), far.instance("far"))
	for _, id := range []string{"near", "far"} {
		runExchange(t, pool, id)
	}
	clock.advance(conntable.OutsideSubsetIdleTimeout)
	pool.Prune()
	wantOpenConns(t, pool, 2)
	subset = map[string]bool{"near": true}
	pool.Prune()
	wantClosed(t, <-far.conns)
	wantOpenConns(t, pool, 1)
	if len(idleConns(pool, "near")) != 1 {
		t.Error("the connection to the server in the subset was closed")
	}
}

// After a timeout on one connection, the server's other connections are not reused. If the machine has failed they are
// unresponsive too, and each would cost a request its time.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Trace-Id") == "silent" {
			select {}
		}
		return respondWith(okAnswer)(c, r, body)
	})
	pool := newTestPool(s.instance("a"))
	c, err := pool.Acquire(context.Background(), "a")
	if err != nil {
		t.Fatal(err)
	}
	runExchange(t, pool, "a")
	pool.Release(c)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, res := pool.exchange(ctx, "a", &serverRequest{method: "GET", target: "/check", id: "silent"})
	wantResult(t, res, policy.TimedOut)
	wantClosed(t, <-s.conns)
	wantClosed(t, <-s.conns)
	wantOpenConns(t, pool, 0)
}
