package policy

import (
	"math"
	"time"
)

const (
	latencyWeight      = 0.15 // of a new sample in a server's latency ratio
	minBatchSamples    = 16   // in a mean that may count as the lowest latency
	lowestLatencyDrift = 0.01 // by which the lowest latency creeps up at each batch
	firstTrySteps      = 20   // steps of the first try's timeout in a latency objective
	firstTryDecaySteps = 10   // times that a step down is smaller: the longest tenth counts
)

// latencyTable holds the latencies learned per class and per machine kind.
// Invariant: kindRatios and kindIndex have one entry per kind ever listed, and a kind keeps its place.
type latencyTable struct {
	classes    []classLatency
	kindIndex  map[string]int
	kindRatios []*kindRatio
}

// classLatency is the latency learned for a class.
type classLatency struct {
	mean, deviation float64 // seconds
	samples         int
	kinds           []kindLatency
	firstTryTimeout time.Duration // that a client's first try has left
}

// kindLatency finds the lowest mean latency of a class on one kind of server.
type kindLatency struct {
	sum     float64
	samples int
	lowest  float64 // seconds; 0: not known
}

// kindRatio is the latency of a kind as a multiple of the mean.
type kindRatio struct{ mean, n float64 }

// newLatencyTable returns a table in which nothing is known.
func newLatencyTable(classCount int) latencyTable {
	return latencyTable{classes: make([]classLatency, classCount), kindIndex: map[string]int{}}
}

// addKind returns the place of a kind, and makes one for a new kind.
func (t *latencyTable) addKind(name string) int {
	if i, ok := t.kindIndex[name]; ok {
		return i
	}
	i := len(t.kindRatios)
	t.kindIndex[name] = i
	t.kindRatios = append(t.kindRatios, &kindRatio{mean: 1})
	return i
}

// record learns from the latency, in seconds, of one response of a class from a kind. It returns the latency
// as a multiple of the class's mean, and the lowest latency known of the class on the kind.
func (t *latencyTable) record(class int, kind string, seconds float64) (ratio, lowest float64) {
	c := &t.classes[class]
	c.record(seconds)
	ratio = seconds / math.Max(c.mean, 1e-6)
	i := t.kindIndex[kind]
	t.kindRatios[i].record(ratio)
	for len(c.kinds) <= i {
		c.kinds = append(c.kinds, kindLatency{})
	}
	c.kinds[i].record(seconds)
	return ratio, c.kinds[i].lowest
}

// record learns from the latency of one response.
func (c *classLatency) record(seconds float64) {
	if c.mean == 0 {
		c.mean, c.deviation = seconds, seconds/2
	}
	c.samples++
	c.deviation += slowMeanWeight * (math.Abs(seconds-c.mean) - c.deviation)
	c.mean += slowMeanWeight * (seconds - c.mean)
}

// learnFirstTryTimeout learns from the timeout that a client's try has left, by which first tries are told from later
// ones: a high quantile, not the maximum, as single clients must not make all others look late.
func (c *classLatency) learnFirstTryTimeout(timeout, objective time.Duration) {
	if c.firstTryTimeout == 0 {
		c.firstTryTimeout = timeout
	}
	step := objective / firstTrySteps
	if timeout > c.firstTryTimeout {
		c.firstTryTimeout += min(step, timeout-c.firstTryTimeout)
	} else {
		c.firstTryTimeout -= min(step/firstTryDecaySteps, c.firstTryTimeout-timeout)
	}
}

// record learns from one latency as a multiple of its class's mean.
func (r *kindRatio) record(ratio float64) {
	r.n++
	r.mean += math.Max(1/(r.n+1), slowMeanWeight) * (ratio - r.mean)
}

// record adds to a batch. The mean of a full one may be the lowest, which creeps up at each batch so that a
// change of the servers is found in time.
func (k *kindLatency) record(seconds float64) {
	k.sum += seconds
	k.samples++
	if k.samples < minBatchSamples {
		return
	}
	k.lowest *= 1 + lowestLatencyDrift
	mean := k.sum / float64(k.samples)
	if k.lowest == 0 || mean < k.lowest {
		k.lowest = mean
	}
	k.sum, k.samples = 0, 0
}

// mean is the mean latency over the classes, in seconds; 0: nothing is known.
func (t *latencyTable) mean() float64 {
	var sum, n float64
	for i := range t.classes {
		if t.classes[i].mean > 0 {
			sum, n = sum+t.classes[i].mean, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// learnedWork is the work of one request of a class, in seconds of the lowest latency seen; 0: not known.
func (t *latencyTable) learnedWork(class int) float64 {
	least := 0.0
	for _, k := range t.classes[class].kinds {
		if k.lowest > 0 && (least == 0 || k.lowest < least) {
			least = k.lowest
		}
	}
	return least
}

// expectedWork is the learned work of one request of a class or, as long as it is not known, a guess by the
// class's latency objective.
func (t *latencyTable) expectedWork(class int, objective time.Duration) float64 {
	if w := t.learnedWork(class); w > 0 {
		return w
	}
	return objective.Seconds() / 4
}

// kindSpeed is the speed of a kind against the mean, at most 1; isKnown is false for one not measured.
func (t *latencyTable) kindSpeed(kind string) (speed float64, isKnown bool) {
	r := t.kindRatios[t.kindIndex[kind]]
	if r.n <= 0 {
		return 1, false
	}
	return math.Min(1/r.mean, 1), true
}

// expectedWork is the work of one request of a class, in seconds of a request served alone.
func (e *Engine) expectedWork(class int) float64 {
	return e.latencies.expectedWork(class, e.settings.Classes[class].LatencyObjective)
}

// recordLatency learns from one response. Where no load report tells a server's occupancy, latency stands for
// it: each latency weighs by its length, which makes the mean over a sample 1 - lowest/mean.
func (e *Engine) recordLatency(class int, s *server, latency time.Duration) {
	seconds := latency.Seconds()
	ratio, lowest := e.latencies.record(class, s.Kind, seconds)
	s.latencyRatio += latencyWeight * (ratio - s.latencyRatio)
	if e.settings.LoadReports != LoadReportsNone && !e.lacksLoadReport(s) {
		return
	}
	if lowest > 0 {
		e.overload.addOccupancies(seconds/lowest-1, seconds/lowest)
	} else {
		e.overload.addOccupancy(0) // or a few rejections by servers would be all there is
	}
}

// maxLatencyObjective is the longest latency objective of all classes.
func (e *Engine) maxLatencyObjective() (longest time.Duration) {
	for _, c := range e.settings.Classes {
		longest = max(longest, c.LatencyObjective)
	}
	return longest
}
