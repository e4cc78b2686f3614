package serverpool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/serverpool/conntable"
	"mulleinmux/policy"
)

// fakeConn is a connection without a socket.
type fakeConn struct {
	isUnquiet  atomic.Bool
	closeCount atomic.Int32
	onClose    func()
}

func (c *fakeConn) Close() error {
	c.closeCount.Add(1)
	if c.onClose != nil {
		c.onClose()
	}
	return nil
}

func (c *fakeConn) IsQuiet() bool { return !c.isUnquiet.Load() }

type fakeDial func(ctx context.Context, serverID string, addr netip.AddrPort) (*fakeConn, error)

func dialFakeConn(context.Context, string, netip.AddrPort) (*fakeConn, error) {
	return &fakeConn{}, nil
}

func newFakePool(maxOpen int, dial fakeDial) *Pool[*fakeConn] {
	return New(Config[*fakeConn]{
		Config: conntable.Config{MaxIdleTimeout: time.Minute, MaxOpen: maxOpen},
		Dial:   dial,
	})
}

func endpoint(id string, state policy.ServerState) discovery.Endpoint {
	return discovery.Endpoint{
		Server: policy.Server{ID: id, State: state},
		Addr:   netip.MustParseAddrPort("127.0.0.1:1"),
	}
}

func setServersUp(pool *Pool[*fakeConn], ids ...string) {
	var entries []discovery.Endpoint
	for _, id := range ids {
		entries = append(entries, endpoint(id, policy.Up))
	}
	pool.UpdateEndpoints(entries, policy.EndpointsComplete).Close()
}

func mustAcquire(t *testing.T, pool *Pool[*fakeConn], id string) *Conn[*fakeConn] {
	t.Helper()
	conn, err := pool.Acquire(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func checkOpenCount(t *testing.T, pool *Pool[*fakeConn], want int) {
	t.Helper()
	if got := pool.Snapshot().OpenCount; got != want {
		t.Errorf("got %d connections counted as open, want %d", got, want)
	}
}

// An idle connection that is not quiet is closed, and the next idle one is tried.
func TestUnquietConnectionIsDiscarded(t *testing.T) {
	pool := newFakePool(9, dialFakeConn)
	setServersUp(pool, "a")
	quiet, unquiet := mustAcquire(t, pool, "a"), mustAcquire(t, pool, "a")
	pool.Release(quiet)
	pool.Release(unquiet)
	unquiet.HostConn.isUnquiet.Store(true)
	if conn := mustAcquire(t, pool, "a"); conn != quiet {
		t.Error("acquired connection is not the quiet one")
	}
	if n := unquiet.HostConn.closeCount.Load(); n != 1 {
		t.Errorf("unquiet connection closed %d times, want once", n)
	}
	checkOpenCount(t, pool, 1)
}

// A dial that fails or is cancelled is no longer counted as an open connection.
func TestCancelledDialIsNotCounted(t *testing.T) {
	dialling := make(chan bool)
	pool := newFakePool(1, func(ctx context.Context, _ string, _ netip.AddrPort) (*fakeConn, error) {
		dialling <- true
		<-ctx.Done()
		return nil, ctx.Err()
	})
	setServersUp(pool, "a")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := pool.Acquire(ctx, "a")
		failed <- err
	}()
	<-dialling
	checkOpenCount(t, pool, 1)
	if _, err := pool.Acquire(ctx, "a"); err != ErrNoDescriptor {
		t.Errorf("Acquire at the limit: got error %v, want %v", err, ErrNoDescriptor)
	}
	cancel()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled Acquire: got error %v, want context canceled", err)
	}
	checkOpenCount(t, pool, 0)
}

// If the endpoint list moves, restarts, drains or removes a server during a dial, the new connection is closed.
func TestEndpointsChangeDuringDial(t *testing.T) {
	moved := endpoint("a", policy.Up)
	moved.Addr = netip.MustParseAddrPort("127.0.0.1:2")
	restarted := endpoint("a", policy.Up)
	restarted.StartedAt = time.Second
	for name, change := range map[string]struct {
		entries []discovery.Endpoint
		kind    policy.EndpointUpdateKind
	}{
		"moved":     {[]discovery.Endpoint{moved}, policy.EndpointsDelta},
		"restarted": {[]discovery.Endpoint{restarted}, policy.EndpointsDelta},
		"draining":  {[]discovery.Endpoint{endpoint("a", policy.Draining)}, policy.EndpointsDelta},
		"removed":   {[]discovery.Endpoint{endpoint("a", policy.Removed)}, policy.EndpointsDelta},
		"unlisted":  {nil, policy.EndpointsComplete},
	} {
		t.Run(name, func(t *testing.T) {
			dialled := &fakeConn{}
			var pool *Pool[*fakeConn]
			pool = newFakePool(1, func(context.Context, string, netip.AddrPort) (*fakeConn, error) {
				pool.UpdateEndpoints(change.entries, change.kind).Close()
				return dialled, nil
			})
			setServersUp(pool, "a")
			if _, err := pool.Acquire(t.Context(), "a"); err != ErrServerNotUp {
				t.Errorf("got error %v, want %v", err, ErrServerNotUp)
			}
			if n := dialled.closeCount.Load(); n != 1 {
				t.Errorf("dialled connection closed %d times, want once", n)
			}
			checkOpenCount(t, pool, 0)
		})
	}
}

// newPoolInUse returns a pool with two connections to server a, one idle and one in use.
func newPoolInUse(t *testing.T) (pool *Pool[*fakeConn], idle, used *Conn[*fakeConn]) {
	t.Helper()
	pool = newFakePool(9, dialFakeConn)
	setServersUp(pool, "a")
	idle, used = mustAcquire(t, pool, "a"), mustAcquire(t, pool, "a")
	pool.Release(idle)
	return pool, idle, used
}

// A connection that is in use when the pool is closed is closed on its release.
func TestReleaseAfterClose(t *testing.T) {
	pool, idle, used := newPoolInUse(t)
	pool.Close()
	checkOpenCount(t, pool, 1)
	pool.Release(used)
	checkOpenCount(t, pool, 0)
	for _, conn := range []*Conn[*fakeConn]{idle, used} {
		if n := conn.HostConn.closeCount.Load(); n != 1 {
			t.Errorf("connection closed %d times, want once", n)
		}
	}
}

// CloseIdle, which a hot restart calls, closes the idle connections and leaves those in use open.
func TestCloseIdleLeavesConnectionsInUse(t *testing.T) {
	pool, idle, used := newPoolInUse(t)
	pool.CloseIdle()
	checkOpenCount(t, pool, 1)
	if idle.HostConn.closeCount.Load() != 1 || used.HostConn.closeCount.Load() != 0 {
		t.Error("want the idle connection closed, and no other")
	}
	pool.Release(used)
	if conn := mustAcquire(t, pool, "a"); conn != used {
		t.Error("connection in use was not kept for reuse")
	}
}

// closingUses are the ways to end the use of a connection that close at least one connection.
var closingUses = map[string]func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]){
	"discard":       func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]) { pool.Discard(conn) },
	"close idle":    func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]) { pool.Release(conn); pool.CloseIdle() },
	"close idle of": func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]) { pool.Release(conn); pool.CloseIdleOf(conn) },
	"close":         func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]) { pool.Release(conn); pool.Close() },
	"late release":  func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]) { pool.Close(); pool.Release(conn) },
	"prune": func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]) {
		pool.Release(conn)
		pool.Prune()
		pool.CloseIdle()
	},
	"evict": func(pool *Pool[*fakeConn], conn *Conn[*fakeConn]) {
		pool.Release(conn)
		one, _ := pool.Acquire(context.Background(), "b")
		other, _ := pool.Acquire(context.Background(), "b")
		pool.Discard(one)
		pool.Discard(other)
	},
}

// newReentrantPool returns a pool with a limit of two connections and the connections that it dials. Its dial, close
// and subset functions call the pool, so that each would block if it were called with the pool's mutex locked.
func newReentrantPool() (pool *Pool[*fakeConn], conns *[]*fakeConn) {
	conns = new([]*fakeConn)
	pool = newFakePool(2, func(context.Context, string, netip.AddrPort) (*fakeConn, error) {
		pool.Snapshot()
		conn := &fakeConn{onClose: func() { pool.Snapshot() }}
		*conns = append(*conns, conn)
		return conn, nil
	})
	pool.config.SubsetServers = func() map[string]bool {
		pool.Snapshot()
		return nil
	}
	return pool, conns
}

// No dial or close runs with the mutex locked: one that called the pool would deadlock.
func TestNoIOUnderMutex(t *testing.T) {
	for name, use := range closingUses {
		t.Run(name, func(t *testing.T) {
			pool, conns := newReentrantPool()
			setServersUp(pool, "a", "b")
			done := make(chan error, 1)
			go func() {
				conn, err := pool.Acquire(context.Background(), "a")
				if err == nil {
					use(pool, conn)
				}
				done <- err
			}()
			select {
			case err := <-done:
				if err != nil {
					t.Fatal(err)
				}
			case <-time.After(30 * time.Second):
				t.Fatal("pool deadlocked on its mutex")
			}
			checkOpenCount(t, pool, 0)
			setServersUp(pool, "a") // the pool must be usable after Close, too
			pool.Discard(mustAcquire(t, pool, "a"))
			checkOpenCount(t, pool, 0)
			for i, conn := range *conns {
				if n := conn.closeCount.Load(); n != 1 {
					t.Errorf("connection %d closed %d times, want once", i, n)
				}
			}
		})
	}
}

// Under concurrent use each connection is closed exactly once, and none is counted as open at the end.
func TestConcurrentUseLeavesNothingOpen(t *testing.T) {
	const users, rounds = 8, 400
	var mu sync.Mutex
	var all []*fakeConn
	pool := newFakePool(users-2, func(ctx context.Context, _ string, _ netip.AddrPort) (*fakeConn, error) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		conn := &fakeConn{}
		mu.Lock()
		all = append(all, conn)
		mu.Unlock()
		return conn, nil
	})
	setServersUp(pool, "0", "1", "2")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	var work sync.WaitGroup
	for user := range users {
		random := rand.New(rand.NewPCG(1, uint64(user)))
		work.Go(func() {
			for range rounds {
				useOnce(pool, random, cancelled)
			}
		})
	}
	work.Wait()
	pool.Close()
	checkOpenCount(t, pool, 0)
	for i, conn := range all {
		if n := conn.closeCount.Load(); n != 1 {
			t.Errorf("connection %d of %d closed %d times, want once", i, len(all), n)
		}
	}
}

// useOnce acquires a connection and ends its use in a random way. Before that it sometimes prunes the pool, closes its
// idle connections or changes the endpoint list.
func useOnce(pool *Pool[*fakeConn], random *rand.Rand, cancelled context.Context) {
	ctx, id := context.Background(), fmt.Sprint(random.IntN(3))
	switch random.IntN(20) {
	case 0:
		pool.Prune()
	case 1:
		pool.CloseIdle()
	case 2:
		restarted := endpoint(id, policy.Up)
		restarted.StartedAt = time.Duration(random.IntN(3))
		pool.UpdateEndpoints([]discovery.Endpoint{restarted}, policy.EndpointsDelta).Close()
	case 3:
		states := []policy.ServerState{policy.Up, policy.Draining, policy.Removed}
		changed := endpoint(id, states[random.IntN(len(states))])
		pool.UpdateEndpoints([]discovery.Endpoint{changed}, policy.EndpointsDelta).Close()
	case 4, 5:
		ctx = cancelled
	}
	conn, err := pool.Acquire(ctx, id)
	if err != nil {
		return
	}
	switch random.IntN(8) {
	case 0:
		pool.Discard(conn)
	case 1:
		pool.CloseIdleOf(conn)
		pool.Release(conn)
	case 2:
		pool.RecordReset(conn, 0)
		pool.Discard(conn)
	case 3:
		conn.HostConn.isUnquiet.Store(true)
		pool.Release(conn)
	default:
		pool.Release(conn)
	}
}

// RunPruning closes an expired connection and returns when its context is done.
func TestRunPruning(t *testing.T) {
	closed := make(chan bool)
	pool := New(Config[*fakeConn]{
		Config: conntable.Config{MaxIdleTimeout: time.Millisecond, MaxOpen: 1},
		Dial: func(context.Context, string, netip.AddrPort) (*fakeConn, error) {
			return &fakeConn{onClose: func() { close(closed) }}, nil
		},
	})
	setServersUp(pool, "a")
	pool.Release(mustAcquire(t, pool, "a"))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		pool.RunPruning(ctx)
		close(ended)
	}()
	<-closed
	cancel()
	<-ended
	checkOpenCount(t, pool, 0)
}
