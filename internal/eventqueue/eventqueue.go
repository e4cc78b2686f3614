// Package eventqueue orders the events of a simulation on a virtual clock, in tests.
package eventqueue

import "time"

// Event is a function to run at a virtual time. Of events at the same time, the one with the lowest Order comes first.
type Event struct {
	At    time.Duration
	Order int
	Run   func()
}

// isBefore reports whether the event precedes another.
func (e *Event) isBefore(other *Event) bool {
	return e.At < other.At || e.At == other.At && e.Order < other.Order
}

// Queue is a binary heap of pending events. The zero value is empty. It doesn't use container/heap, which would
// allocate for each event: simulations have millions of them.
type Queue struct{ heap []Event }

// Len returns the number of events.
func (q *Queue) Len() int { return len(q.heap) }

// NextAt returns the time of the next event. The queue must not be empty.
func (q *Queue) NextAt() time.Duration { return q.heap[0].At }

// Push adds an event.
func (q *Queue) Push(event Event) {
	q.heap = append(q.heap, event)
	child := len(q.heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !q.heap[child].isBefore(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		child = parent
	}
}

// Pop removes the next event and returns it. The queue must not be empty.
func (q *Queue) Pop() Event {
	next, last := q.heap[0], len(q.heap)-1
	q.heap[0] = q.heap[last]
	q.heap[last] = Event{} // allows its function to be garbage collected
	q.heap = q.heap[:last]
	q.siftDown()
	return next
}

// siftDown restores the heap order by moving the first event down.
func (q *Queue) siftDown() {
	parent := 0
	for {
		child := 2*parent + 1
		if child >= len(q.heap) {
			return
		}
		if right := child + 1; right < len(q.heap) && q.heap[right].isBefore(&q.heap[child]) {
			child = right
		}
		if !q.heap[child].isBefore(&q.heap[parent]) {
			return
		}
		q.heap[parent], q.heap[child] = q.heap[child], q.heap[parent]
		parent = child
	}
}
