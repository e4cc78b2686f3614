// Package eventqueue orders the events of a simulation on a virtual clock, in tests.
package eventqueue

import "time"

// Event is something that happens at a time. Of events of one time, the one with the lowest order comes first.
type Event struct {
	At    time.Duration
	Order int
	Run   func()
}

// isBefore reports whether the event comes before another.
func (e *Event) isBefore(other *Event) bool {
	return e.At < other.At || e.At == other.At && e.Order < other.Order
}

// Queue is a binary heap of the events to come; the zero value is empty. It is typed, as container/heap would allocate
// for each event, of which simulations have millions.
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
	q.heap[last] = Event{} // its function is garbage
	q.heap = q.heap[:last]
	q.sinkFirst()
	return next
}

// sinkFirst moves the first event down to where it belongs.
func (q *Queue) sinkFirst() {
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
