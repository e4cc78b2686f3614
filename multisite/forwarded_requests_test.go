package multisite

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
)

const testMaxForwarded = 40

// linkRequest is a request of the other site; the zero value is a finished request.
type linkRequest struct {
	arrivesAt             time.Time // zero if the request has arrived
	endsAt                time.Time // zero if the request is not executing
	executionCount        int
	reportedNeverExecuted bool // NeverExecuted was reported to the other site
}

// linkSimulation simulates a link that breaks: requests arrive late or twice, and the other site queries the status of
// requests that have not arrived.
type linkSimulation struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       time.Time
	forwarded *ForwardedRequests
	requests  map[ForwardedRequestID]*linkRequest
	ids       []ForwardedRequestID
}

func newLinkSimulation(t *testing.T, seed uint64) *linkSimulation {
	t.Helper()
	f, err := NewForwardedRequests(time.Second, testMaxForwarded)
	if err != nil {
		t.Fatal(err)
	}
	return &linkSimulation{
		t:         t,
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 9)),
		now:       time.Unix(0, 0),
		forwarded: f,
		requests:  map[ForwardedRequestID]*linkRequest{},
	}
}

func (s *linkSimulation) after(maxMilliseconds int) time.Time {
	return s.now.Add(time.Duration(s.rng.IntN(maxMilliseconds)) * time.Millisecond)
}

// step simulates a millisecond, in which a request may be sent and the latest requests advance.
func (s *linkSimulation) step(number int) {
	s.now = s.now.Add(time.Millisecond)
	if s.rng.IntN(12) == 0 { // two instances issue the same numbers
		for instance := range uint64(1 + s.rng.IntN(2)) {
			id := ForwardedRequestID{instance, fmt.Sprint(number)}
			s.requests[id] = &linkRequest{arrivesAt: s.after(300)}
			s.ids = append(s.ids, id)
		}
	}
	for _, id := range s.ids[max(0, len(s.ids)-60):] {
		s.advance(id, s.requests[id])
	}
	if len(s.ids) > 0 && s.rng.IntN(10) == 0 {
		s.acknowledge(s.ids[s.rng.IntN(len(s.ids))])
	}
	f := s.forwarded
	if f.Len() > testMaxForwarded || len(f.expirations) > 2*testMaxForwarded+minSweptExpirations {
		s.t.Fatalf("seed %d: too many entries: %d requests, %d expirations", s.seed, f.Len(), len(f.expirations))
	}
}

// advance makes a request arrive or complete, or the other site query its status.
func (s *linkSimulation) advance(id ForwardedRequestID, r *linkRequest) {
	switch {
	case *r == (linkRequest{}):
	case !r.arrivesAt.IsZero() && s.now.After(r.arrivesAt):
		s.arrive(id, r)
	case !r.endsAt.IsZero() && s.now.After(r.endsAt):
		r.endsAt = time.Time{}
		s.forwarded.Complete(s.now, id, Executed, id)
	case s.rng.IntN(200) == 0:
		status, answer := s.forwarded.ResolveStatus(s.now, id)
		r.reportedNeverExecuted = r.reportedNeverExecuted || status == NeverExecuted
		if status == Executed && (answer != id || r.executionCount != 1) {
			s.t.Fatalf("seed %d: request %v is reported as executed with answer %v, and was executed %d times",
				s.seed, id, answer, r.executionCount)
		}
	}
	if r.executionCount > 1 || r.reportedNeverExecuted && r.executionCount > 0 {
		s.t.Fatalf("seed %d: request %v was executed %d times; reported as never executed: %v",
			s.seed, id, r.executionCount, r.reportedNeverExecuted)
	}
}

func (s *linkSimulation) arrive(id ForwardedRequestID, r *linkRequest) {
	if s.rng.IntN(8) > 0 { // some requests arrive twice, as from a link that repeats them
		r.arrivesAt = time.Time{}
	}
	status, ok := s.forwarded.Admit(s.now, id, nil)
	if ok {
		r.executionCount++
		r.endsAt = s.after(400)
	} else if status == NeverExecuted && r.executionCount > 0 {
		s.t.Fatalf("seed %d: request %v was executed, and its second copy is reported as never executed", s.seed, id)
	}
}

// acknowledge simulates that the other site has received an answer: it sends no more copies of the request.
func (s *linkSimulation) acknowledge(id ForwardedRequestID) {
	r := s.requests[id]
	if r.arrivesAt.IsZero() && r.endsAt.IsZero() && r.executionCount > 0 {
		s.forwarded.Acknowledge(id)
		s.requests[id] = &linkRequest{}
	}
}

// TestForwardedRequestsSeeds checks over 1,000 seeds that no request is executed that was reported as never executed,
// and that none is executed twice.
func TestForwardedRequestsSeeds(t *testing.T) {
	t.Parallel()
	seeds := uint64(1000)
	if raceEnabled {
		seeds = 60
	}
	seedtest.ForEach(t, 0, seeds, func(t *testing.T, seed uint64) {
		s := newLinkSimulation(t, seed)
		for number := range 3000 {
			s.step(number)
		}
	})
}

// A request whose answer the other site has acknowledged is no longer recorded: many more requests can be forwarded
// within a TTL than the table holds.
func TestAcknowledgedRequestsAreDropped(t *testing.T) {
	t.Parallel()
	f, _ := NewForwardedRequests(time.Hour, 8)
	now := time.Unix(0, 0)
	for i := range 100_000 {
		now = now.Add(time.Millisecond)
		id := ForwardedRequestID{1, fmt.Sprint(i)}
		if _, ok := f.Admit(now, id, nil); !ok {
			t.Fatalf("request %d was not admitted", i)
		}
		if f.Acknowledge(id); f.Len() == 0 {
			t.Fatal("Acknowledge dropped a request that is executing")
		}
		f.Complete(now, id, Executed, nil)
		f.Acknowledge(id)
	}
	if f.Len() > 0 || len(f.expirations) > 2*minSweptExpirations {
		t.Errorf("after all requests were acknowledged, %d requests and %d expirations are kept",
			f.Len(), len(f.expirations))
	}
}

// While the table is full, no request is admitted, and the status of a request that has not arrived is unknown, as it
// can't be voided.
func TestFullForwardedRequests(t *testing.T) {
	f, _ := NewForwardedRequests(time.Second, 1)
	now := time.Unix(0, 0)
	if _, ok := f.Admit(now, ForwardedRequestID{1, "a"}, nil); !ok {
		t.Fatal("the first request was not admitted")
	}
	if status, ok := f.Admit(now, ForwardedRequestID{1, "b"}, nil); ok || status != NeverExecuted {
		t.Fatalf("request beyond the limit: admitted, or with the wrong status %v", status)
	}
	if status, _ := f.ResolveStatus(now, ForwardedRequestID{1, "b"}); status != ExecutionUnknown {
		t.Errorf("status of a request that has not arrived: got %v, want unknown", status)
	}
	late := now.Add(time.Hour)
	if status, _ := f.ResolveStatus(late, ForwardedRequestID{1, "a"}); status != Executing {
		t.Errorf("a request that executes for longer than its TTL was dropped: status %v", status)
	}
	f.Complete(late, ForwardedRequestID{1, "a"}, NeverExecuted, nil)
	if status, _ := f.ResolveStatus(late.Add(time.Minute), ForwardedRequestID{1, "b"}); status != NeverExecuted {
		t.Errorf("status after the first request expired: got %v, want never", status)
	}
}

// What carries a request out is known while it is executing, and only then.
func TestExecutor(t *testing.T) {
	f, err := NewForwardedRequests(time.Second, 10)
	if err != nil {
		t.Fatal(err)
	}
	now, id := time.Unix(100, 0), ForwardedRequestID{1, "a"}
	if got := f.Executor(id); got != nil {
		t.Errorf("request that has not arrived: got executor %v, want nil", got)
	}
	f.Admit(now, id, "first")
	f.Admit(now, id, "repeated")
	if got := f.Executor(id); got != "first" {
		t.Errorf("request that is executing: got executor %v, want first", got)
	}
	f.Complete(now, id, Executed, "answer")
	if got := f.Executor(id); got != nil {
		t.Errorf("request that has ended: got executor %v, want nil", got)
	}
}
