// Package choice decides, for one edge node of a gateway tier, what happens to
// each request: whether its customer's quota admits it, whether the back end
// can take it, which server serves it, and what follows each outcome.
//
// The host owns the network, the clock and the timers. It makes one [Gateway]
// per edge node with [New], calls [Gateway.Start] once, then one method per
// event, and carries out what the gateway asks for through [Actions]. The
// decisions are all in choice.go; this file is the whole interface.
//
// A Gateway is not safe for concurrent use: the host makes one call at a time.
// Actions are called synchronously, in the order they are to take effect, and
// must not call back into the gateway. Times passed in are readings of one
// clock that never goes backwards; its origin does not matter. Events that
// name an unknown or finished request, server, timer or attempt are ignored.
// The gateway keeps no reference to slices that it is given.
package policy

import "time"

// Effect says what repeating a request of a class does.
type Effect int

const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // a repeat is dropped inside its group while remembered
	Unsafe               // must never run twice
)

// Group says which servers share the memory of a keyed class's requests.
type Group int

const (
	GroupAll  Group = iota // all servers
	GroupZone              // the servers of one zone
	GroupCell              // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name     string
	Effect   Effect
	Group    Group         // for Keyed
	Window   time.Duration // for Keyed: how long a server remembers, from the first send that may have run
	Aim      time.Duration // answers up to here earn the full worth
	Deadline time.Duration // the client's whole wait over all its tries
	Worth    float64       // of one request
	Late     float64       // share of Worth earned between Aim and the deadline
	Stream   bool          // answers arrive as streams: see [Gateway.First]
}

// Plan describes the quotas of each customer of one plan, over all gateways together.
type Plan struct {
	Name         string
	Rate         float64 // units per second; 0: no quota on the rate
	Burst        float64 // units the quota's store holds
	Open         int     // attempts out at once; 0: no such quota
	CeilingRate  float64 // units per second of the hard ceiling; 0: none
	CeilingBurst float64 // units the ceiling's store holds
	CeilingSlack float64 // units the ceiling's store may fall below nought
	Price        float64 // factor on the worth
	OverWorth    float64 // share of the worth earned beyond the quota
	OverCost     float64 // share of the worth charged for each try sent beyond the quota
}

// ReportMode says how servers report their load.
type ReportMode int

const (
	ReportNone    ReportMode = iota // never
	ReportAnswers                   // in outcomes and probe results
	ReportProbes                    // in probe results only
)

// Settings is all that a gateway is told at its start. The zero value of a
// field means that the feature is absent, unless noted otherwise.
type Settings struct {
	Me        int    // this gateway's number, from 0
	Instances int    // number of gateways, at least 1
	Zone      string // this gateway's zone
	Classes   []Class
	Plans     []Plan

	AnswerSlack  time.Duration // a final answer this late past the deadline still counts
	DrainGrace   time.Duration // sends to a draining server must have stopped by then
	ColdFrom     float64       // a started server has at least this share of its capacity
	RampTime     time.Duration // and is warm within this time
	FallMultiple float64       // sent more than this multiple of its present capacity
	OverloadFor  time.Duration // for this long, a cold server falls over

	MaxAttempts   int  // attempts per request; 0: no limit
	Parallel      bool // two attempts of one request may be out at once
	Cancel        bool // [Actions.Cancel] is allowed
	Peers         bool // [Actions.Tell] is allowed
	Probes        bool // [Actions.Probe] is allowed
	RetryAfter    bool // clients receive the retry-after of a refusal
	MaxRetryAfter time.Duration

	Report    ReportMode
	AskList   bool          // the list must be subscribed to with [Actions.Watch]
	AskWithin time.Duration // with AskList: how often an unsubscribed gateway must ask
	InboxPerS float64       // peer messages per second that a gateway takes in
	PostPaid  bool          // units are a guess until the first good answer
	MostUnits float64       // of one request; 0: not told
	Tick      time.Duration // the shortest time between events

	ConnectWithin time.Duration // a connection to a server takes so long at most: what is sent on may arrive so much later

	PriceCross float64 // points per attempt to another zone, as a share of requests
	PricePeer  float64 // points per full peer message a request
	PriceProbe float64 // points per probe a request
	PriceWaste float64 // points for wasted server work
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
	ID     string
	State  ServerState
	Weight float64 // relative size; 0: not told
	Kind   string
	Zone   string
	Cell   int
	Boot   time.Duration // clock reading of its last start; 0: long ago
}

// ListForm says how a list relates to the one before.
type ListForm int

const (
	ListChanges ListForm = iota // changed entries only
	ListFull                    // the complete list
	ListSaved                   // the complete list as last held, possibly old
	ListError                   // asking failed; the list before stays in force
)

// Request is one try of a client. Its id is never used again.
type Request struct {
	ID       string
	Class    string
	Plan     string
	Customer uint64
	Grace    time.Duration // the client leaves after this
	Units    float64       // that it draws from the quota
	Spread   int           // number of gateways the customer comes in through
	First    int           // number of the first of these; the others follow, counted round
	Zone     string        // it may go to servers of this zone alone; empty: to any
	Paid     bool          // another gateway has counted its units: neither quota nor ceiling bounds it here
	Body     time.Duration // the rest of its body may take this long, and the client's wait begins after it; 0: it is here
}

// Result is how an attempt ended.
type Result int

const (
	OK            Result = iota
	ErrorAnswer          // an error from the server; it may have run
	Full                 // rejected unseen: never ran
	TimedOut             // no answer in time; it may have run
	ConnectFailed        // no connection: never ran
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled by the gateway; it may have run
	Moot                 // not sent at all: never ran
)

// Load is a server's load report. A value below 0 was not reported.
type Load struct {
	InFlight float64 // requests in hand
	Queue    float64 // requests waiting
	Util     float64 // busy share of the CPU, 0 to 1
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      string
	Attempt int  // number of the attempt, counted from 0 in the order of Send
	Closed  bool // the request has its final answer, by this outcome or before
	Result  Result
	Server  string
	Took    time.Duration // since the attempt was sent whole; to the first bytes of an answer that streams
	Units   float64       // with PostPaid: the true units, on the first OK; else 0
	Load    *Load         // nil: no report came
	Since   time.Duration // when the connection that brought an answer was made; 0: not told
}

// AllPeers as the peer of a [Actions.Tell] means every other gateway.
const AllPeers = -1

// Actions is what a gateway asks of its host.
type Actions interface {
	// Send starts the request's next attempt. A timeout of 0 lasts to the client's deadline.
	Send(id, server string, timeout time.Duration)
	// Refuse is a final answer: nothing happened and trying again is harmless.
	Refuse(id string, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id string)
	// Cancel stops waiting for an attempt.
	Cancel(id string, attempt int)
	// SetTimer asks for one call of [Gateway.Timer] with the token.
	SetTimer(token uint64, after time.Duration)
	// Probe asks a server for its load; [Gateway.Probed] brings it.
	Probe(server string)
	// Tell sends at most 256 bytes to a peer. The host copies what it keeps of the message.
	Tell(peer int, message []byte)
	// Watch subscribes to changes of the list.
	Watch(on bool)
	// Log adds a line for the operators.
	Log(text string)
}
