package policy

import (
	"math"
	"time"
)

const (
	latencyWeight      = 0.15 // weight of a new sample in a server's latency ratio
	minBatchSamples    = 16   // samples of a batch whose mean may become the lowest latency
	lowestLatencyDrift = 0.01 // fraction by which the lowest latency grows with each batch

	// Each request moves the estimate of the first tries' timeout towards its own timeout, at most by a step: up by the
	// latency objective divided by firstTrySteps, down by an upward step divided by firstTryDecaySteps. The estimate
	// converges to a timeout that one request in firstTryDecaySteps+1 exceeds, about the 91st percentile.
	firstTrySteps      = 20
	firstTryDecaySteps = 10

	initialWorkDivisor = 4    // unknown work is estimated as the latency objective divided by this
	minLatencyDivisor  = 1e-6 // seconds; avoids a division by 0

	latencyMaxAge = time.Second // since the last response of a class; an older mean rejects no request
)

// latencyTable holds the latencies learned per class and per machine kind.
// Invariant: kindRatios and kindIndex have one entry per kind ever listed, and a kind keeps its index.
type latencyTable struct {
	classes    []classLatency // by class index
	kindIndex  map[string]int // by name
	kindRatios []*kindRatio   // by kind index
}

// classLatency is the latency learned for a class.
type classLatency struct {
	mean, deviation float64 // seconds
	samples         int
	recordedAt      time.Duration // when the last response was recorded, or the statistics were restored
	kinds           []kindLatency // by kind index
	firstTryTimeout time.Duration // estimated timeout of clients' first tries
}

// kindLatency measures the lowest mean latency of a class on one machine kind.
type kindLatency struct {
	sum     float64 // sum of the open batch, in seconds
	samples int     // number of samples in the open batch
	lowest  float64 // lowest mean of a batch, in seconds; 0: not known
}

// kindRatio is the mean latency of a kind as a multiple of that of the class.
type kindRatio struct {
	mean    float64
	samples float64
}

// newLatencyTable returns an empty table.
func newLatencyTable(classCount int) latencyTable {
	return latencyTable{classes: make([]classLatency, classCount), kindIndex: map[string]int{}}
}

// addKind returns the index of a kind, which it adds if it is new.
func (t *latencyTable) addKind(name string) int {
	if i, ok := t.kindIndex[name]; ok {
		return i
	}
	i := len(t.kindRatios)
	t.kindIndex[name] = i
	t.kindRatios = append(t.kindRatios, &kindRatio{mean: 1})
	return i
}

// latencySample is a latency compared with the statistics of its class.
type latencySample struct {
	ratio  float64 // the latency as a multiple of the class's mean
	lowest float64 // lowest mean latency of the class on the machine kind, in seconds; 0: not known
}

// record adds the latency, in seconds, of one response of a class from a machine kind.
func (t *latencyTable) record(now time.Duration, class int, kind string, seconds float64) latencySample {
	c := &t.classes[class]
	c.recordedAt = now
	c.record(seconds)
	ratio := seconds / math.Max(c.mean, minLatencyDivisor)
	i := t.kindIndex[kind]
	t.kindRatios[i].record(ratio)
	for len(c.kinds) <= i {
		c.kinds = append(c.kinds, kindLatency{})
	}
	c.kinds[i].record(seconds)
	return latencySample{ratio: ratio, lowest: c.kinds[i].lowest}
}

// record adds the latency of one response.
func (c *classLatency) record(seconds float64) {
	if c.mean == 0 {
		c.mean, c.deviation = seconds, seconds/2
	}
	c.samples++
	c.deviation += slowMeanWeight * (math.Abs(seconds-c.mean) - c.deviation)
	c.mean += slowMeanWeight * (seconds - c.mean)
}

// learnFirstTryTimeout updates the estimate of the first tries' timeout with the timeout of a request. It estimates a
// high quantile and not the maximum, so that a few clients with long timeouts do not make all other requests count as
// late.
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

// record adds one latency as a multiple of its class's mean.
func (r *kindRatio) record(ratio float64) {
	r.samples++
	r.mean += math.Max(1/(r.samples+1), slowMeanWeight) * (ratio - r.mean)
}

// record adds a latency to the batch. The mean of a full batch may become the lowest, which drifts up with each batch
// so that it follows servers that become slower.
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

// mean returns the mean latency over the classes, in seconds; 0: not known.
func (t *latencyTable) mean() float64 {
	var sum, n float64
	for i := range t.classes {
		if t.classes[i].mean > 0 {
			sum, n = sum+t.classes[i].mean, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// learnedWork returns the work of one request of a class: the lowest mean latency on any kind, in seconds; 0: not
// known.
func (t *latencyTable) learnedWork(class int) float64 {
	lowest := 0.0
	for _, k := range t.classes[class].kinds {
		if k.lowest > 0 && (lowest == 0 || k.lowest < lowest) {
			lowest = k.lowest
		}
	}
	return lowest
}

// expectedWork returns the work of one request of a class, the seconds that it takes on an idle server: learned, or
// estimated from the latency objective while it is not known.
func (t *latencyTable) expectedWork(classes []Class, class int) float64 {
	if work := t.learnedWork(class); work > 0 {
		return work
	}
	return classes[class].LatencyObjective.Seconds() / initialWorkDivisor
}

// relativeValue returns a class's priority weight per second of work, as a fraction of the highest of all classes.
func (t *latencyTable) relativeValue(classes []Class, class int) float64 {
	best := 0.0
	for c := range classes {
		best = math.Max(best, classes[c].PriorityWeight/t.expectedWork(classes, c))
	}
	if best <= 0 {
		return 1
	}
	return classes[class].PriorityWeight / t.expectedWork(classes, class) / best
}

// forRequest returns the latency learned for the class of a request.
func (t *latencyTable) forRequest(r *request) *classLatency { return &t.classes[r.class] }

// kindSpeed returns the speed of a machine kind as a fraction of the mean, at most 1. If no latency of the kind has
// been recorded, isKnown is false.
func (t *latencyTable) kindSpeed(kind string) (speed float64, isKnown bool) {
	r := t.kindRatios[t.kindIndex[kind]]
	if r.samples <= 0 {
		return 1, false
	}
	return math.Min(1/r.mean, 1), true
}
