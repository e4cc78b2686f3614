package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
)

// sequence is the parameters of a random sequence of events.
type sequence struct {
	seed          uint64
	allowsHedging bool
	dedupScope    DedupScope // deduplication scope of the keyed class
	gossipLoss    float64    // probability that a gossip message is lost
	engines       int
}

// arrivalPeriod is the period in which requests arrive. Their attempts and timers may end later.
const arrivalPeriod = 12 * time.Second

// run runs the sequence and returns the checker with the actions of the engines.
func (s sequence) run(t *testing.T) *ruleChecker {
	t.Helper()
	checker := s.newChecker(t)
	for i := range checker.engines {
		checker.startEngine(i)
	}
	checker.schedule(0, checker.receiveNextRequest)
	for range 14 {
		checker.schedule(time.Duration(checker.rng.Int64N(int64(arrivalPeriod))), checker.injectFault)
	}
	for checker.queue.Len() > 0 && checker.now < arrivalPeriod+5*time.Second {
		event := checker.queue.Pop()
		checker.now = event.At
		event.Run()
	}
	for id, r := range checker.requests {
		if r.finalAnswers != 1 && !r.engineRestarted {
			checker.fail("rule 1: %s has %d final answers, want 1", id, r.finalAnswers)
		}
	}
	return checker
}

// newChecker returns a checker whose engines have not been started.
func (s sequence) newChecker(t *testing.T) *ruleChecker {
	checker := &ruleChecker{
		t:            t,
		rng:          rand.New(rand.NewPCG(s.seed, 1)),
		settings:     testSettings(),
		engines:      make([]*Engine, s.engines),
		incarnations: make([]int, s.engines),
		requests:     map[string]*ruleRequest{},
		servers:      map[string]Server{},
		bootedAt:     map[string]time.Duration{},
		sendsTo:      map[string][]time.Duration{},
		responsesOf:  map[string][]time.Duration{},
		hardLimits:   map[uint64]*referenceHardLimit{},
		gossipLoss:   s.gossipLoss,
	}
	checker.settings.InstanceCount, checker.settings.AllowsHedging = s.engines, s.allowsHedging
	checker.settings.Classes[1].DedupScope = s.dedupScope
	for i := range 8 {
		id := fmt.Sprintf("s%d", i)
		checker.serverIDs = append(checker.serverIDs, id)
		checker.servers[id] = Server{ID: id, Kind: "k", Zone: []string{"a", "b"}[i%2], Cell: i / 3}
	}
	for range checker.engines {
		checker.drainNotifiedAt = append(checker.drainNotifiedAt, map[string]time.Duration{})
	}
	return checker
}

// receiveNextRequest passes a random request to an engine, and schedules the next one.
func (c *ruleChecker) receiveNextRequest() {
	if c.now > arrivalPeriod {
		return
	}
	c.schedule(time.Duration(c.rng.ExpFloat64()*float64(5*ms)), c.receiveNextRequest)
	q := Request{
		ID:            fmt.Sprintf("r%d", c.events),
		Class:         c.settings.Classes[c.rng.IntN(3)].Name,
		Plan:          c.settings.Plans[c.rng.IntN(3)].Name,
		Timeout:       time.Duration(300+c.rng.IntN(1700)) * ms,
		Units:         float64(1 + c.rng.IntN(3)),
		InstanceCount: min(len(c.engines), 12),
	}
	q.Customer = uint64(c.rng.IntN(4))
	if q.Plan != c.settings.Plans[0].Name {
		q.Customer += 100 * uint64(1+c.rng.IntN(2))
		if q.Plan == c.settings.Plans[2].Name {
			q.Customer += 1000
		}
	}
	q.FirstInstance = int(q.Customer*7) % len(c.engines)
	i := (q.FirstInstance + c.rng.IntN(q.InstanceCount)) % len(c.engines)
	c.requests[q.ID] = &ruleRequest{request: q, engine: i, incarnation: c.incarnations[i], receivedAt: c.now}
	c.engines[i].RequestReceived(c.now, q, ruleHost{c, i, c.incarnations[i]})
}

// injectFault restarts an engine, or drains, removes or restarts a server.
func (c *ruleChecker) injectFault() {
	id := c.serverIDs[c.rng.IntN(len(c.serverIDs))]
	s := c.servers[id]
	switch c.rng.IntN(4) {
	case 0:
		c.startEngine(c.rng.IntN(len(c.engines)))
		return
	case 1:
		s.State = Draining
	case 2:
		s.State = Removed
	case 3:
		s.State, s.StartedAt = Up, c.now
		c.bootedAt[id], c.responsesOf[id] = c.now, nil
	}
	c.servers[id] = s
	for i := range c.engines {
		c.sendEndpoints(i, EndpointsDelta, id)
	}
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	t.Parallel()
	type requestCounts struct{ served, total int }
	results := seedtest.Collect(t, 1, 48, func(t *testing.T, seed uint64) requestCounts {
		loss := []float64{0, 0.1, 1}[seed%3]
		engines := 3
		if seed%6 == 0 { // hundreds of engines for the same few servers, which send quota requests to owners
			engines = 300
			loss = []float64{0, 0.1, 1}[seed/6%3]
		}
		checker := sequence{seed, seed%2 == 0, DedupScope(seed % 3), loss, engines}.run(t)
		if t.Failed() {
			t.Fatalf("a rule is broken with seed %d", seed)
		}
		return requestCounts{checker.served, len(checker.requests)}
	})
	served, total := 0, 0
	for _, counts := range results {
		served, total = served+counts.served, total+counts.total
	}
	if served < total/4 {
		t.Errorf("%d of %d requests served, want at least a quarter: the sequences exercise too little", served, total)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	q := sequence{seed: 7, allowsHedging: true, dedupScope: DedupCell, gossipLoss: 0.1, engines: 3}
	a, b := q.run(t), q.run(t)
	if len(a.log) < 1000 || len(a.log) != len(b.log) {
		t.Fatalf("got %d and %d actions, want the same number, at least 1000", len(a.log), len(b.log))
	}
	for i := range a.log {
		if a.log[i] != b.log[i] {
			t.Fatalf("action %d differs: %q and %q", i, a.log[i], b.log[i])
		}
	}
}
