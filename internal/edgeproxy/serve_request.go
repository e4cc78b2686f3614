package edgeproxy

import (
	"net/http"
	"runtime/debug"
	"time"

	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// ServeHTTP answers one request of a client. It runs in a goroutine of net/http's, which ends with the client's
// connection.
func (s *clientServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recoverPanic(w)
	takenAt := time.Now()
	conn := clientConnOf(r)
	defer conn.setState(stateAnswered)
	head, firstByteAt := conn.takeHead()
	conn.recordEarlyBytes(pipelinedBytes(r, head))
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
	var body bufferedBody
	if err == nil {
		body, err = readBody(w, r, firstByteAt, s.node.memory)
	}
	if err != nil {
		s.node.memory.release(body.reservedBytes)
		s.writeBadRequest(w, r, err)
		return
	}
	if obstacle := s.findObstacle(r, conn, &engineRequest); obstacle != noObstacle {
		s.node.memory.release(body.reservedBytes)
		obstacle.answer(w)
		return
	}
	forwarded.body, forwarded.rest = body.bytes, body.rest
	forwarded.isClientGone = conn.isClientGone
	arrival := requestArrival{conn: conn, at: takenAt, reservedBytes: body.reservedBytes}
	s.serveRequest(w, r, &engineRequest, &forwarded, arrival)
}

// obstacle is why a request that was read is not brought to the engine.
type obstacle int

const (
	noObstacle         obstacle = iota
	connectionEvicted           // for another: the client can tell that nothing was forwarded
	requestTimeIsOver           // it came behind one that took long
	shutdownTimeIsOver          // the process ends before the request could be answered
	clientIsGone
)

// findObstacle decides whether a request that was read is brought to the engine, and limits its timeout to what is left
// to its client, which may have sent it behind another, and to what a shutdown leaves.
func (s *clientServer) findObstacle(r *http.Request, conn *clientConn, engineRequest *policy.Request) obstacle {
	if !conn.setState(stateActive) {
		return connectionEvicted
	}
	if receivedAt := conn.earlyHeadAt(); !receivedAt.IsZero() {
		if engineRequest.Timeout -= time.Since(receivedAt); engineRequest.Timeout <= 0 {
			return requestTimeIsOver
		}
	}
	var isTimeLeft bool
	slack := s.node.cfg.Settings.ResponseSlack
	if engineRequest.Timeout, isTimeLeft = s.shutdown.requestTimeout(engineRequest.Timeout, slack); !isTimeLeft {
		return shutdownTimeIsOver
	}
	if r.Context().Err() != nil {
		return clientIsGone
	}
	return noObstacle
}

// answer answers a request with an obstacle; where no answer is due for a client that is gone, it panics with
// http.ErrAbortHandler.
func (o obstacle) answer(w http.ResponseWriter) {
	switch o {
	case requestTimeIsOver:
		writeText(w, http.StatusTooManyRequests, textRejected)
	case shutdownTimeIsOver:
		w.Header().Set("Connection", "close")
		writeText(w, http.StatusServiceUnavailable, textShuttingDown)
	case clientIsGone:
		panic(http.ErrAbortHandler)
	}
}

// requestArrival is how a request came.
type requestArrival struct {
	conn          *clientConn
	at            time.Time // when its head had come
	reservedBytes int64     // of the memory budget, by its body
}

// serveRequest has the engine decide on a request that is read, and writes its final answer. engineRequest is what
// the engine is asked, forwarded what an app server is sent.
func (s *clientServer) serveRequest(
	w http.ResponseWriter, r *http.Request,
	engineRequest *policy.Request, forwarded *serverRequest, arrival requestArrival,
) {
	timeout := engineRequest.Timeout + s.node.cfg.Settings.ResponseSlack // from the request's last byte
	deadline := time.Now().Add(timeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	if forwarded.rest != nil {
		engineRequest.BodyTimeout = forwarded.rest.maxRemainingTime()
		deadline = deadline.Add(engineRequest.BodyTimeout)
		timer.Reset(engineRequest.BodyTimeout + timeout)
		forwarded.rest.responseTimeout, forwarded.rest.onForwarded = timeout, func() { timer.Reset(timeout) }
		w.Header().Set("Connection", "close") // an answer may come before all of the body
	}
	pending := s.node.beginRequest(*engineRequest, *forwarded, deadline, arrival.reservedBytes)
	if pending == nil {
		writeText(w, http.StatusConflict, headerRequestID+" is in use")
		return
	}
	s.node.metrics.requestStarted()
	kind := answerFailed
	defer func() { s.node.metrics.requestEnded(engineRequest.Class, kind) }()
	answer := s.awaitAnswer(r, pending, timer.C)
	for _, permit := range answer.pendingWrites {
		<-permit.done
	}
	s.setConnectionClose(w, arrival.conn) // a drain may have begun since
	if time.Since(arrival.at) > writeTimeoutRenewal {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if answer.response.stream != nil {
		if result := s.streamResponse(w, answer.response); result != policy.OK {
			panic(http.ErrAbortHandler) // the client can tell that it is not complete
		}
		kind = answerServed
		return
	}
	kind = answer.kind
	s.writeAnswer(w, answer)
	if forwarded.rest != nil && kind != answerServed {
		http.NewResponseController(w).Flush()
		forwarded.rest.discard()
	}
}

// awaitAnswer waits for the final answer, which comes at the latest when the request's timer fires or the process ends.
// Where the client leaves before, it panics with http.ErrAbortHandler: no answer is due, and net/http would write an
// empty one.
func (s *clientServer) awaitAnswer(r *http.Request, pending *pendingRequest, timeout <-chan time.Time) finalAnswer {
	select {
	case a := <-pending.answer:
		return a
	case <-r.Context().Done():
		s.node.clientDisconnected(pending)
		if a := <-pending.answer; a.response.stream != nil {
			a.response.stream.finish(policy.Cancelled)
		}
		panic(http.ErrAbortHandler)
	case <-timeout:
	case <-s.shutdown.expired:
	}
	s.node.deadlineExceeded(pending)
	return <-pending.answer
}

// recoverPanic is deferred: a panic costs the one request, which is answered as an internal error, and is logged.
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

// setConnectionClose decides whether an answer closes its connection: in a drain, or where connections are scarce. A
// client that has sent its next request is owed an answer to that as well: then a later one closes it.
func (s *clientServer) setConnectionClose(w http.ResponseWriter, conn *clientConn) {
	if (s.closesConnections() || s.limiter.isCrowded()) && !conn.hasNextRequest() {
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
