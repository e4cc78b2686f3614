package gateway

import (
	"container/heap"
	"math"
	"time"

	"mulleinmux/policy"
)

// timerQueue are the engine's timers, the earliest first.
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

// push is heap.Push without the allocation.
func (t *timerQueue) push(x timer) {
	*t = append(*t, x)
	heap.Fix(t, len(*t)-1)
}

// fireTimers brings the engine the timers that are due.
func (in *Instance) fireTimers() {
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		for len(in.timers) > 0 && in.timers[0].at <= now {
			token := in.timers[0].token
			n := len(in.timers) - 1
			in.timers[0] = in.timers[n]
			if in.timers = in.timers[:n]; n > 0 {
				heap.Fix(&in.timers, 0)
			}
			in.engine.TimerFired(now, token, out)
		}
		in.timerAt = math.MaxInt64
		in.scheduleTimer(now)
	})
}

// scheduleTimer has ring called at the earliest timer. Called under the mutex.
func (in *Instance) scheduleTimer(now time.Duration) {
	if len(in.timers) > 0 && in.timers[0].at < in.timerAt {
		in.timerAt = in.timers[0].at
		in.timer.Reset(max(in.timerAt-now, 0))
	}
}
