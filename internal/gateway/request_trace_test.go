package gateway

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// traceCollector collects the traces of an instance.
type traceCollector struct {
	mu     sync.Mutex
	traces []RequestTrace
}

func (c *traceCollector) record(trace RequestTrace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.traces = append(c.traces, trace)
}

// await waits for the trace of a request.
func (c *traceCollector) await(t *testing.T, id string) RequestTrace {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		i := slices.IndexFunc(c.traces, func(trace RequestTrace) bool { return trace.TraceID == id })
		if i >= 0 {
			defer c.mu.Unlock()
			return c.traces[i]
		}
		c.mu.Unlock()
	}
	t.Fatalf("no trace of request %s within testTimeout", id)
	return RequestTrace{}
}

// stepSummary returns the steps of a trace with their details, in one line.
func stepSummary(trace RequestTrace) string {
	var words []string
	for _, step := range trace.Steps {
		words = append(words, strings.TrimSpace(string(step.Kind)+" "+step.Detail))
	}
	return strings.Join(words, ", ")
}

// A trace contains the steps of each attempt in order, and the result after which the next attempt followed.
func TestRequestTrace(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s0")
	h.startServer("site-a", "s1")
	traces := &traceCollector{}
	g := startInstance(t, h, 2, func(c *Config) { c.OnTrace = traces.record })
	g.fillRetryBudget(h, 8)
	c := dial(t, g.addr)
	c.send(getRequest("GET /visits/1", "X-Trace-Id: r.0"))
	h.nextRequest().response <- "" // the connection is reset
	h.nextRequest().response <- responseText(200, "", "ok")
	if got := c.readResponse(); got.Status != 200 {
		t.Fatalf("retried request: got %+v, want status 200", got)
	}
	trace := traces.await(t, "r.0")
	want := "received, attempt begun, attempt written, connection closed connection reset, attempt ended " +
		"connection reset, attempt begun, attempt written, attempt ended OK, answer decided served, answer written 200"
	if got := stepSummary(trace); got != want {
		t.Errorf("steps:\ngot  %s\nwant %s", got, want)
	}
	if !trace.Idempotent || trace.Operation != "get" || trace.RelayID != "" || trace.Instance != "g" {
		t.Errorf("trace: got %+v, want instance g, operation get, idempotent, no relay ID", trace)
	}
	if !slices.IsSortedFunc(trace.Steps, func(a, b TraceStep) int { return a.At.Compare(b.At) }) {
		t.Errorf("the steps' times are not in order: %+v", trace.Steps)
	}
}

// The trace of a relayed request contains the status that the far instance reported after the connection broke.
func TestRelayedRequestTrace(t *testing.T) {
	h := newTestSites(t)
	traces := &traceCollector{}
	near, _, link := startTwoSites(t, h, nil)
	near.config.OnTrace = traces.record // before the first request
	c := dial(t, near.addr)
	c.send(getRequest("GET /visits/1", "X-Trace-Id: r.0"))
	attempt := h.nextRequest()
	link.breakAll()
	time.Sleep(2 * statusPollInterval)
	attempt.response <- responseText(200, "", "ok")
	if got := c.readResponse(); got.Status != 200 {
		t.Fatalf("relayed request: got %+v, want status 200", got)
	}
	want := "received, attempt begun, attempt written, connection closed connection reset, status asked, " +
		"status told ran, attempt ended OK, answer decided served, answer written 200"
	if got := stepSummary(traces.await(t, "r.0")); got != want {
		t.Errorf("steps:\ngot  %s\nwant %s", got, want)
	}
}

// A trace keeps maxTraceSteps steps and counts the others. A nil recorder records and allocates nothing.
func TestTraceIsBounded(t *testing.T) {
	var off *traceRecorder
	off.add(TraceStep{Kind: StepReceived})
	recorder := &traceRecorder{}
	for range maxTraceSteps + 3 {
		recorder.add(TraceStep{Kind: StepBegun})
	}
	if n, dropped := len(recorder.trace.Steps), recorder.trace.DroppedSteps; n != maxTraceSteps || dropped != 3 {
		t.Errorf("got %d steps, %d dropped; want maxTraceSteps, 3 dropped", n, dropped)
	}
	if allocs := testing.AllocsPerRun(100, func() {
		off.add(TraceStep{Kind: StepReceived})
		off.answerDecided(served)
		off.finish(200, true, nil)
	}); allocs != 0 {
		t.Errorf("allocations of a nil recorder: got %v, want 0", allocs)
	}
}

// The trace log contains a line of JSON for each trace.
func TestTraceLog(t *testing.T) {
	var out bytes.Buffer
	l := NewTraceLog(&out)
	want := RequestTrace{Instance: "g", TraceID: "r.0", Deadline: time.Unix(1, 0).UTC(),
		Steps: []TraceStep{{At: time.Unix(0, 0).UTC(), Kind: StepBegun, Attempt: 1, Server: "site-a/s", Relayed: true}}}
	l.Record(want)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var got RequestTrace
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || stepSummary(got) != stepSummary(want) ||
		got.Steps[0] != want.Steps[0] {
		t.Errorf("trace log: got %s (error %v), want the recorded trace", out.String(), err)
	}
}
