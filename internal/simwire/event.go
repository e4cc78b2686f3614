package simwire

import (
	"time"

	"mulleinmux/policy"
)

// Clock begins a batch of events, all of which happen at time Now.
type Clock struct{ Now time.Duration }

// BatchEnd ends a batch. The adapter then writes its reply.
type BatchEnd struct{}

// InstanceStarted starts an instance.
type InstanceStarted struct {
	Instance int
	Seed     uint64
	Settings policy.Settings
}

// InstanceStopped stops an instance.
type InstanceStopped struct{ Instance int }

// EndpointsChanged is an update of the endpoint list. Servers holds the entries of the table that the message refers
// to.
type EndpointsChanged struct {
	Instance int
	Kind     policy.EndpointUpdateKind
	Servers  []policy.Server
}

// RequestArrived reports a new request of a client.
type RequestArrived struct {
	Instance int
	Request  policy.Request
}

// ResponseHeadersReceived reports that a server started to respond to an attempt.
type ResponseHeadersReceived struct {
	Instance int
	ID       string // of the request
	Attempt  int
}

// AttemptCompleted reports the outcome of an attempt.
type AttemptCompleted struct {
	Instance int
	Outcome  policy.AttemptResult
}

// ClientDisconnected reports that the client of a request has disconnected.
type ClientDisconnected struct {
	Instance int
	ID       string // of the request
}

// TimerFired reports that a timer of the policy has fired.
type TimerFired struct {
	Instance int
	Token    uint64
}

// HealthCheckCompleted reports the outcome of a health check.
type HealthCheckCompleted struct {
	Instance   int
	Server     string
	Result     policy.Result
	Latency    time.Duration
	LoadReport *policy.LoadReport // nil if the server sent none
}

// GossipReceived is a gossip message from another instance.
type GossipReceived struct {
	Instance int
	Peer     int
	Payload  []byte
}

// TotalReceived reports the total of a shared counter of the simulator, after an instance has added to the counter. The
// policy uses no shared counters, so the event has no effect.
type TotalReceived struct{ Instance int }

// eventParsers maps message names to the parsers of messages that consist of one line. Each reads the values in the
// order of the wire.
var eventParsers = map[string]func(f *fields) any{
	msgClock:             func(f *fields) any { return Clock{f.duration(fieldClock)} },
	msgBatchEnd:          func(*fields) any { return BatchEnd{} },
	msgInstanceStopped:   func(f *fields) any { return InstanceStopped{f.int(fieldInstance)} },
	msgRequestArrived:    parseRequestArrived,
	msgResponseStarted:   parseResponseStarted,
	msgAttemptCompleted:  parseAttemptCompleted,
	msgDisconnected:      func(f *fields) any { return ClientDisconnected{f.int(fieldInstance), f.str(fieldRequestID)} },
	msgTimerFired:        func(f *fields) any { return TimerFired{f.int(fieldInstance), f.uint(fieldTimerToken)} },
	msgHealthCheckResult: parseHealthCheckCompleted,
	msgGossipReceived: func(f *fields) any {
		return GossipReceived{f.int(fieldInstance), f.int(fieldPeer), f.bytes(fieldMessage)}
	},
	msgTotalReceived: parseTotalReceived,
}

func parseResponseStarted(f *fields) any {
	e := ResponseHeadersReceived{Instance: f.int(fieldInstance)}
	e.ID, e.Attempt = f.str(fieldRequestID), f.int(fieldAttempt)
	f.str(fieldServer)
	f.duration(fieldLatency)
	return e
}

func parseHealthCheckCompleted(f *fields) any {
	e := HealthCheckCompleted{Instance: f.int(fieldInstance)}
	e.Result, e.Server = f.result(fieldResult), f.str(fieldServer)
	e.Latency, e.LoadReport = f.duration(fieldLatency), f.loadReport(fieldLoadReport)
	return e
}

func parseTotalReceived(f *fields) any {
	e := TotalReceived{f.int(fieldInstance)}
	f.number(fieldCounterTotal)
	f.result(fieldResult)
	f.duration(fieldLatency)
	f.uint(fieldCounterName)
	return e
}

func parseRequestArrived(f *fields) any {
	e := RequestArrived{Instance: f.int(fieldInstance)}
	r := &e.Request
	r.ID, r.Class, r.Plan = f.str(fieldRequestID), f.str(fieldClass), f.str(fieldPlan)
	r.Customer, r.Timeout, r.Units = f.uint(fieldCustomer), f.duration(fieldTimeout), f.number(fieldUnits)
	r.InstanceCount, r.FirstInstance = f.int(fieldInstanceCount), f.int(fieldFirstInstance)
	f.uint(fieldBits)
	return e
}

func parseAttemptCompleted(f *fields) any {
	e := AttemptCompleted{Instance: f.int(fieldInstance)}
	o := &e.Outcome
	o.ID, o.RequestAnswered = f.str(fieldRequestID), f.bool(fieldIsAnswered)
	o.Result, o.Server = f.result(fieldResult), f.str(fieldServer)
	o.Latency, o.Attempt = f.duration(fieldLatency), f.int(fieldAttempt)
	f.number(fieldFleetLoad)
	o.Units, o.LoadReport = f.number(fieldActualUnits), f.loadReport(fieldLoadReport)
	return e
}
