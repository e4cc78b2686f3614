package edgeproxy

import (
	"sync"
	"time"

	"mulleinmux/internal/fairqueue"
)

// turnQueue gives the connections of clients their turns to have a request processed, until it is forwarded or
// answered. Package fairqueue decides; the queue carries the decisions out. A nil queue gives each connection its turn
// at once.
type turnQueue struct {
	events *hostCounters

	mu    sync.Mutex
	queue fairqueue.Queue[*connTurn]
}

// connTurn is one connection's place in the queue. A nil connTurn always has its turn.
type connTurn struct {
	queue   *turnQueue
	flow    fairqueue.Flow[*connTurn]
	granted chan struct{} // receives a value when the connection gets its turn after a wait
}

// newConn returns the place of a new connection.
func (q *turnQueue) newConn() *connTurn {
	if q == nil {
		return nil
	}
	t := &connTurn{queue: q, granted: make(chan struct{}, 1)}
	t.flow.Owner = t
	return t
}

// pace waits if earlier requests of the connection cost work in vain.
func (t *connTurn) pace() {
	if t == nil {
		return
	}
	t.queue.mu.Lock()
	delay := t.queue.queue.Delay(time.Now(), &t.flow)
	t.queue.mu.Unlock()
	if delay > 0 {
		t.end()
		t.queue.events.count(pacedRequest)
		time.Sleep(delay)
	}
}

// await waits until it is the connection's turn to have a request of the given cost processed, or leave is called.
func (t *connTurn) await(cost time.Duration) {
	if t == nil {
		return
	}
	t.queue.mu.Lock()
	isTurn := t.flow.HasTurn() || t.queue.queue.Arrive(&t.flow, cost)
	t.queue.mu.Unlock()
	if !isTurn {
		<-t.granted
	}
}

// end ends the connection's turn, if it has it.
func (t *connTurn) end() {
	if t != nil {
		t.queue.pass((*fairqueue.Queue[*connTurn]).End, &t.flow)
	}
}

// handOn gives the turn, if the connection has it, to another one.
func (t *connTurn) handOn(to *connTurn) {
	if t == nil {
		return
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.queue.HandOn(&t.flow, &to.flow)
}

// leave removes the place of a connection that is closed.
func (t *connTurn) leave() {
	if t != nil {
		t.queue.pass((*fairqueue.Queue[*connTurn]).Leave, &t.flow)
		t.signal()
	}
}

// pass ends the turn of a flow, or removes it, and lets the next one know that it has its turn.
func (q *turnQueue) pass(
	end func(*fairqueue.Queue[*connTurn], *fairqueue.Flow[*connTurn]) *fairqueue.Flow[*connTurn],
	flow *fairqueue.Flow[*connTurn],
) {
	q.mu.Lock()
	next := end(&q.queue, flow)
	q.mu.Unlock()
	if next != nil {
		next.Owner.signal()
	}
}

// signal ends the wait of await.
func (t *connTurn) signal() {
	select {
	case t.granted <- struct{}{}:
	default: // it was signaled already
	}
}

// chargeUnforwarded charges the connection for a request that was answered without having been forwarded.
func (t *connTurn) chargeUnforwarded(cost time.Duration) {
	if t == nil {
		return
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.queue.ChargeUnforwarded(time.Now(), &t.flow, cost)
}
