package soak

import (
	"net/http"
	"sync"
	"time"
)

// class is the name of a request's class, which determines whether the request may be retried.
type class string

const (
	classCheck class = "check" // idempotent
	classBook  class = "book"  // idempotent with an idempotency key
	classPay   class = "pay"   // not idempotent
)

// contract is the name of the plan that a request's customer has, which determines its quota.
type contract string

const (
	contractWide  contract = "wide"  // no quota that the clients reach
	contractTight contract = "tight" // tightRate and tightBurst
)

// requestEnd is how a request ended for its client.
type requestEnd string

const (
	endTimedOut     requestEnd = ""         // no response in time, and the connection was still open
	endAnswered     requestEnd = "answered" // a complete response
	endClosed       requestEnd = "closed"   // the connection was closed without a response
	endClientClosed requestEnd = "left"     // the client closed its connection

	endConnectionRejected requestEnd = "turned away" // pipelined behind the 503 that rejects a connection above the limit
)

// request is a client's record of a request.
type request struct {
	id          string
	class       class
	contract    contract
	isFirst     bool          // first request on its connection
	isSecond    bool          // second request on its connection
	idleFor     time.Duration // idle time of the connection before the request
	connectedAt time.Time
	sentAt      time.Time     // when the last byte was written
	isHeeding   bool          // its client heeds Retry-After
	ahead       *request      // the pipelined request before this one, whose response comes first; nil if none
	timeout     time.Duration // remaining time that the request states
	end         requestEnd
	endedAt     time.Time
	status      int
	err         error // why there was no response, or what was wrong with it
}

// method returns the HTTP method of the request.
func (r *request) method() string {
	if r.class == classCheck {
		return "GET"
	}
	return "POST"
}

// isRejected reports whether the response rejects the request, so that the client may retry it later.
func (r *request) isRejected() bool {
	return r.end == endAnswered && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable)
}

// attempt is a server's record of an attempt of a request.
type attempt struct {
	id           string
	server       int
	began, ended time.Time // ended is zero while the attempt is in flight
	neverRan     bool      // rejected without having run
}

// serverDrain records that a server was listed as draining or removed.
type serverDrain struct {
	server int
	at     time.Time
}

// records are the requests, attempts and drains of a run.
type records struct {
	mu       sync.Mutex
	requests []*request
	attempts []*attempt
	drains   []serverDrain
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

func (r *records) addDrain(drain serverDrain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = append(r.drains, drain)
}

func (r *records) endAttempt(attempt *attempt, neverRan bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.ended, attempt.neverRan = time.Now(), neverRan
}
