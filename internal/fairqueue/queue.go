// Package fairqueue decides in which order the connections of a server get the processor for their next request, and
// which of them wait though it is idle. Connections are served in the order of fair queueing, by the virtual times at
// which their requests would end, so that one that sends at full speed delays the others by one of its requests at
// most, and less if theirs cost less. Beyond that, a connection whose requests cost work without being forwarded is
// paced: such work may take a fraction of the processor only.
//
// The package does no I/O and reads no clock; the caller guards a queue with a mutex.
package fairqueue

import (
	"container/heap"
	"time"
)

// Cost of a request until it is forwarded or answered, in processor time.
const (
	baseCost      = 50 * time.Microsecond
	costPerKB     = 5 * time.Microsecond
	costPerField  = 500 * time.Nanosecond
	costPerChunk  = 200 * time.Nanosecond
	bytesPerKB    = 1 << 10
	maxTurnWait   = 500 * time.Millisecond // for the pacing of one request
	debtAllowance = 20 * time.Millisecond  // work of a connection that is not forwarded before it is paced
	maxPacedShare = 0.02                   // of the processor, for one paced connection
	pacedShare    = 0.25                   // of the processor, for all paced connections together
)

// AcceptCost is the cost of a connection, from its accept to its close, with its first request.
const AcceptCost = 200 * time.Microsecond

// RequestCost returns the cost of a request with a head of the given size.
func RequestCost(headBytes, fieldLines int) time.Duration {
	return baseCost + time.Duration(headBytes)*costPerKB/bytesPerKB + time.Duration(fieldLines)*costPerField
}

// BodyCost returns the cost of receiving a request's body of the given size.
func BodyCost(bytes int64, chunks int) time.Duration {
	return time.Duration(bytes)*costPerKB/bytesPerKB + time.Duration(chunks)*costPerChunk
}

// Flow is one connection's place in a queue. The zero value has not been served yet. O identifies the connection to the
// caller.
type Flow[O any] struct {
	Owner O

	startTag  time.Duration // virtual time at which its latest request begins
	finishTag time.Duration // virtual time at which it ends
	sequence  uint64        // of the request that waits
	index     int           // in the heap; valid while it waits

	debt      time.Duration // work that was not forwarded, less what was paid off since
	debtAt    time.Time     // when the debt was last computed
	isInDebt  bool          // counted in Queue.inDebt
	hasTurn   bool
	hasLeft   bool
	isWaiting bool
}

// HasTurn reports whether it is the flow's turn.
func (f *Flow[O]) HasTurn() bool { return f.hasTurn }

// Queue decides whose turn it is. One flow has the turn at a time.
type Queue[O any] struct {
	virtualTime time.Duration
	sequence    uint64
	waiting     flowHeap[O]
	current     *Flow[O]
	inDebt      int // flows whose debt exceeds the allowance
}

// Delay returns how long the flow has to wait before its next request may ask for a turn, because earlier ones cost
// work in vain.
func (q *Queue[O]) Delay(now time.Time, f *Flow[O]) time.Duration {
	q.payOff(now, f)
	if f.debt <= debtAllowance {
		return 0
	}
	return min(time.Duration(float64(f.debt-debtAllowance)/q.share()), maxTurnWait)
}

// share returns the fraction of the processor that pays off the debt of one flow.
func (q *Queue[O]) share() float64 { return min(maxPacedShare, pacedShare/float64(max(q.inDebt, 1))) }

// payOff reduces the flow's debt by the time that has passed.
func (q *Queue[O]) payOff(now time.Time, f *Flow[O]) {
	if !f.debtAt.IsZero() {
		f.debt = max(f.debt-time.Duration(float64(now.Sub(f.debtAt))*q.share()), 0)
	}
	f.debtAt = now
	q.countDebt(f)
}

// countDebt updates the count of flows in debt.
func (q *Queue[O]) countDebt(f *Flow[O]) {
	isInDebt := f.debt > debtAllowance
	if isInDebt && !f.isInDebt {
		q.inDebt++
	}
	if !isInDebt && f.isInDebt {
		q.inDebt--
	}
	f.isInDebt = isInDebt
}

// ChargeUnforwarded adds the cost of a request that was answered without having been forwarded to the flow's debt.
func (q *Queue[O]) ChargeUnforwarded(now time.Time, f *Flow[O], cost time.Duration) {
	q.payOff(now, f)
	f.debt += cost
	q.countDebt(f)
}

// Arrive asks for a turn for a request of the given cost, and reports whether it is the flow's turn now. Otherwise End
// will return the flow in its turn.
func (q *Queue[O]) Arrive(f *Flow[O], cost time.Duration) (isTurn bool) {
	if f.hasLeft {
		return true // its connection has ended: there is nothing to wait for, and no turn to hand on
	}
	f.startTag = max(q.virtualTime, f.finishTag)
	f.finishTag = f.startTag + cost
	if q.current == nil {
		q.begin(f)
		return true
	}
	f.sequence = q.sequence
	q.sequence++
	f.isWaiting = true
	heap.Push(&q.waiting, f)
	return false
}

// begin gives the turn to a flow.
func (q *Queue[O]) begin(f *Flow[O]) {
	q.current = f
	f.hasTurn, f.isWaiting = true, false
	q.virtualTime = max(q.virtualTime, f.startTag)
}

// End ends the turn of a flow, if it has it, and returns the flow whose turn it is next; nil if none waits.
func (q *Queue[O]) End(f *Flow[O]) (next *Flow[O]) {
	if !f.hasTurn {
		return nil
	}
	f.hasTurn = false
	q.current = nil
	if len(q.waiting) == 0 {
		return nil
	}
	next = heap.Pop(&q.waiting).(*Flow[O])
	q.begin(next)
	return next
}

// HandOn gives the turn of one flow, if it has it, to another one that does not wait.
func (q *Queue[O]) HandOn(from, to *Flow[O]) {
	if !from.hasTurn || to.hasLeft {
		return
	}
	from.hasTurn, to.hasTurn = false, true
	q.current = to
}

// Leave removes a flow whose connection has ended, and returns the flow whose turn it is next; nil if there is none.
func (q *Queue[O]) Leave(f *Flow[O]) (next *Flow[O]) {
	if f.isWaiting {
		heap.Remove(&q.waiting, f.index)
		f.isWaiting = false
	}
	f.debt, f.hasLeft = 0, true
	q.countDebt(f)
	return q.End(f)
}

// flowHeap orders waiting flows by their finish tag, then by their arrival.
type flowHeap[O any] []*Flow[O]

func (h flowHeap[O]) Len() int { return len(h) }

func (h flowHeap[O]) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].sequence < h[j].sequence
}

func (h flowHeap[O]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *flowHeap[O]) Push(x any) {
	f := x.(*Flow[O])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements [heap.Interface].
func (h *flowHeap[O]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
