package edgeproxy

import (
	"time"

	"mulleinmux/internal/fairqueue"
	"mulleinmux/internal/httpboundary"
)

// Limits of a request's head.
const (
	maxHeadBytes  = maxHeaderBytes + 4<<10
	maxHeadFields = 100
)

// clientInput is what a client connection has received and net/http has not read yet. A head is kept here until it is
// complete, because net/http parses each field at once into several times its size. net/http is given no more than the
// current request, so that it holds no part of the next one.
type clientInput struct {
	received   []byte    // in order: the rest of the current request, then later ones
	allocated  int       // bytes of the buffer that received is the end of
	receivedAt time.Time // when the latest of it was received

	// Of the current request.
	boundary        httpboundary.RequestBoundary
	isHeadComplete  bool
	headRemaining   int    // bytes of the complete head in received
	head            []byte // the complete head, until it is taken
	isAdmitted      bool   // it has its memory, and its turn has come
	hasHeadDeadline bool   // the connection's read deadline is that of the head

	earlyByte []byte // the first byte of the next request, if net/http's background read has it already
}

// headStatus is the result of scanning for a head.
type headStatus int

const (
	headIncomplete headStatus = iota
	headComplete
	headTooLarge
)

// scanHead looks for the end of the current request's head in what was received.
func (i *clientInput) scanHead() headStatus {
	if i.isHeadComplete {
		return headComplete
	}
	received := i.received
	if len(i.earlyByte) > 0 {
		received = append(i.earlyByte[:len(i.earlyByte):len(i.earlyByte)], received...)
	}
	isComplete := len(received) > 0 && i.boundary.ScanHead(received)
	switch {
	case i.boundary.HeadBytes > maxHeadBytes || i.boundary.FieldLines > maxHeadFields:
		return headTooLarge
	case !isComplete:
		return headIncomplete
	}
	i.completeHead(received[:i.boundary.HeadBytes:i.boundary.HeadBytes])
	return headComplete
}

// completeHead records that the current request's head is complete. A malformed head is not recorded.
func (i *clientInput) completeHead(head []byte) {
	i.isHeadComplete = true
	i.headRemaining = len(head) - len(i.earlyByte)
	i.earlyByte = nil
	i.boundary.BeginBody(head)
	if !i.boundary.IsBadHead {
		i.head = head
	}
}

// giveUpHead ends the wait for the rest of a head, of which no more will be received: net/http rejects it.
func (i *clientInput) giveUpHead() {
	i.boundary.IsBadHead = true
	i.scanHead()
}

// isReturned reports whether all of the current request has been returned to net/http.
func (i *clientInput) isReturned() bool {
	return i.isHeadComplete && i.headRemaining == 0 && i.boundary.IsEnded()
}

// take moves received bytes of the current request to p and returns their number. After the end of a request whose
// framing net/http understands differently it returns what was received.
func (i *clientInput) take(p []byte) (n int) {
	switch {
	case i.headRemaining > 0:
		n = copy(p, i.received[:i.headRemaining])
		i.headRemaining -= n
	case i.isReturned():
		n = copy(p, i.received)
	default:
		return i.takeBody(p)
	}
	i.drop(n)
	return n
}

// takeBody moves received bytes of the current request's body to p, without the fields of its trailer, and returns
// their number.
func (i *clientInput) takeBody(p []byte) (kept int) {
	for kept == 0 && len(i.received) > 0 && !i.isReturned() {
		var scanned int
		scanned, kept = i.boundary.ScanBody(i.received[:min(len(p), len(i.received))])
		copy(p, i.received[:kept])
		i.drop(scanned)
	}
	return kept
}

// drop removes the first n bytes. A small rest does not keep a large buffer.
func (i *clientInput) drop(n int) {
	i.received = i.received[n:]
	switch {
	case len(i.received) == 0:
		i.received, i.allocated = nil, 0
	case i.allocated > includedInputBytes && len(i.received) < i.allocated/4:
		i.received = append(make([]byte, 0, len(i.received)), i.received...)
		i.allocated = cap(i.received)
	}
}

// maxBodyRead returns how many bytes may be read directly into a buffer for the body.
func (i *clientInput) maxBodyRead(size int) int {
	if known := i.boundary.KnownRemaining(); known > 0 {
		return int(min(int64(size), known))
	}
	return size
}

// acceptBody returns how many bytes at the front of p, which was read directly for the body, net/http is to read. The
// fields of a trailer are removed; what does not belong to the body is added to the input.
func (i *clientInput) acceptBody(p []byte, now time.Time) (kept int) {
	if i.isReturned() {
		return len(p)
	}
	scanned, kept := i.boundary.ScanBody(p)
	i.append(p[scanned:], now)
	return kept
}

// append adds received data.
func (i *clientInput) append(p []byte, now time.Time) {
	if len(p) == 0 {
		return
	}
	unused := cap(i.received)
	i.received, i.receivedAt = append(i.received, p...), now
	if cap(i.received) > unused { // a new buffer
		i.allocated = cap(i.received)
	}
}

// hasNext reports whether part of the next request was received.
func (i *clientInput) hasNext() bool {
	if len(i.earlyByte) > 0 {
		return true
	}
	rest := int64(len(i.received) - i.headRemaining)
	if known := i.boundary.KnownRemaining(); known > 0 {
		rest -= known
	}
	return rest > 0
}

// isEmpty reports whether no data has been received that belongs to no earlier request.
func (i *clientInput) isEmpty() bool { return len(i.received)+len(i.earlyByte) == 0 }

// hasUnservedHead reports whether a complete head waits to be served.
func (i *clientInput) hasUnservedHead() bool { return i.head != nil }

// isRequestComplete reports whether all of the current request was received.
func (i *clientInput) isRequestComplete() bool {
	if !i.isHeadComplete {
		return false
	}
	known := i.boundary.KnownRemaining()
	return i.boundary.IsEnded() || known >= 0 && int64(len(i.received)-i.headRemaining) >= known
}

// takeHead returns the complete head of the current request, or nil if it is malformed. The next call returns nil.
func (i *clientInput) takeHead() []byte {
	head := i.head
	i.head = nil
	return head
}

// beginNext begins the next request and returns when its head was completely received, or the zero time if part of it
// is missing.
func (i *clientInput) beginNext() (headReceivedAt time.Time) {
	i.drop(i.headRemaining)
	i.boundary = httpboundary.RequestBoundary{}
	i.isHeadComplete, i.isAdmitted, i.hasHeadDeadline = false, false, false
	i.headRemaining, i.head = 0, nil
	if i.scanHead() == headComplete {
		return i.receivedAt
	}
	return time.Time{}
}

// endWatch ends the watch for the client's disconnect. It returns the first byte that was received ahead, which net/http
// reads. The next request may have begun meanwhile.
func (i *clientInput) endWatch() byte {
	first := i.received[:1:1]
	if i.isHeadComplete && !i.isReturned() {
		byteOfHead := make([]byte, 1)
		i.take(byteOfHead)
		return byteOfHead[0]
	}
	i.earlyByte = append(i.earlyByte, first...)
	i.drop(1)
	return first[0]
}

// cost returns what the current request has cost so far.
func (i *clientInput) cost() time.Duration {
	return fairqueue.RequestCost(i.boundary.HeadBytes, i.boundary.FieldLines) +
		fairqueue.BodyCost(i.boundary.BodyBytes, i.boundary.Chunks)
}

// size returns the bytes of memory that the input takes.
func (i *clientInput) size() int64 { return int64(i.allocated + len(i.head)) }
