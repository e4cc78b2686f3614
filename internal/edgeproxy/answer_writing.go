package edgeproxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulleinmux/policy"
)

// unreadBodyTimeout bounds the wait for the rest of a body that is not needed any more.
const unreadBodyTimeout = 250 * time.Millisecond

// writeAnswer words a final answer.
func (s *clientServer) writeAnswer(w http.ResponseWriter, a finalAnswer) {
	h := w.Header()
	switch a.kind {
	case answerServed:
		setContentType(h, a.response)
		h["Content-Length"] = []string{strconv.Itoa(len(a.response.body))}
		w.WriteHeader(http.StatusOK)
		w.Write(a.response.body) // a client that is gone by now has nothing to be told
	case answerRejected:
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64)}
		}
		writeText(w, http.StatusTooManyRequests, "refused: trying again is harmless")
	default:
		writeText(w, http.StatusBadGateway, "failed")
	}
}

// writeBadRequest answers a request that is the client's mistake. A body that was not read is
// not waited for: what is left of it would be read as the next request.
func (s *clientServer) writeBadRequest(w http.ResponseWriter, r *http.Request, err error) {
	bad := &badRequestError{status: http.StatusBadRequest}
	if errors.As(err, &bad); bad.allow != "" {
		w.Header().Set("Allow", bad.allow)
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		// The library reads a short rest before it closes, or the client could miss the answer.
		// Half a body would keep it reading for ever.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	writeText(w, bad.status, err.Error())
}

// streamResponse passes a long answer on as it comes.
func (s *clientServer) streamResponse(w http.ResponseWriter, rep serverResponse) policy.Result {
	setContentType(w.Header(), rep)
	if rep.stream.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(rep.stream.length, 10)}
	}
	w.WriteHeader(http.StatusOK)
	result := rep.stream.copyTo(w, rep.body)
	rep.stream.finish(result)
	return result
}

// setContentType passes an answer's type on. Where it has none the library must not guess one.
func setContentType(h http.Header, rep serverResponse) {
	h["Content-Type"] = nil
	if rep.contentType != "" {
		h["Content-Type"] = []string{rep.contentType}
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
