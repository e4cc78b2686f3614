package gateway

import (
	"fmt"
	"io"
	"sync"
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// RequestTrace records the steps of a request at one instance, with their times. Instances on one machine share a
// clock, so that the traces of a relayed request at its two instances can be compared: TraceID is the same in both, and
// RelayID is that of the relaying instance's step StepBegun.
type RequestTrace struct {
	Instance     string      `json:"instance"`
	TraceID      string      `json:"trace"` // X-Trace-Id
	RelayID      string      `json:"relay_id,omitempty"`
	Operation    string      `json:"operation"`
	Idempotent   bool        `json:"idempotent"` // it may run any number of times
	Deadline     time.Time   `json:"deadline"`   // for the answer
	Steps        []TraceStep `json:"steps"`
	DroppedSteps int         `json:"dropped_steps,omitempty"` // number of steps beyond maxTraceSteps
}

// TraceStep is one step of a request.
type TraceStep struct {
	At      time.Time `json:"at"`
	Kind    StepKind  `json:"step"`
	Attempt int       `json:"attempt,omitempty"` // from 1; 0: the step belongs to no attempt
	Server  string    `json:"server,omitempty"`
	Relayed bool      `json:"relayed,omitempty"`  // the server is an instance of another site
	RelayID string    `json:"relay_id,omitempty"` // of StepBegun of a relayed attempt
	Detail  string    `json:"detail,omitempty"`   // see StepKind
}

// StepKind is the kind of a step.
type StepKind string

// The kinds of steps, in the order in which they occur.
const (
	StepReceived       StepKind = "received"          // the request's head was read
	StepBegun          StepKind = "attempt begun"     // the attempt's server was chosen
	StepWritten        StepKind = "attempt written"   // the attempt's last byte was written
	StepConnClosed     StepKind = "connection closed" // to the server, after the exchange; detail: the exchange's result
	StepStatusQueried  StepKind = "status asked"      // status query for a relayed attempt that ended without an answer
	StepStatusReported StepKind = "status told"       // detail: the status that the remote instance reported
	StepStatusUnknown  StepKind = "status unknown"    // the remote instance did not report the attempt's end in time
	StepEnded          StepKind = "attempt ended"     // detail: the attempt's result
	StepClientLeft     StepKind = "client left"       // noticed while a relayed attempt was out
	StepClosedByPeer   StepKind = "closed by peer"    // the relaying instance gave up the relayed request
	StepAnswerDecided  StepKind = "answer decided"    // detail: the outcome
	StepAnswerWritten  StepKind = "answer written"    // detail: the HTTP status
	StepAnswerNotTaken StepKind = "answer not taken"  // the answer could not be written; detail: the HTTP status
)

// maxTraceSteps bounds the memory of a trace.
const maxTraceSteps = 128

// traceRecorder records the steps of one request. A nil recorder records nothing and allocates nothing.
type traceRecorder struct {
	mu    sync.Mutex
	trace RequestTrace // guarded by mu
}

// newTraceRecorder returns a recorder for a request that has been matched, or nil if tracing is off.
func (in *Instance) newTraceRecorder(r *pendingRequest, receivedAt time.Time) *traceRecorder {
	if in.config.OnTrace == nil {
		return nil
	}
	t := &traceRecorder{trace: RequestTrace{
		Instance: in.config.Name, TraceID: r.traceID, RelayID: r.relayID.Number, Operation: r.operation.ID,
		Idempotent: r.isIdempotent(), Deadline: r.deadline,
	}}
	if !r.isFromRelay {
		t.trace.RelayID = ""
	}
	t.add(TraceStep{At: receivedAt, Kind: StepReceived})
	return t
}

// add records a step. A zero time is set to the current time.
func (t *traceRecorder) add(step TraceStep) {
	if t == nil {
		return
	}
	if step.At.IsZero() {
		step.At = time.Now()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.trace.Steps) == maxTraceSteps {
		t.trace.DroppedSteps++
		return
	}
	t.trace.Steps = append(t.trace.Steps, step)
}

// attemptExchanged records the steps of an attempt whose exchange with its server has ended.
func (t *traceRecorder) attemptExchanged(number int, a attempt, resp *response, result policy.Result) {
	if t == nil {
		return
	}
	if resp.wasWritten {
		t.add(TraceStep{At: resp.writtenAt, Kind: StepWritten, Attempt: number, Server: a.server})
	}
	if !resp.closedAt.IsZero() {
		t.add(TraceStep{At: resp.closedAt, Kind: StepConnClosed, Attempt: number, Server: a.server, Detail: result.String()})
	}
}

// attemptEnded records the result of an attempt, whether or not it was sent.
func (t *traceRecorder) attemptEnded(number int, a attempt, result policy.Result) {
	if t == nil {
		return
	}
	t.add(TraceStep{Kind: StepEnded, Attempt: number, Server: a.server, Detail: result.String()})
}

// answerDecided records the final answer. Called under the instance's mutex.
func (t *traceRecorder) answerDecided(result outcome) {
	if t == nil {
		return
	}
	t.add(TraceStep{Kind: StepAnswerDecided, Detail: result.String()})
}

// statusResolved records the result of the status query for a relayed attempt.
func (t *traceRecorder) statusResolved(number int, server string, status multisite.ExecutionStatus, hasEnded bool) {
	if t == nil {
		return
	}
	step := TraceStep{Kind: StepStatusUnknown, Attempt: number, Server: server}
	if hasEnded {
		step.Kind, step.Detail = StepStatusReported, status.String()
	}
	t.add(step)
}

// finish records that the answer was written or could not be, and delivers the trace.
func (t *traceRecorder) finish(status int, isWritten bool, deliver func(RequestTrace)) {
	if t == nil {
		return
	}
	step := TraceStep{Kind: StepAnswerWritten, Detail: fmt.Sprint(status)}
	if !isWritten {
		step.Kind = StepAnswerNotTaken
	}
	t.add(step)
	t.mu.Lock()
	defer t.mu.Unlock()
	deliver(t.trace)
}

// TraceLog writes a line of JSON for each request's trace. It never blocks a request: a line is dropped and counted if
// the queue is full.
type TraceLog struct{ log *lineLog[RequestTrace] }

// NewTraceLog starts a log that writes to w. Close stops it.
func NewTraceLog(w io.Writer) *TraceLog { return &TraceLog{newLineLog[RequestTrace](w)} }

// Record queues a trace. It can be used as [Config.OnTrace].
func (l *TraceLog) Record(trace RequestTrace) { l.log.record(trace) }

// Close writes the queued traces and returns the first write error. Record must not be called after Close.
func (l *TraceLog) Close() error {
	if err := l.log.close(); err != nil {
		return fmt.Errorf("trace log: %w", err)
	}
	return nil
}
