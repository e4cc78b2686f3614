package gateway

import (
	"fmt"
	"io"
	"sync"
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// RequestTrace is a request's way through one instance: its steps with their times. Instances of one machine share a
// clock, so that the traces of a relayed request at both its instances can be put side by side: Trace is the same in
// both, and RelayID names the near instance's attempt.
type RequestTrace struct {
	Instance     string      `json:"instance"`
	Trace        string      `json:"trace"` // X-Trace-Id
	RelayID      string      `json:"relay_id,omitempty"`
	Operation    string      `json:"operation"`
	Idempotent   bool        `json:"idempotent"` // it may run any number of times
	Deadline     time.Time   `json:"deadline"`   // of its answer
	Steps        []TraceStep `json:"steps"`
	DroppedSteps int         `json:"dropped_steps,omitempty"` // those beyond maxTraceSteps
}

// TraceStep is one step of a request.
type TraceStep struct {
	At      time.Time `json:"at"`
	Kind    StepKind  `json:"step"`
	Attempt int       `json:"attempt,omitempty"` // from 1 on; 0: the step is of no attempt
	Server  string    `json:"server,omitempty"`
	Relayed bool      `json:"relayed,omitempty"` // the server is an instance of another site
	Detail  string    `json:"detail,omitempty"`  // see StepKind
}

// StepKind is what happened in a step.
type StepKind string

// The steps of a request, in the order in which they come.
const (
	StepReceived       StepKind = "received"          // its head was read
	StepBegun          StepKind = "attempt begun"     // its server is chosen
	StepWritten        StepKind = "attempt written"   // its last byte
	StepConnClosed     StepKind = "connection closed" // to the server, behind the exchange; detail: the exchange's result
	StepStatusAsked    StepKind = "status asked"      // of a relayed attempt that ended without an answer
	StepStatusTold     StepKind = "status told"       // detail: the far instance's answer
	StepStatusUnknown  StepKind = "status unknown"    // the far instance did not say that it has ended in time
	StepEnded          StepKind = "attempt ended"     // detail: its result
	StepClosedByPeer   StepKind = "closed by peer"    // the near instance gave the relayed request up
	StepAnswerDecided  StepKind = "answer decided"    // detail: the outcome
	StepAnswerWritten  StepKind = "answer written"    // detail: its status
	StepAnswerNotTaken StepKind = "answer not taken"  // it could not be written; detail: its status
)

// maxTraceSteps bounds the memory of a trace.
const maxTraceSteps = 128

// traceRecorder records the steps of one request. A nil recorder records nothing, at no cost.
type traceRecorder struct {
	mu    sync.Mutex
	trace RequestTrace // guarded by mu
}

// newTraceRecorder returns a recorder for a request that has been matched, or nil if no traces are wanted.
func (in *Instance) newTraceRecorder(r *pendingRequest, receivedAt time.Time) *traceRecorder {
	if in.config.Trace == nil {
		return nil
	}
	t := &traceRecorder{trace: RequestTrace{
		Instance: in.config.Name, Trace: r.trace, RelayID: r.relayID, Operation: r.operation.ID,
		Idempotent: r.isIdempotent(), Deadline: r.deadline,
	}}
	if !r.cameByRelay {
		t.trace.RelayID = ""
	}
	t.add(TraceStep{At: receivedAt, Kind: StepReceived})
	return t
}

// add records a step; one without a time happens now.
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

// attemptExchanged records the steps of an attempt whose exchange with its server is over.
func (t *traceRecorder) attemptExchanged(number int, a attempt, rep *response, result policy.Result) {
	if t == nil {
		return
	}
	if rep.wasWritten {
		t.add(TraceStep{At: rep.writtenAt, Kind: StepWritten, Attempt: number, Server: a.server})
	}
	if !rep.closedAt.IsZero() {
		t.add(TraceStep{At: rep.closedAt, Kind: StepConnClosed, Attempt: number, Server: a.server, Detail: result.String()})
	}
}

// attemptEnded records the result of an attempt, whether it was sent or not.
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

// statusResolved records what a far instance said of a relayed attempt.
func (t *traceRecorder) statusResolved(number int, server string, status multisite.ExecutionStatus, hasEnded bool) {
	if t == nil {
		return
	}
	step := TraceStep{Kind: StepStatusUnknown, Attempt: number, Server: server}
	if hasEnded {
		step.Kind, step.Detail = StepStatusTold, status.String()
	}
	t.add(step)
}

// finish hands the trace on, once the answer was written or could not be.
func (t *traceRecorder) finish(status int, isWritten bool, handOn func(RequestTrace)) {
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
	handOn(t.trace)
}

// TraceLog writes a line of JSON for each request's trace. It never holds a request up: a line that finds the queue
// full is dropped and counted.
type TraceLog struct{ log *lineLog[RequestTrace] }

// NewTraceLog starts a log on w. Close ends it.
func NewTraceLog(w io.Writer) *TraceLog { return &TraceLog{newLineLog[RequestTrace](w)} }

// Record takes a trace; it is a [Config.Trace].
func (l *TraceLog) Record(trace RequestTrace) { l.log.record(trace) }

// Close writes what is queued and returns the first error of writing. Record must not be called after it.
func (l *TraceLog) Close() error {
	if err := l.log.close(); err != nil {
		return fmt.Errorf("trace log: %w", err)
	}
	return nil
}
