package edgeproxy

import (
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"mulleinmux/internal/fairqueue"
	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// ServeHTTP handles one request of a client. It runs in a net/http goroutine, which ends with the client's connection.
func (s *clientServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recoverPanic(w)
	headReceivedAt := time.Now()
	conn := clientConnOf(r)
	defer func() { conn.markAnswered(r.Close || w.Header().Get("Connection") == "close") }()
	head, firstByteAt := conn.takeHead()
	s.setConnectionClose(w, conn)
	if err := checkFraming(r, head); err != nil {
		s.writeBadRequest(w, r, err)
		return
	}
	if r.URL.Path == readyPath && r.ContentLength == 0 {
		s.serveReadiness(w)
		return
	}
	engineRequest, forwarded, err := s.parseRequest(r)
	body := bufferedBody{memory: &reservation{}}
	if err == nil {
		conn.setBodyBuffered(true)
		body, err = readBody(w, r, firstByteAt, conn)
		conn.setBodyBuffered(false)
	}
	if err != nil {
		body.memory.release()
		s.writeReceiveError(w, r, err)
		return
	}
	conn.turn.await(fairqueue.RequestCost(len(body.bytes), 0)) // again, if it ended while the body was received
	if reason := s.findSkipReason(r, conn, &engineRequest); reason != skipNone {
		body.memory.release()
		reason.count(&s.node.events)
		reason.writeAnswer(w)
		return
	}
	forwarded.body, forwarded.rest = body.bytes, body.rest
	forwarded.hasClientDisconnected = conn.hasClientDisconnected
	forwarded.memory = conn.memory
	received := receivedRequest{conn: conn, headReceivedAt: headReceivedAt, bodyMemory: body.memory}
	s.serveRequest(w, r, &engineRequest, &forwarded, received)
}

// writeReceiveError writes the response to a request that could not be received: a rejection if there was no memory for
// it, else the response to an invalid request.
func (s *clientServer) writeReceiveError(w http.ResponseWriter, r *http.Request, err error) {
	if !errors.Is(err, errNoMemory) {
		s.writeBadRequest(w, r, err)
		return
	}
	s.node.events.count(refusedBodyMemory)
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	writeText(w, http.StatusTooManyRequests, textRejected)
}

// skipReason is why a request that has been read is not passed to the engine.
type skipReason int

const (
	skipNone              skipReason = iota
	skipConnectionEvicted            // the connection was closed: the client can tell that nothing was forwarded
	skipTimeoutExpired               // the request waited too long before it was processed
	skipShuttingDown                 // the process exits before the request could be answered
	skipMemoryEvicted                // its end was received after its memory was needed for others
	skipClientDisconnected
)

// findSkipReason decides whether a request that has been read is passed to the engine, and marks its connection as
// active. It reduces the request's timeout by the time that the request waited, for another one on its connection, for
// its turn or for memory, and limits it to the time that a shutdown leaves.
func (s *clientServer) findSkipReason(r *http.Request, conn *clientConn, engineRequest *policy.Request) skipReason {
	if !conn.setState(stateActive) {
		return skipConnectionEvicted
	}
	if receivedAt := conn.receivedAt(); !receivedAt.IsZero() {
		if engineRequest.Timeout -= time.Since(receivedAt); engineRequest.Timeout <= 0 {
			return skipTimeoutExpired
		}
	}
	var isTimeLeft bool
	slack := s.node.cfg.Settings.ResponseSlack
	if engineRequest.Timeout, isTimeLeft = s.shutdown.requestTimeout(engineRequest.Timeout, slack); !isTimeLeft {
		return skipShuttingDown
	}
	if conn.isEvictedForMemory() { // which also ends the watch for the client's disconnect
		return skipMemoryEvicted
	}
	if r.Context().Err() != nil {
		return skipClientDisconnected
	}
	return skipNone
}

// count counts a request that is not passed to the engine.
func (r skipReason) count(events *hostCounters) {
	switch r {
	case skipTimeoutExpired:
		events.count(refusedExpired)
	case skipShuttingDown:
		events.count(refusedShuttingDown)
	case skipMemoryEvicted:
		events.count(refusedBodyMemory)
	}
}

// writeAnswer writes the answer to a request that is not passed to the engine. For a client that has disconnected, or
// whose connection was evicted, it panics with http.ErrAbortHandler, because net/http would write an empty answer.
func (r skipReason) writeAnswer(w http.ResponseWriter) {
	switch r {
	case skipTimeoutExpired:
		writeText(w, http.StatusTooManyRequests, textRejected)
	case skipMemoryEvicted:
		w.Header().Set("Connection", "close")
		writeText(w, http.StatusTooManyRequests, textRejected)
	case skipShuttingDown:
		w.Header().Set("Connection", "close")
		writeText(w, http.StatusServiceUnavailable, textShuttingDown)
	case skipClientDisconnected, skipConnectionEvicted:
		panic(http.ErrAbortHandler)
	}
}

// receivedRequest describes how a request was received.
type receivedRequest struct {
	conn           *clientConn
	headReceivedAt time.Time    // when the handler was called with the complete head
	bodyMemory     *reservation // released when the request and its attempts have ended
}

// serveRequest passes a request that has been read to the engine and writes the final answer. forwarded is the request
// as it is sent to an app server.
func (s *clientServer) serveRequest(
	w http.ResponseWriter, r *http.Request,
	engineRequest *policy.Request, forwarded *serverRequest, received receivedRequest,
) {
	timeout := engineRequest.Timeout + s.node.cfg.Settings.ResponseSlack // from the request's last byte
	deadline := time.Now().Add(timeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	if forwarded.rest != nil {
		engineRequest.BodyTimeout = forwarded.rest.maxRemainingTime()
		deadline = deadline.Add(engineRequest.BodyTimeout)
		timer.Reset(engineRequest.BodyTimeout + timeout)
		forwarded.rest.responseTimeout = timeout
		forwarded.rest.onForwarded = func() { timer.Reset(time.Until(forwarded.rest.answerBy())) }
		w.Header().Set("Connection", "close") // the answer may be written before all of the body is received
	}
	pending := s.node.beginRequest(*engineRequest, *forwarded, deadline, received.bodyMemory)
	received.conn.turn.end()
	if pending == nil {
		s.node.events.count(refusedRepeatedID)
		writeText(w, http.StatusConflict, headerRequestID+" is in use")
		return
	}
	s.node.metrics.requestStarted()
	kind := answerFailed
	defer func() { s.node.metrics.requestEnded(engineRequest.Class, kind) }()
	answer := s.awaitAnswer(r, pending, timer.C)
	if answer.kind != answerRejected {
		received.conn.markForwarded()
	}
	for _, permit := range answer.pendingWrites {
		<-permit.done
	}
	s.setConnectionClose(w, received.conn) // a drain may have begun in the meantime
	if time.Since(received.headReceivedAt) > writeTimeoutRenewal {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if answer.response.stream != nil {
		if result := s.streamResponse(w, answer.response); result != policy.OK {
			panic(http.ErrAbortHandler) // shows the client that the response is incomplete
		}
		kind = answerServed
		return
	}
	kind = answer.kind
	defer answer.response.release()
	s.writeAnswer(w, answer)
	if forwarded.rest != nil && kind != answerServed {
		http.NewResponseController(w).Flush()
		forwarded.rest.discard()
	}
}

// awaitAnswer waits for the final answer. At the latest when the request's timer fires or the shutdown time expires, it
// ends the request itself. If the client disconnects first, it panics with http.ErrAbortHandler: no answer is due, and
// net/http would otherwise write an empty one.
func (s *clientServer) awaitAnswer(r *http.Request, pending *pendingRequest, timeout <-chan time.Time) finalAnswer {
	select {
	case a := <-pending.answer:
		return a
	case <-r.Context().Done():
		s.node.clientDisconnected(pending)
		if a := <-pending.answer; a.response.stream != nil {
			a.response.stream.abandon()
		} else {
			a.response.release()
		}
		panic(http.ErrAbortHandler)
	case <-timeout:
	case <-s.shutdown.expired:
	}
	s.node.deadlineExceeded(pending)
	return <-pending.answer
}

// recoverPanic must be deferred. It logs a panic and answers the one affected request with an internal error.
func (s *clientServer) recoverPanic(w http.ResponseWriter) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	logging.Panic(s.node.logger, p, debug.Stack())
	writeText(w, http.StatusInternalServerError, "internal error")
}

// setConnectionClose makes the answer close its connection during a drain or near the limit of connections. If the
// client has already sent its next request, which must be answered as well, a later answer closes the connection
// instead. If the end of the request can't be found, the answer closes the connection in any case.
func (s *clientServer) setConnectionClose(w http.ResponseWriter, conn *clientConn) {
	if conn.isFramingUnknown() || (s.closesConnections() || s.limiter.isNearLimit(conn)) && !conn.hasNextRequest() {
		w.Header().Set("Connection", "close")
	}
}

// serveReadiness answers the load balancer's health check.
func (s *clientServer) serveReadiness(w http.ResponseWriter) {
	if s.isAvailable() {
		writeText(w, http.StatusOK, textReady)
	} else {
		writeText(w, http.StatusServiceUnavailable, textNotReady)
	}
}
