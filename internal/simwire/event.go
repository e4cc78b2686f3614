package simwire

import (
	"time"

	"mulleinmux/policy"
)

// Clock opens a batch of events at a time.
type Clock struct{ Now time.Duration }

// BatchEnd closes a batch: a reply is due.
type BatchEnd struct{}

// InstanceStarted makes an instance.
type InstanceStarted struct {
	Instance int
	Seed     uint64
	Settings policy.Settings
}

// InstanceStopped ends an instance.
type InstanceStopped struct{ Instance int }

// EndpointsChanged is a FLEET message with the entries of its table resolved.
type EndpointsChanged struct {
	Instance int
	Kind     policy.EndpointUpdateKind
	Servers  []policy.Server
}

// RequestArrived is a client's request.
type RequestArrived struct {
	Instance int
	Request  policy.Request
}

// ResponseHeadersReceived says that a server has begun to respond to an attempt.
type ResponseHeadersReceived struct {
	Instance int
	ID       string // of the request
	Attempt  int
}

// AttemptCompleted is the outcome of an attempt.
type AttemptCompleted struct {
	Instance int
	Outcome  policy.AttemptResult
}

// ClientDisconnected says that the client of a request has gone.
type ClientDisconnected struct {
	Instance int
	ID       string // of the request
}

// TimerFired says that a timer of the policy has run out.
type TimerFired struct {
	Instance int
	Token    uint64
}

// HealthCheckCompleted is the outcome of a health check.
type HealthCheckCompleted struct {
	Instance   int
	Server     string
	Result     policy.Result
	Latency    time.Duration
	LoadReport *policy.LoadReport // nil: none came
}

// GossipReceived is a message of another instance.
type GossipReceived struct {
	Instance int
	Peer     int
	Payload  []byte
}

// TotalReceived is the simulator's account of an instance; the policy does not use it.
type TotalReceived struct{ Instance int }

// eventParsers read the values of the messages that need nothing but their line, in the order of the wire.
var eventParsers = map[string]func(f *fields) any{
	"CLOCK":  func(f *fields) any { return Clock{f.duration("clock")} },
	"COMMIT": func(*fields) any { return BatchEnd{} },
	"HALT":   func(f *fields) any { return InstanceStopped{f.int("i")} },
	"ACCEPT": parseAccept,
	"HEADERS": func(f *fields) any {
		e := ResponseHeadersReceived{Instance: f.int("i"), ID: f.str("ref"), Attempt: f.int("roundNo")}
		f.str("server")
		f.duration("spent")
		return e
	},
	"COMPLETED":     parseCompleted,
	"LEFT":          func(f *fields) any { return ClientDisconnected{f.int("i"), f.str("ref")} },
	"TIMEOUT_FIRED": func(f *fields) any { return TimerFired{f.int("i"), f.uint("ctx")} },
	"PROBE_DONE": func(f *fields) any {
		e := HealthCheckCompleted{Instance: f.int("i"), Result: f.result("reason"), Server: f.str("server")}
		e.Latency, e.LoadReport = f.duration("spent"), f.loadReport("feedback")
		return e
	},
	"WHISPER": func(f *fields) any { return GossipReceived{f.int("i"), f.int("neighbour"), f.bytes("payload")} },
	"TOTAL": func(f *fields) any {
		e := TotalReceived{f.int("i")}
		f.number("level")
		f.result("reason")
		f.duration("spent")
		f.uint("slotName")
		return e
	},
}

func parseAccept(f *fields) any {
	e := RequestArrived{Instance: f.int("i")}
	r := &e.Request
	r.ID, r.Class, r.Plan = f.str("ref"), f.str("tierClass"), f.str("tier")
	r.Customer, r.Timeout, r.Units = f.uint("holder"), f.duration("grace"), f.number("weight")
	r.InstanceCount, r.FirstInstance = f.int("entryPoints"), f.int("fromNo")
	f.uint("bits")
	return e
}

func parseCompleted(f *fields) any {
	e := AttemptCompleted{Instance: f.int("i")}
	o := &e.Outcome
	o.ID, o.RequestAnswered, o.Result, o.Server = f.str("ref"), f.bool("closed"), f.result("reason"), f.str("server")
	o.Latency, o.Attempt = f.duration("spent"), f.int("roundNo")
	f.number("fleetUse")
	o.Units, o.LoadReport = f.number("actual"), f.loadReport("feedback")
	return e
}
