package discovery

import (
	"slices"
	"testing"
	"time"
)

// serverQueue models a discovery server that handles calls one after another in a constant time. It rejects calls that
// would wait for more than three timeouts, and completes calls whose callers have timed out.
type serverQueue struct {
	serviceTime, timeout time.Duration
	freeAt               time.Duration // when it will have handled all accepted calls
}

// call returns the time at which the caller gets a response or times out, and whether it got a list.
func (q *serverQueue) call(now time.Duration) (time.Duration, bool) {
	begin := max(q.freeAt, now)
	if begin+q.serviceTime-now > 3*q.timeout {
		return now + 2*time.Millisecond, false
	}
	q.freeAt = begin + q.serviceTime
	if q.freeAt-now > q.timeout {
		return now + q.timeout, false
	}
	return q.freeAt, true
}

// simulateReconnects starts a number of nodes at the same moment. It returns how many of them have a watch after the
// time within, when the last of these got it, and the number of calls.
func simulateReconnects(
	nodes int, backoff func(node int) *Backoff, within time.Duration,
) (connected int, last time.Duration, calls int) {
	queue := serverQueue{serviceTime: 110 * time.Millisecond, timeout: 2 * time.Second}
	const never = time.Hour
	backoffs, due := make([]*Backoff, nodes), make([]time.Duration, nodes)
	for i := range backoffs {
		backoffs[i] = backoff(i)
	}
	for {
		now := slices.Min(due)
		if now > within {
			break
		}
		i := slices.Index(due, now)
		calls++
		if at, ok := queue.call(now); ok {
			connected, last, due[i] = connected+1, max(last, at), never
		} else {
			due[i] = at + backoffs[i].NextDelay(false)
		}
	}
	return connected, last, calls
}

// 60 nodes call at the same moment, and the server handles 9 calls a second: all nodes must get a watch soon. With the
// backoff of a small tier, which retries every second, the server's queue would stay long for good.
func TestReconnectsAreSpreadOut(t *testing.T) {
	for seed := range uint64(5) {
		backoff := func(i int) *Backoff { return NewBackoff(80, seed<<8+uint64(i)) }
		connected, last, calls := simulateReconnects(60, backoff, 30*time.Second)
		t.Logf("seed %d: %d of 60 have a watch, the last after %v, %d calls", seed, connected, last, calls)
		if connected < 60 || calls > 180 {
			t.Errorf("seed %d: %d of 60 have a watch after 30 s and %d calls, want 60 and at most 180", seed, connected, calls)
		}
	}
	connected, _, calls := simulateReconnects(60, func(int) *Backoff { return NewBackoff(1, 0) }, 30*time.Second)
	t.Logf("all at once: %d of 60 have a watch, %d calls", connected, calls)
	if connected > 40 || calls < 300 {
		t.Errorf("simulated server is not overloaded: %d of 60 have a watch after %d calls", connected, calls)
	}
}

// The nodes of a small tier retry soon: their delays double from the minimum to the maximum.
func TestSmallTierRetriesSoon(t *testing.T) {
	for _, nodes := range []int{1, 3, maxSmallTierNodes} {
		p := NewBackoff(nodes, 1)
		for _, want := range []time.Duration{
			minBackoff, 2 * minBackoff, 4 * minBackoff, 8 * minBackoff, maxBackoff, maxBackoff,
		} {
			if w := p.NextDelay(false); w != want {
				t.Errorf("%d nodes: got a delay of %v, want %v", nodes, w, want)
			}
		}
		if w := p.NextDelay(true); w != minBackoff {
			t.Errorf("%d nodes: got a delay of %v after a watch that received data, want the minimum", nodes, w)
		}
	}
}

// Delays stay within their range at any size of the tier and differ between nodes. The first delay after a watch that
// received data is short, since nodes are expected to act on what the server publishes.
func TestDelaysGrowAndDiffer(t *testing.T) {
	for _, nodes := range []int{maxSmallTierNodes + 1, 80, 300, 1000} {
		a, b := NewBackoff(nodes, 1), NewBackoff(nodes, 2)
		spread := min(time.Duration(nodes)*callInterval, maxSpread)
		for i := range 20 {
			w := a.NextDelay(false)
			isOutOfRange := w < spread/2 || w > maxDelaySpreads*spread*3/2 || i == 0 && w > spread*3/2
			if isOutOfRange || w == b.NextDelay(false) {
				t.Errorf("%d nodes: delay %v is out of range or the same for two nodes", nodes, w)
			}
		}
		if w := a.NextDelay(true); w > 200*time.Millisecond {
			t.Errorf("%d nodes: got a delay of %v after a watch that received data, want at most 200ms", nodes, w)
		}
	}
}
