package policy

import "time"

// ServerState is a server's state in the endpoint list.
type ServerState int

// The states of a server.
const (
	Up       ServerState = iota // accepts requests
	Draining                    // completes its requests in flight and accepts no new ones
	Removed                     // no longer in the list
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        string
	State     ServerState
	Weight    float64 // relative size; 0: not known, treated as 1
	Kind      string  // machine kind
	Zone      string
	Cell      int           // servers of one cell share idempotency keys: see [DedupCell]
	StartedAt time.Duration // clock reading of its last start; 0: long ago
}

// EndpointUpdateKind is how an endpoint update relates to the previous endpoint list.
type EndpointUpdateKind int

// The kinds of an endpoint update.
const (
	EndpointsDelta       EndpointUpdateKind = iota // changed entries only
	EndpointsComplete                              // the complete list
	EndpointsSaved                                 // the complete list from a saved copy, possibly outdated
	EndpointsUnavailable                           // polling failed; the previous list stays in force
)

// Request is one try of a client. Its ID is never reused.
type Request struct {
	ID            string
	Class         string        // name in [Settings.Classes]
	Plan          string        // name in [Settings.Plans]
	Customer      uint64        // the customer whose quota it is charged to
	Timeout       time.Duration // time after which the client disconnects
	Units         float64       // units that it takes from the quota
	InstanceCount int           // number of nodes that receive the customer's requests
	FirstInstance int           // index of the first of these; the others follow it, modulo the number of nodes
	Zone          string        // the only zone whose servers may receive it; empty: any
	IsCharged     bool          // another node has charged its units: neither quota nor hard limit applies here

	// BodyTimeout is how long the rest of its body may take; the client's timeout begins after the body. 0: the body is
	// complete.
	BodyTimeout time.Duration
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	OK               Result = iota
	ErrorResponse           // an error response of the server; it may have run
	RejectedByServer        // rejected before processing: never ran
	TimedOut                // no response in time; it may have run
	ConnectFailed           // no connection: never ran
	ConnectionReset         // the connection was reset; it may have run
	Cancelled               // cancelled by the node; it may have run
	NotSent                 // not sent at all: never ran
)

// LoadReport is a server's load report. A negative value means that the server did not report it.
type LoadReport struct {
	InFlight    float64 // requests being processed
	QueueLength float64 // requests waiting
	Utilization float64 // utilization of the CPU, 0 to 1
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	ID              string // ID of the request
	Attempt         int    // index of the attempt, in the order of the calls of [Actions.SendAttempt]
	RequestAnswered bool   // the request has its final answer, from this result or before it
	Result          Result
	Server          string // ID of the server

	// Latency is the time from the start of the attempt, before it gets a connection, to its failure, its complete
	// response, or the first part of a streamed response. If the request body is streamed, the time starts when the
	// body has been forwarded completely.
	Latency time.Duration

	Units       float64       // with [Settings.SettlesUnits]: the true units, on the first OK; else 0
	LoadReport  *LoadReport   // nil: the response had none
	ConnectedAt time.Duration // clock reading at which the response's connection was established; 0: not known
}
