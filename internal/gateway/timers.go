package gateway

import (
	"container/heap"
	"time"
)

// timerQueue is a heap of the engine's timers, ordered by time. It implements [heap.Interface].
type timerQueue []timer

type timer struct {
	at    time.Duration
	token uint64
}

func (t timerQueue) Len() int { return len(t) }

func (t timerQueue) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timerQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timerQueue) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timerQueue) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// push is like heap.Push, but does not allocate.
func (t *timerQueue) push(x timer) {
	*t = append(*t, x)
	heap.Fix(t, len(*t)-1)
}
