package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
)

// sequence is what a random sequence varies besides its seed.
type sequence struct {
	seed          uint64
	allowsHedging bool
	dedupScope    DedupScope // of the keyed class
	loss          float64    // of messages
	engines       int
}

// sequenceTime is how long requests come; what they started may take some time longer.
const sequenceTime = 12 * time.Second

// run runs the sequence and returns what the engines did.
func (q sequence) run(t *testing.T) *ruleChecker {
	t.Helper()
	w := q.newChecker(t)
	for i := range w.engines {
		w.start(i)
	}
	w.after(0, w.arrive)
	for range 14 {
		w.after(time.Duration(w.rng.Int64N(int64(sequenceTime))), w.disturb)
	}
	for w.queue.Len() > 0 && w.now < sequenceTime+5*time.Second {
		event := w.queue.Pop()
		w.now = event.At
		event.Run()
	}
	for id, r := range w.requests {
		if r.finalAnswers != 1 && !r.isKilled {
			w.fail("rule 1: %s has %d final answers", id, r.finalAnswers)
		}
	}
	return w
}

// newChecker returns the engines' world before their start.
func (q sequence) newChecker(t *testing.T) *ruleChecker {
	w := &ruleChecker{
		t:            t,
		rng:          rand.New(rand.NewPCG(q.seed, 1)),
		settings:     testSettings(),
		engines:      make([]*Engine, q.engines),
		incarnations: make([]int, q.engines),
		requests:     map[string]*ruleRequest{},
		servers:      map[string]Server{},
		bootedAt:     map[string]time.Duration{},
		sendsTo:      map[string][]time.Duration{},
		responsesOf:  map[string][]time.Duration{},
		hardLimits:   map[uint64]*trueHardLimit{},
		loss:         q.loss,
	}
	w.settings.InstanceCount, w.settings.AllowsHedging = q.engines, q.allowsHedging
	w.settings.Classes[1].DedupScope = q.dedupScope
	for i := range 8 {
		id := fmt.Sprintf("s%d", i)
		w.serverIDs = append(w.serverIDs, id)
		w.servers[id] = Server{ID: id, Kind: "k", Zone: []string{"a", "b"}[i%2], Cell: i / 3}
	}
	for range w.engines {
		w.drainNotifiedAt = append(w.drainNotifiedAt, map[string]time.Duration{})
	}
	return w
}

// arrive is the arrival of a request, and plans the next one.
func (w *ruleChecker) arrive() {
	if w.now > sequenceTime {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()*float64(5*ms)), w.arrive)
	q := Request{
		ID:            fmt.Sprintf("r%d", w.events),
		Class:         w.settings.Classes[w.rng.IntN(3)].Name,
		Plan:          w.settings.Plans[w.rng.IntN(3)].Name,
		Timeout:       time.Duration(300+w.rng.IntN(1700)) * ms,
		Units:         float64(1 + w.rng.IntN(3)),
		InstanceCount: min(len(w.engines), 12),
	}
	q.Customer = uint64(w.rng.IntN(4))
	if q.Plan != w.settings.Plans[0].Name {
		q.Customer += 100 * uint64(1+w.rng.IntN(2))
		if q.Plan == w.settings.Plans[2].Name {
			q.Customer += 1000
		}
	}
	q.FirstInstance = int(q.Customer*7) % len(w.engines)
	i := (q.FirstInstance + w.rng.IntN(q.InstanceCount)) % len(w.engines)
	w.requests[q.ID] = &ruleRequest{request: q, engine: i, incarnation: w.incarnations[i], receivedAt: w.now}
	w.engines[i].RequestReceived(w.now, q, ruleHost{w, i, w.incarnations[i]})
}

// disturb restarts an engine, or has a server drain, vanish or restart.
func (w *ruleChecker) disturb() {
	id := w.serverIDs[w.rng.IntN(len(w.serverIDs))]
	s := w.servers[id]
	switch w.rng.IntN(4) {
	case 0:
		w.start(w.rng.IntN(len(w.engines)))
		return
	case 1:
		s.State = Draining
	case 2:
		s.State = Removed
	case 3:
		s.State, s.StartedAt = Up, w.now
		w.bootedAt[id], w.responsesOf[id] = w.now, nil
	}
	w.servers[id] = s
	for i := range w.engines {
		w.sendEndpoints(i, EndpointsDelta, id)
	}
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	t.Parallel()
	type requestCounts struct{ served, total int }
	results := seedtest.Collect(t, 1, 48, func(t *testing.T, seed uint64) requestCounts {
		loss := []float64{0, 0.1, 1}[seed%3]
		engines := 3
		if seed%6 == 0 { // hundreds of engines around the same few servers, where owners are asked
			engines = 300
			loss = []float64{0, 0.1, 1}[seed/6%3]
		}
		w := sequence{seed, seed%2 == 0, DedupScope(seed % 3), loss, engines}.run(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		return requestCounts{w.served, len(w.requests)}
	})
	served, total := 0, 0
	for _, counts := range results {
		served, total = served+counts.served, total+counts.total
	}
	if served < total/4 {
		t.Errorf("%d of %d requests served: the sequences exercise too little", served, total)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	q := sequence{seed: 7, allowsHedging: true, dedupScope: DedupCell, loss: 0.1, engines: 3}
	a, b := q.run(t), q.run(t)
	if len(a.log) < 1000 || len(a.log) != len(b.log) {
		t.Fatalf("%d and %d actions", len(a.log), len(b.log))
	}
	for i := range a.log {
		if a.log[i] != b.log[i] {
			t.Fatalf("action %d: %q and %q", i, a.log[i], b.log[i])
		}
	}
}
