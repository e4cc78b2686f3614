package edgeproxy

import (
	"net/http"
	"sync"
	"time"

	"mulleinmux/policy"
)

const (
	streamWriteTimeout = 30 * time.Second // for a client to accept a piece of a response
	streamPieceBytes   = 16 << 10         // of a streamed response that are received ahead of the client
	minPieceBytes      = 2 << 10          // the same if memory is short
)

// responseBody is the body of an app server's response. The attempt's goroutine receives it. Once it is streamed, the
// goroutine of the client's handler forwards what was received, while the attempt's goroutine receives the rest.
type responseBody struct {
	length int64 // bytes; -1 if unknown
	memory reservation

	mu          sync.Mutex
	received    []byte // and not forwarded yet
	isStreaming bool
	isComplete  bool          // nothing more will be received
	result      policy.Result // valid if isComplete
	isForwarded bool          // all of the body was forwarded
	isAbandoned bool          // nothing more will be forwarded
	cancel      func()        // ends the attempt; set before the body is streamed

	// Set before the body is streamed.
	changed  chan struct{} // receives a value after each change, with capacity 1, for the handler's goroutine
	consumed chan struct{} // the same for the attempt's goroutine
}

// newResponseBody returns the empty body of a response to a request whose client connection has the memory.
func newResponseBody(length int64, memory *connMemory) *responseBody {
	return &responseBody{length: length, memory: reservation{memory: memory}}
}

// notify sends to a channel of capacity 1 unless a value is waiting there. A nil channel has no receiver yet.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// nextBuffer returns the buffer for the next data of a body that is not streamed: the unused end of what was received.
// It returns an empty buffer if all of the body was received, or if it can't be buffered further. isStreaming is true
// if the body is streamed; there is no buffer then.
func (b *responseBody) nextBuffer() (buffer []byte, isStreaming bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isStreaming {
		return nil, true
	}
	if len(b.received) == cap(b.received) && !b.isFull() && !b.grow() {
		return nil, false
	}
	return b.received[len(b.received):cap(b.received)], false
}

// isFull reports whether as many bytes were received as the body has.
func (b *responseBody) isFull() bool { return int64(len(b.received)) == b.length }

// grow enlarges the buffer of a body that is not streamed. It returns false if there is no memory for that, or the body
// is too long.
func (b *responseBody) grow() bool {
	larger := min(max(2*cap(b.received), minPieceBytes), maxBufferedResponse+minPieceBytes)
	if b.length >= 0 {
		larger = min(larger, int(b.length))
	}
	if larger <= cap(b.received) || !b.memory.tryGrowTo(int64(larger+cap(b.received))-includedAnswerBytes) {
		return false
	}
	b.received = append(make([]byte, 0, larger), b.received...)
	b.memory.shrinkTo(int64(larger) - includedAnswerBytes)
	return true
}

// newPiece returns a buffer for the data of a streamed body.
func (b *responseBody) newPiece() []byte {
	if b.memory.tryGrowTo(3 * streamPieceBytes) { // this one, and two that hold what is forwarded
		return make([]byte, streamPieceBytes)
	}
	return make([]byte, minPieceBytes)
}

// add adds received data. If the body is not streamed, the data is in the buffer that nextBuffer returned.
func (b *responseBody) add(data []byte, isInBuffer bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isInBuffer && !b.isStreaming {
		b.received = b.received[:len(b.received)+len(data)]
		return
	}
	b.received = append(b.received, data...)
	notify(b.changed)
}

// startStreaming marks the body as streamed. cancel ends the attempt; it is called if nothing more will be forwarded.
func (b *responseBody) startStreaming(cancel func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isStreaming, b.cancel = true, cancel
	b.changed, b.consumed = make(chan struct{}, 1), make(chan struct{}, 1)
}

// awaitSpace waits until less than size bytes of a streamed body wait to be forwarded. It returns false if nothing more
// will be forwarded.
func (b *responseBody) awaitSpace(size int) bool {
	for {
		b.mu.Lock()
		hasSpace, isAbandoned := len(b.received) < size, b.isAbandoned
		b.mu.Unlock()
		if isAbandoned || hasSpace {
			return !isAbandoned
		}
		<-b.consumed
	}
}

// complete records that nothing more will be received, and the result.
func (b *responseBody) complete(result policy.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isComplete, b.result = true, result
	notify(b.changed)
}

// abandon records that nothing more will be forwarded. It ends the attempt of a body that was not forwarded completely.
func (b *responseBody) abandon() {
	b.mu.Lock()
	b.isAbandoned = true
	b.received = nil
	cancel := b.cancel
	if b.isForwarded {
		cancel = nil
	}
	notify(b.consumed)
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// awaitForwarded waits until all that was received has been forwarded, or nothing more will be. It returns the result
// of the attempt: that of receiving the body, or Cancelled.
func (b *responseBody) awaitForwarded() policy.Result {
	for {
		b.mu.Lock()
		isForwarded, isAbandoned, result := b.isForwarded, b.isAbandoned, b.result
		b.mu.Unlock()
		switch {
		case isForwarded:
			return result
		case isAbandoned:
			return policy.Cancelled
		}
		<-b.consumed
	}
}

// next waits for more data and returns it; it is valid until the following call, to which it is passed as spare. After
// the end of the body it returns no data, and the result.
func (b *responseBody) next(spare []byte) (data []byte, result policy.Result) {
	for {
		b.mu.Lock()
		if len(b.received) > 0 {
			data, b.received = b.received, spare[:0]
			b.mu.Unlock()
			notify(b.consumed)
			return data, policy.OK
		}
		isComplete, result := b.isComplete, b.result
		b.isForwarded = isComplete
		b.mu.Unlock()
		if isComplete {
			notify(b.consumed)
			return nil, result
		}
		<-b.changed
	}
}

// copyTo forwards the body as it is received. The result is Cancelled if writing to the client fails.
func (b *responseBody) copyTo(w http.ResponseWriter) policy.Result {
	defer b.abandon()
	controller := http.NewResponseController(w)
	var spare []byte
	for {
		data, result := b.next(spare)
		if len(data) == 0 {
			return result
		}
		if err := writePiece(w, controller, data); err != nil {
			return policy.Cancelled
		}
		if spare = data; cap(spare) > 2*streamPieceBytes {
			spare = nil
		}
	}
}

// writePiece writes a piece of a response and flushes it.
func writePiece(w http.ResponseWriter, controller *http.ResponseController, piece []byte) error {
	if err := controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return controller.Flush()
}
