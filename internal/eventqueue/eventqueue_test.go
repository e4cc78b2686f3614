package eventqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Pop must return events by time and, at equal times, by order, also if others are pushed between two calls.
func TestPopsInOrder(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	var queue Queue
	var pending []Event
	for order := range 5000 {
		event := Event{At: time.Duration(rng.IntN(100)), Order: order}
		queue.Push(event)
		pending = append(pending, event)
		for queue.Len() > 0 && rng.IntN(2) == 0 {
			pending = popAndCompare(t, &queue, pending)
		}
	}
	for queue.Len() > 0 {
		pending = popAndCompare(t, &queue, pending)
	}
	if len(pending) > 0 {
		t.Errorf("the queue is empty, but %d events were not popped", len(pending))
	}
}

// popAndCompare pops an event, fails the test unless it is the first of those pending, and returns the others.
func popAndCompare(t *testing.T, queue *Queue, pending []Event) []Event {
	t.Helper()
	first := 0
	for i := range pending {
		if pending[i].isBefore(&pending[first]) {
			first = i
		}
	}
	nextAt, got, want := queue.NextAt(), queue.Pop(), pending[first]
	if got.At != want.At || got.Order != want.Order || nextAt != want.At {
		t.Fatalf("popped event %d at %v (NextAt: %v), want %d at %v", got.Order, got.At, nextAt, want.Order, want.At)
	}
	return slices.Delete(pending, first, first+1)
}

func TestPopReturnsFunction(t *testing.T) {
	t.Parallel()
	var queue Queue
	ran := ""
	queue.Push(Event{At: 2, Run: func() { ran += "second" }})
	queue.Push(Event{At: 1, Run: func() { ran += "first " }})
	for queue.Len() > 0 {
		queue.Pop().Run()
	}
	if ran != "first second" {
		t.Errorf("events ran in the order %q, want first second", ran)
	}
}
