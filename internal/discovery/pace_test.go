package discovery

import (
	"slices"
	"testing"
	"time"
)

// A register that serves calls in turn, each for as long as the next, turns those away that would wait for more than
// three time-outs, and works on calls that nobody waits for any more.
type line struct {
	each, timeout time.Duration
	free          time.Duration // when it has served all that it took
}

// call tells when an answer comes, and whether it is a list.
func (l *line) call(now time.Duration) (time.Duration, bool) {
	begin := max(l.free, now)
	if begin+l.each-now > 3*l.timeout {
		return now + 2*time.Millisecond, false
	}
	l.free = begin + l.each
	if l.free-now > l.timeout {
		return now + l.timeout, false
	}
	return l.free, true
}

// herd lets some nodes begin at the same moment, and returns how many have a watch after a time, the last
// of them, and the calls.
func herd(nodes int, pace func(node int) *Backoff, within time.Duration) (have int, last time.Duration, calls int) {
	l := line{each: 110 * time.Millisecond, timeout: 2 * time.Second}
	const never = time.Hour
	paces, due := make([]*Backoff, nodes), make([]time.Duration, nodes)
	for i := range paces {
		paces[i] = pace(i)
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
			due[i] = at + paces[i].NextDelay(false)
		}
	}
	return have, last, calls
}

// 60 nodes call at once while the register serves 9 calls a second: all have their lists soon. Calling at
// once and again every second, as few nodes may, keeps the line long for good.
func TestAHerdOfCallsIsSpreadOut(t *testing.T) {
	for seed := range uint64(5) {
		have, last, calls := herd(60, func(i int) *Backoff { return NewBackoff(80, seed<<8+uint64(i)) }, 30*time.Second)
		t.Logf("seed %d: %d of 60 have a watch, the last after %v, %d calls", seed, have, last, calls)
		if have < 60 || calls > 180 {
			t.Errorf("seed %d: %d of 60 have a watch after 30 s and %d calls", seed, have, calls)
		}
	}
	have, _, calls := herd(60, func(int) *Backoff { return NewBackoff(1, 0) }, 30*time.Second)
	t.Logf("all at once: %d of 60 have a watch, %d calls", have, calls)
	if have > 40 || calls < 300 {
		t.Errorf("the register of this test is not overbooked: %d of 60 have a watch after %d calls", have, calls)
	}
}

// Few nodes lose nothing: they call soon again.
func TestFewNodesCallSoonAgain(t *testing.T) {
	for _, nodes := range []int{1, 3, fewNodes} {
		p := NewBackoff(nodes, 1)
		for _, want := range []time.Duration{backoffLeast, 2 * backoffLeast, 4 * backoffLeast, 8 * backoffLeast, backoffMost, backoffMost} {
			if w := p.NextDelay(false); w != want {
				t.Errorf("%d nodes: a pause of %v, want %v", nodes, w, want)
			}
		}
		if w := p.NextDelay(true); w != backoffLeast {
			t.Errorf("%d nodes: a pause of %v after a watch", nodes, w)
		}
	}
}

// Pauses stay within their range at any size of the fleet, and nodes differ; after a watch that ended the first is short, since what the
// register has to tell counts as told.
func TestPausesGrowAndDiffer(t *testing.T) {
	for _, nodes := range []int{fewNodes + 1, 80, 300, 1000} {
		a, b := NewBackoff(nodes, 1), NewBackoff(nodes, 2)
		spread := min(time.Duration(nodes)*callApart, spreadMax)
		for i := range 20 {
			if w := a.NextDelay(false); w < spread/2 || w > pauseMax*spread*3/2 || i == 0 && w > spread*3/2 || w == b.NextDelay(false) {
				t.Errorf("%d nodes: a pause of %v", nodes, w)
			}
		}
		if w := a.NextDelay(true); w > 200*time.Millisecond {
			t.Errorf("%d nodes: a pause of %v after a watch that ended", nodes, w)
		}
	}
}
