package edgeproxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulleinmux/policy"
)

// unreadBodyTimeout bounds the wait for the remainder of a request body whose content is no longer needed.
const unreadBodyTimeout = 250 * time.Millisecond

// writeAnswer writes a final answer that is not streamed.
func (s *clientServer) writeAnswer(w http.ResponseWriter, a finalAnswer) {
	h := w.Header()
	switch a.kind {
	case answerServed:
		setContentType(h, a.response)
		h["Content-Length"] = []string{strconv.Itoa(len(a.response.body))}
		w.WriteHeader(http.StatusOK)
		w.Write(a.response.body) // an error means that the client has disconnected
	case answerRejected:
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64)}
		}
		writeText(w, http.StatusTooManyRequests, textRejected)
	default:
		writeText(w, http.StatusBadGateway, textFailed)
	}
}

// writeBadRequest writes the response to an invalid request. It does not wait for the unread part of a body: the
// connection is closed, because net/http would read that part as the next request.
func (s *clientServer) writeBadRequest(w http.ResponseWriter, r *http.Request, err error) {
	bad := &badRequestError{status: http.StatusBadRequest}
	if errors.As(err, &bad); bad.allow != "" {
		w.Header().Set("Allow", bad.allow)
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		// net/http reads a short remainder of the body before it closes the connection, so that the client receives the
		// response. Without a deadline it would wait forever for the rest of an incomplete body.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	writeText(w, bad.status, err.Error())
}

// streamResponse forwards a response while it is being received, and returns the result.
func (s *clientServer) streamResponse(w http.ResponseWriter, resp serverResponse) policy.Result {
	setContentType(w.Header(), resp)
	if resp.stream.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(resp.stream.length, 10)}
	}
	w.WriteHeader(http.StatusOK)
	return resp.stream.copyTo(w)
}

// setContentType forwards a response's Content-Type. The nil value keeps net/http from guessing a type where the
// response has none.
func setContentType(h http.Header, resp serverResponse) {
	h["Content-Type"] = nil
	if resp.contentType != "" {
		h["Content-Type"] = []string{resp.contentType}
	}
}

// writeText writes a plain-text response of one line.
func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
