package discovery

import (
	"slices"
	"testing"
	"time"
)

// serverQueue is a discovery server that serves calls in turn, each for as long as the next, rejects those
// that would wait for more than three time-outs, and works on calls that nobody waits for any more.
type serverQueue struct {
	serviceTime, timeout time.Duration
	freeAt               time.Duration // when it has served all that it took
}

// call returns when a response comes, and whether it is a list.
func (l *serverQueue) call(now time.Duration) (time.Duration, bool) {
	begin := max(l.freeAt, now)
	if begin+l.serviceTime-now > 3*l.timeout {
		return now + 2*time.Millisecond, false
	}
	l.freeAt = begin + l.serviceTime
	if l.freeAt-now > l.timeout {
		return now + l.timeout, false
	}
	return l.freeAt, true
}

// simulateReconnects starts some nodes at the same moment, and returns how many have a watch after a time,
// when the last of them had it, and the calls.
func simulateReconnects(
	nodes int, backoff func(node int) *Backoff, within time.Duration,
) (have int, last time.Duration, calls int) {
	l := serverQueue{serviceTime: 110 * time.Millisecond, timeout: 2 * time.Second}
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
		if at, ok := l.call(now); ok {
			have, last, due[i] = have+1, max(last, at), never
		} else {
			due[i] = at + backoffs[i].NextDelay(false)
		}
	}
	return have, last, calls
}

// 60 nodes call at once while the server serves 9 calls a second: all have their lists soon. Calling at
// once and again every second, as few nodes may, keeps the queue long for good.
func TestReconnectsAreSpreadOut(t *testing.T) {
	for seed := range uint64(5) {
		backoff := func(i int) *Backoff { return NewBackoff(80, seed<<8+uint64(i)) }
		have, last, calls := simulateReconnects(60, backoff, 30*time.Second)
		t.Logf("seed %d: %d of 60 have a watch, the last after %v, %d calls", seed, have, last, calls)
		if have < 60 || calls > 180 {
			t.Errorf("seed %d: %d of 60 have a watch after 30 s and %d calls", seed, have, calls)
		}
	}
	have, _, calls := simulateReconnects(60, func(int) *Backoff { return NewBackoff(1, 0) }, 30*time.Second)
	t.Logf("all at once: %d of 60 have a watch, %d calls", have, calls)
	if have > 40 || calls < 300 {
		t.Errorf("the server of this test is not overloaded: %d of 60 have a watch after %d calls", have, calls)
	}
}

// A small tier loses nothing: its nodes call again soon.
func TestSmallTierRetriesSoon(t *testing.T) {
	for _, nodes := range []int{1, 3, smallTier} {
		p := NewBackoff(nodes, 1)
		for _, want := range []time.Duration{
			minBackoff, 2 * minBackoff, 4 * minBackoff, 8 * minBackoff, maxBackoff, maxBackoff,
		} {
			if w := p.NextDelay(false); w != want {
				t.Errorf("%d nodes: a delay of %v, want %v", nodes, w, want)
			}
		}
		if w := p.NextDelay(true); w != minBackoff {
			t.Errorf("%d nodes: a delay of %v after a watch", nodes, w)
		}
	}
}

// Delays stay within their range at any size of the tier, and nodes differ; after a watch that ended the
// first is short, since what the server has to tell counts as known.
func TestDelaysGrowAndDiffer(t *testing.T) {
	for _, nodes := range []int{smallTier + 1, 80, 300, 1000} {
		a, b := NewBackoff(nodes, 1), NewBackoff(nodes, 2)
		spread := min(time.Duration(nodes)*callInterval, maxSpread)
		for i := range 20 {
			w := a.NextDelay(false)
			isOutOfRange := w < spread/2 || w > maxDelaySpreads*spread*3/2 || i == 0 && w > spread*3/2
			if isOutOfRange || w == b.NextDelay(false) {
				t.Errorf("%d nodes: a delay of %v", nodes, w)
			}
		}
		if w := a.NextDelay(true); w > 200*time.Millisecond {
			t.Errorf("%d nodes: a delay of %v after a watch that ended", nodes, w)
		}
	}
}
