package policy

import (
	"math"
	"time"
)

const (
	latencyWeight      = 0.15            // of a new sample in a server's latency ratio
	slowMeanWeight     = 0.05            // of a new sample in the slow moving averages
	rateWeight         = 0.1             // of a sample in the rate of responses: about a second
	decayTime          = 5 * time.Second // time constant for forgetting what was learned of a server
	minBatchSamples    = 16              // in a mean that may count as the lowest latency
	lowestLatencyDrift = 0.01            // by which the lowest latency creeps up at each batch
)

// classLatency is the latency learned for a class.
type classLatency struct {
	mean, deviation float64 // seconds
	samples         int
	kinds           []kindLatency
	firstTryTimeout time.Duration // wait that a client's first try has left
}

// kindLatency finds the lowest mean latency of a class on one kind of server.
type kindLatency struct {
	sum     float64
	samples int
	lowest  float64
}

// kindRatio is the latency of a kind as a multiple of the mean.
type kindRatio struct{ mean, n float64 }

// recordLatency learns from one answered attempt.
func (e *Engine) recordLatency(class int, s *server, took time.Duration) {
	c := &e.latencies[class]
	x := took.Seconds()
	if c.mean == 0 {
		c.mean, c.deviation = x, x/2
	}
	c.samples++
	c.deviation += slowMeanWeight * (math.Abs(x-c.mean) - c.deviation)
	c.mean += slowMeanWeight * (x - c.mean)
	s.latencyRatio += latencyWeight * (x/math.Max(c.mean, 1e-6) - s.latencyRatio)
	for len(c.kinds) <= e.kindIndex[s.Kind] {
		c.kinds = append(c.kinds, kindLatency{})
	}
	l := e.kindRatios[e.kindIndex[s.Kind]]
	l.n++
	l.mean += math.Max(1/(l.n+1), slowMeanWeight) * (x/math.Max(c.mean, 1e-6) - l.mean)
	k := &c.kinds[e.kindIndex[s.Kind]]
	k.sum += x
	if k.samples++; k.samples >= minBatchSamples {
		k.lowest *= 1 + lowestLatencyDrift
		if m := k.sum / float64(k.samples); k.lowest == 0 || m < k.lowest {
			k.lowest = m
		}
		k.sum, k.samples = 0, 0
	}
	if e.settings.LoadReports == LoadReportsNone || e.lacksLoadReport(s) {
		if k.lowest > 0 {
			// Each latency weighs by its length, which makes the mean over a probe 1 - lowest/mean.
			e.overload.occupancySums[e.overload.sampleIndex()] += x/k.lowest - 1
			e.overload.occupancySamples[e.overload.sampleIndex()] += x / k.lowest
		} else {
			e.overload.occupancySamples[e.overload.sampleIndex()]++ // or a few full refusals would be all there is
		}
	}
}

func (e *Engine) meanLatency() float64 {
	var sum, n float64
	for i := range e.latencies {
		if e.latencies[i].mean > 0 {
			sum, n = sum+e.latencies[i].mean, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// learnedWork is 0 as long as nothing is known of the class.
func (e *Engine) learnedWork(class int) float64 {
	least := 0.0
	for _, k := range e.latencies[class].kinds {
		if k.lowest > 0 && (least == 0 || k.lowest < least) {
			least = k.lowest
		}
	}
	return least
}

// expectedWork is the work of one request of a class, in seconds of the lowest latency seen.
func (e *Engine) expectedWork(class int) float64 {
	if w := e.learnedWork(class); w > 0 {
		return w
	}
	return e.settings.Classes[class].LatencyObjective.Seconds() / 4
}

// kindIndexOf is the place of a kind of servers.
func (e *Engine) kindIndexOf(name string) int {
	if i, ok := e.kindIndex[name]; ok {
		return i
	}
	e.kindIndex[name] = len(e.kindRatios)
	e.kindRatios = append(e.kindRatios, &kindRatio{mean: 1})
	return len(e.kindRatios) - 1
}

func (e *Engine) maxLatencyObjective() (d time.Duration) {
	for _, c := range e.settings.Classes {
		d = max(d, c.LatencyObjective)
	}
	return d
}
