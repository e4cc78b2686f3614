package soak

import (
	"sync"
	"time"
)

// class is the kind of a request.
type class string

const (
	classCheck class = "check" // idempotent
	classBook  class = "book"  // idempotent with a key
	classPay   class = "pay"   // not idempotent
)

// requestEnd is how a request ended for its client.
type requestEnd string

const (
	endNone     requestEnd = ""         // no answer in time, and the connection stays open
	endAnswered requestEnd = "answered" // a whole answer
	endClosed   requestEnd = "closed"   // the connection ended without one
	endLeft     requestEnd = "left"     // the client closed its connection

	endTurnedAway requestEnd = "turned away" // behind the answer to a connection that is one too many
)

// request is a request as its client knows it.
type request struct {
	id          string
	class       class
	isFirst     bool          // on its connection
	isSecond    bool          // on its connection
	idleFor     time.Duration // the connection, before it
	connectedAt time.Time
	sentAt      time.Time // the last byte of it
	ahead       *request  // sent before it without a pause, whose answer comes first; nil: none
	timeout     time.Duration
	end         requestEnd
	endedAt     time.Time
	status      int
	err         error // of endClosed
}

// method is the request's method.
func (r *request) method() string {
	if r.class == classCheck {
		return "GET"
	}
	return "POST"
}

// attempt is a request as a server received it.
type attempt struct {
	id           string
	server       int
	began, ended time.Time
	wasNeverRun  bool // rejected without an effect
}

// records are what clients and servers have seen.
type records struct {
	mu       sync.Mutex
	requests []*request
	attempts []*attempt
}

func (r *records) addRequest(request *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
}

func (r *records) addAttempt(attempt *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, attempt)
}

func (r *records) endAttempt(attempt *attempt, neverRan bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.ended, attempt.wasNeverRun = time.Now(), neverRan
}
