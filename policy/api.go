package policy

import "time"

// Idempotency says what repeating a request of a class does.
type Idempotency int

const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // a repeat is dropped inside its group while remembered
	NonIdempotent                        // must never run twice
)

// DedupScope says which servers share the memory of a keyed class's requests.
type DedupScope int

const (
	DedupAllServers DedupScope = iota // all servers
	DedupZone                         // the servers of one zone
	DedupCell                         // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long a server remembers, from the first send that may have run
	LatencyObjective time.Duration // answers up to here earn the full worth
	Deadline         time.Duration // the client's whole wait over all its tries
	PriorityWeight   float64       // of one request
	LateFraction     float64       // share of Worth earned between Aim and the deadline
	IsStreaming      bool          // answers arrive as streams: see [Engine.ResponseStarted]
}

// Plan describes the quotas of each customer of one plan, over all gateways together.
type Plan struct {
	Name              string
	Rate              float64 // units per second; 0: no quota on the rate
	Burst             float64 // units the quota's store holds
	MaxInFlight       int     `json:"Open"`         // attempts out at once; 0: no such quota
	HardLimitRate     float64 `json:"CeilingRate"`  // units per second of the hard ceiling; 0: none
	HardLimitBurst    float64 `json:"CeilingBurst"` // units the ceiling's store holds
	HardLimitSlack    float64 `json:"CeilingSlack"` // units the ceiling's store may fall below nought
	PriorityFactor    float64 `json:"Price"`        // factor on the worth
	OverQuotaFraction float64 `json:"OverWorth"`    // share of the worth earned beyond the quota
	OverQuotaCost     float64 `json:"OverCost"`     // share of the worth charged for each try sent beyond the quota
}

// LoadReportMode says how servers report their load.
type LoadReportMode int

const (
	LoadReportsNone           LoadReportMode = iota // never
	LoadReportsInResponses                          // in outcomes and probe results
	LoadReportsInHealthChecks                       // in probe results only
)

// Settings is all that a gateway is told at its start. The zero value of a
// field means that the feature is absent, unless noted otherwise.
type Settings struct {
	InstanceIndex int    // this gateway's number, from 0
	InstanceCount int    // number of gateways, at least 1
	Zone          string // this gateway's zone
	Classes       []Class
	Plans         []Plan

	ResponseSlack        time.Duration // a final answer this late past the deadline still counts
	DrainGracePeriod     time.Duration // sends to a draining server must have stopped by then
	SlowStartMinFraction float64       // a started server has at least this share of its capacity
	SlowStartWindow      time.Duration // and is warm within this time
	ColdOverloadMultiple float64       // sent more than this multiple of its present capacity
	ColdOverloadWindow   time.Duration // for this long, a cold server falls over

	MaxAttempts        int  // attempts per request; 0: no limit
	AllowsHedging      bool // two attempts of one request may be out at once
	AllowsCancel       bool // [Actions.CancelAttempt] is allowed
	AllowsGossip       bool // [Actions.SendGossip] is allowed
	AllowsHealthChecks bool // [Actions.CheckHealth] is allowed
	SendsRetryAfter    bool // clients receive the retry-after of a refusal
	MaxRetryAfter      time.Duration

	LoadReports          LoadReportMode
	PollsEndpoints       bool          // the list must be subscribed to with [Actions.WatchEndpoints]
	EndpointPollInterval time.Duration // with AskList: how often an unsubscribed gateway must ask
	GossipInboxRate      float64       // peer messages per second that a gateway takes in
	SettlesUnits         bool          // units are a guess until the first good answer
	MaxUnits             float64       // of one request; 0: not told
	MinEventInterval     time.Duration // the shortest time between events

	ConnectTimeout time.Duration // a connection to a server takes so long at most: what is sent on may arrive so much later

	CrossZonePrice   float64 // points per attempt to another zone, as a share of requests
	GossipPrice      float64 // points per full peer message a request
	HealthCheckPrice float64 // points per probe a request
	WastedWorkPrice  float64 // points for wasted server work
}

// ServerState is a server's state in the list.
type ServerState int

const (
	Up       ServerState = iota // takes work
	Draining                    // finishes what it has
	Removed                     // gone
)

// Server is one entry of the list of servers.
type Server struct {
	ID        string
	State     ServerState
	Weight    float64 // relative size; 0: not told
	Kind      string
	Zone      string
	Cell      int
	StartedAt time.Duration // clock reading of its last start; 0: long ago
}

// EndpointUpdateKind says how a list relates to the one before.
type EndpointUpdateKind int

const (
	EndpointsDelta       EndpointUpdateKind = iota // changed entries only
	EndpointsComplete                              // the complete list
	EndpointsSaved                                 // the complete list as last held, possibly old
	EndpointsUnavailable                           // asking failed; the list before stays in force
)

// Request is one try of a client. Its id is never used again.
type Request struct {
	ID            string
	Class         string
	Plan          string
	Customer      uint64
	Timeout       time.Duration // the client leaves after this
	Units         float64       // that it draws from the quota
	InstanceCount int           // number of gateways the customer comes in through
	FirstInstance int           // number of the first of these; the others follow, counted round
	Zone          string        // it may go to servers of this zone alone; empty: to any
	IsCharged     bool          // another gateway has counted its units: neither quota nor ceiling bounds it here
	BodyTimeout   time.Duration // the rest of its body may take this long, and the client's wait begins after it; 0: it is here
}

// Result is how an attempt ended.
type Result int

const (
	OK               Result = iota
	ErrorResponse           // an error from the server; it may have run
	RejectedByServer        // rejected unseen: never ran
	TimedOut                // no answer in time; it may have run
	ConnectFailed           // no connection: never ran
	ConnectionReset         // the connection broke; it may have run
	Cancelled               // cancelled by the gateway; it may have run
	NotSent                 // not sent at all: never ran
)

// LoadReport is a server's load report. A value below 0 was not reported.
type LoadReport struct {
	InFlight    float64 // requests in hand
	QueueLength float64 // requests waiting
	Utilization float64 // busy share of the CPU, 0 to 1
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID              string
	Attempt         int  // number of the attempt, counted from 0 in the order of Send
	RequestAnswered bool // the request has its final answer, by this outcome or before
	Result          Result
	Server          string
	Latency         time.Duration // since the attempt was sent whole; to the first bytes of an answer that streams
	Units           float64       // with PostPaid: the true units, on the first OK; else 0
	LoadReport      *LoadReport   // nil: no report came
	ConnectedAt     time.Duration // when the connection that brought an answer was made; 0: not told
}

// AllInstances as the peer of a [Actions.SendGossip] means every other gateway.
const AllInstances = -1

// Actions is what a gateway asks of its host.
type Actions interface {
	// Send starts the request's next attempt. A timeout of 0 lasts to the client's deadline.
	SendAttempt(id, server string, timeout time.Duration)
	// Refuse is a final answer: nothing happened and trying again is harmless.
	RejectRequest(id string, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	FailRequest(id string)
	// Cancel stops waiting for an attempt.
	CancelAttempt(id string, attempt int)
	// SetTimer asks for one call of [Engine.TimerFired] with the token.
	SetTimer(token uint64, after time.Duration)
	// Probe asks a server for its load; [Engine.HealthCheckCompleted] brings it.
	CheckHealth(server string)
	// Tell sends at most 256 bytes to a peer. The host copies what it keeps of the message.
	SendGossip(peer int, message []byte)
	// Watch subscribes to changes of the list.
	WatchEndpoints(on bool)
	// Log adds a line for the operators.
	Log(text string)
}
