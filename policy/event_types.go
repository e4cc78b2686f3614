package policy

import "time"

// ServerState is a server's state in the endpoint list.
type ServerState int

// The states of a server.
const (
	Up       ServerState = iota // takes requests
	Draining                    // finishes what it has
	Removed                     // gone
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        string
	State     ServerState
	Weight    float64 // relative size; 0: not told
	Kind      string  // of machine
	Zone      string
	Cell      int
	StartedAt time.Duration // clock reading of its last start; 0: long ago
}

// EndpointUpdateKind says how an endpoint list relates to the one before.
type EndpointUpdateKind int

// The kinds of an endpoint list.
const (
	EndpointsDelta       EndpointUpdateKind = iota // changed entries only
	EndpointsComplete                              // the complete list
	EndpointsSaved                                 // the complete list as last held, possibly old
	EndpointsUnavailable                           // polling failed; the list before stays in force
)

// Request is one try of a client. Its ID is never used again.
type Request struct {
	ID            string
	Class         string
	Plan          string
	Customer      uint64
	Timeout       time.Duration // the client leaves after this
	Units         float64       // that it draws from the quota
	InstanceCount int           // number of nodes that the customer comes in through
	FirstInstance int           // index of the first of these; the others follow, counted round
	Zone          string        // it may go to servers of this zone alone; empty: to any
	IsCharged     bool          // another node has counted its units: neither quota nor hard limit bounds it here

	// BodyTimeout is how long the rest of its body may take; the client's timeout begins after it. 0: the body
	// is complete.
	BodyTimeout time.Duration
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	OK               Result = iota
	ErrorResponse           // an error from the server; it may have run
	RejectedByServer        // rejected unseen: never ran
	TimedOut                // no response in time; it may have run
	ConnectFailed           // no connection: never ran
	ConnectionReset         // the connection broke; it may have run
	Cancelled               // cancelled by the node; it may have run
	NotSent                 // not sent at all: never ran
)

// LoadReport is a server's load report. A value below 0 was not reported.
type LoadReport struct {
	InFlight    float64 // requests in hand
	QueueLength float64 // requests waiting
	Utilization float64 // of the CPU, 0 to 1
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID              string // of the request
	Attempt         int    // index of the attempt, in the order of [Actions.SendAttempt]
	RequestAnswered bool   // the request has its final answer, by this outcome or before
	Result          Result
	Server          string
	Latency         time.Duration // since the attempt was sent whole; to the first bytes of a streamed response
	Units           float64       // with SettlesUnits: the true units, on the first OK; else 0
	LoadReport      *LoadReport   // nil: no report came
	ConnectedAt     time.Duration // when the connection that brought a response was made; 0: not told
}
