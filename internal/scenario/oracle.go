package scenario

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
)

// The scenario hall-lost-surge partitions a site without which the load can't be carried, and has it return with cold
// servers. It compares what was served with a reference model, which has the true state of all servers at any time,
// has no latency between sites, and chooses among all requests. No gateway can serve more than the model.

// Times of the scenario hall-lost-surge. Fractions are of its length.
const (
	outageStartFraction = 0.2
	outageEndFraction   = 0.48
	afterLossWindow     = 10 * time.Second // measured after the loss, at most until the return
	afterReturnWindow   = 20 * time.Second // measured after the return, at most until the end
	referenceStep       = 20 * time.Millisecond
	fullUseFraction     = 0.9 // of its work rate before the loss: a site at this rate is in full use
)

// siteSize is the size of one site.
type siteSize struct {
	servers int
	cores   int // of each server
}

// coreCount returns the number of cores of all servers of the site.
func (s siteSize) coreCount() float64 { return float64(s.servers * s.cores) }

// siteOutage records the times of the site's outage. The baseline is measured from baselineStart to lostAt.
type siteOutage struct {
	site                                       string
	baselineStart, lostAt, returnedAt, endedAt time.Time
}

// siteLostSurge partitions a site that carries half of the load, and has it return with cold servers only.
func siteLostSurge(ctx context.Context, c *clusterRun) {
	began := time.Now()
	until := func(fraction float64) {
		pause(ctx, time.Until(began.Add(time.Duration(fraction*float64(c.environment.options.Duration)))))
	}
	site := c.environment.sites[c.rng.IntN(2)]
	outage := &siteOutage{site: site.Name}
	until(outageStartFraction / 2)
	outage.baselineStart = time.Now()
	until(outageStartFraction)
	outage.lostAt = time.Now()
	site.SetPartitioned(true)
	until(outageEndFraction)
	ids := []string{"cold-0", "cold-1", "cold-2", "cold-3", "cold-4"}[:c.environment.serverCount()]
	if err := site.ReplaceServers(ids...); err != nil {
		c.reportViolation("%v", err)
	}
	outage.returnedAt = time.Now()
	site.SetPartitioned(false)
	until(0.99)
	outage.endedAt = time.Now()
	c.outage = outage
}

// clientRequest is one request of a client, over all its attempts.
type clientRequest struct {
	at               time.Time // of the first attempt
	licensee         string
	units            int
	value            float64 // priority weight of an answer within the latency objective
	lateValue        float64 // priority weight of a later answer
	latencyObjective time.Duration
	work             float64   // core seconds
	servedAt         time.Time // zero if it was not served
}

// clientRequestBuilder builds requests from clients' attempts.
type clientRequestBuilder struct {
	plans           map[string]string  // by licensee
	priorityFactors map[string]float64 // by plan
	units           map[string]int     // by operation, of a request that reached a site
}

// newClientRequestBuilder returns a builder with the units of the requests that reached the sites.
func newClientRequestBuilder(byTrace map[string][]testserver.Arrival) *clientRequestBuilder {
	builder := &clientRequestBuilder{plans: map[string]string{}, priorityFactors: map[string]float64{},
		units: map[string]int{}}
	for _, l := range allLicensees() {
		builder.plans[l.Name] = l.Plan
	}
	for _, p := range settings(0).Plans {
		builder.priorityFactors[p.Name] = p.PriorityFactor
	}
	for _, arrivals := range byTrace {
		builder.units[arrivals[0].Operation] = arrivals[0].Units
	}
	return builder
}

// newClientRequest returns a request with the data of one of its attempts.
func (builder *clientRequestBuilder) newClientRequest(attempt *testserver.Attempt) *clientRequest {
	class := classes()[0]
	if attempt.Operation == "bookVisit" {
		class = classes()[1]
	}
	factor := builder.priorityFactors[builder.plans[attempt.Licensee]]
	return &clientRequest{
		at:               attempt.At,
		licensee:         attempt.Licensee,
		units:            max(builder.units[attempt.Operation], 1),
		value:            class.PriorityWeight * factor,
		lateValue:        class.PriorityWeight * class.LateFraction * factor,
		latencyObjective: class.LatencyObjective,
		work:             operationWork(attempt.Operation).Seconds(),
	}
}

// groupByRequest groups clients' attempts by request, in the order of the first attempts. A request that didn't reach a
// site has the units of others of its operation.
func groupByRequest(clientAttempts []testserver.Attempt, byTrace map[string][]testserver.Arrival) []*clientRequest {
	builder := newClientRequestBuilder(byTrace)
	byFirst := map[string]*clientRequest{}
	var all []*clientRequest
	for i := range clientAttempts {
		attempt := &clientAttempts[i]
		request := byFirst[attempt.FirstTrace]
		if request == nil {
			request = builder.newClientRequest(attempt)
			byFirst[attempt.FirstTrace] = request
			all = append(all, request)
		}
		if request.at.After(attempt.At) {
			request.at = attempt.At
		}
		if attempt.Served && (request.servedAt.IsZero() || attempt.Ended.Before(request.servedAt)) {
			request.servedAt = attempt.Ended
		}
	}
	slices.SortFunc(all, func(a, b *clientRequest) int { return a.at.Compare(b.at) })
	return all
}

// capacity returns the work that all sites can do at a time, in core seconds per second, as the test servers compute
// it.
func (outage *siteOutage) capacity(at time.Time, size siteSize) float64 {
	full := size.coreCount()
	switch {
	case at.Before(outage.lostAt):
		return 2 * full
	case at.Before(outage.returnedAt):
		return full
	}
	return full + full*outage.capacityFraction(at)
}

// capacityFraction returns the fraction of its capacity that the returned site has at a time.
func (outage *siteOutage) capacityFraction(at time.Time) float64 {
	gained := (1 - coldCapacity) * at.Sub(outage.returnedAt).Seconds() / slowStartWindow.Seconds()
	return math.Min(coldCapacity+gained, 1)
}

// referenceBucket is the token bucket of a licensee, with the requests that wait for units.
type referenceBucket struct {
	plan    policy.Plan
	tokens  float64
	waiting []*clientRequest
}

// referenceModel is the state of the reference model at one time.
type referenceModel struct {
	outage   *siteOutage
	size     siteSize
	at       time.Time
	buckets  []*referenceBucket          // in the order of allLicensees
	byName   map[string]*referenceBucket // by licensee
	admitted []*clientRequest            // have their units and are not completed
	workLeft map[*clientRequest]float64  // core seconds
	served   map[*clientRequest]bool
}

// newReferenceModel returns a reference model with full buckets.
func newReferenceModel(outage *siteOutage, size siteSize) *referenceModel {
	model := &referenceModel{outage: outage, size: size, byName: map[string]*referenceBucket{},
		workLeft: map[*clientRequest]float64{}, served: map[*clientRequest]bool{}}
	for _, l := range allLicensees() {
		for _, p := range settings(0).Plans {
			if p.Name == l.Plan {
				bucket := &referenceBucket{plan: p, tokens: p.Burst}
				model.byName[l.Name] = bucket
				model.buckets = append(model.buckets, bucket)
			}
		}
	}
	return model
}

// runReferenceModel simulates the whole run and returns the requests that can be served within their latency
// objectives. Each request takes units of its licensee's quota, in the order of arrival, and waits for them until its
// objective has passed, like a client that retries. Of the requests that have their units, those with the highest value
// per work are served first.
func (outage *siteOutage) runReferenceModel(all []*clientRequest, size siteSize) (served map[*clientRequest]bool) {
	model := newReferenceModel(outage, size)
	next := 0
	for model.at = all[0].at; next < len(all) || len(model.admitted) > 0; model.at = model.at.Add(referenceStep) {
		for ; next < len(all) && all[next].at.Before(model.at.Add(referenceStep)); next++ {
			bucket := model.byName[all[next].licensee]
			bucket.waiting = append(bucket.waiting, all[next])
		}
		for _, bucket := range model.buckets {
			model.admit(bucket)
		}
		model.serveStep()
	}
	return model.served
}

// isLate reports whether a request's latency objective has passed.
func (model *referenceModel) isLate(request *clientRequest) bool {
	return model.at.Sub(request.at) > request.latencyObjective
}

// admit refills a bucket for one step and admits the waiting requests for which it has units, in their order.
func (model *referenceModel) admit(bucket *referenceBucket) {
	bucket.tokens = math.Min(bucket.tokens+bucket.plan.Rate*referenceStep.Seconds(), bucket.plan.Burst)
	bucket.waiting = slices.DeleteFunc(bucket.waiting, model.isLate)
	for len(bucket.waiting) > 0 && bucket.tokens >= float64(bucket.waiting[0].units) {
		request := bucket.waiting[0]
		bucket.waiting = bucket.waiting[1:]
		bucket.tokens -= float64(request.units)
		model.admitted = append(model.admitted, request)
		model.workLeft[request] = request.work
	}
}

// minWorkLeft is the core seconds of remaining work below which a request is completed.
const minWorkLeft = 1e-12

// serveStep simulates the work of one step. Requests with the highest value per work are served first.
func (model *referenceModel) serveStep() {
	model.admitted = slices.DeleteFunc(model.admitted,
		func(request *clientRequest) bool { return model.workLeft[request] <= 0 || model.isLate(request) })
	slices.SortStableFunc(model.admitted,
		func(a, b *clientRequest) int { return cmp.Compare(b.value/b.work, a.value/a.work) })
	available := model.outage.capacity(model.at, model.size) * referenceStep.Seconds()
	for _, request := range model.admitted {
		workDone := math.Min(available, model.workLeft[request])
		available -= workDone
		if model.workLeft[request] -= workDone; model.workLeft[request] <= minWorkLeft {
			model.workLeft[request], model.served[request] = 0, true
		}
		if available <= 0 {
			break
		}
	}
}

// earnedValue returns the value of the requests that began in a time span: of those served in the run (got), and of
// those that the reference model serves (best).
func earnedValue(all []*clientRequest, servedByModel map[*clientRequest]bool, from, to time.Time) (got, best float64) {
	for _, request := range all {
		if request.at.Before(from) || !request.at.Before(to) {
			continue
		}
		if servedByModel[request] {
			best += request.value
		}
		switch {
		case request.servedAt.IsZero():
		case request.servedAt.Sub(request.at) <= request.latencyObjective:
			got += request.value
		default:
			got += request.lateValue
		}
	}
	return got, best
}

// addFigures adds the value of what was served as fractions of what the reference model serves, and the time to full
// use with the shortest possible one.
func (outage *siteOutage) addFigures(
	checker *ruleChecker,
	clientAttempts []testserver.Attempt,
	arrivals []testserver.Arrival,
	byTrace map[string][]testserver.Arrival,
	size siteSize,
) {
	all := groupByRequest(clientAttempts, byTrace)
	servedByModel := outage.runReferenceModel(all, size)
	addFraction := func(name string, from, to time.Time) {
		got, best := earnedValue(all, servedByModel, from, to)
		checker.verdict.Figures[name] = math.Round(got/best*1000) / 1000
	}
	addFraction(figureValueBeforeLoss, outage.baselineStart, outage.lostAt)
	addFraction(figureValueAfterLoss, outage.lostAt, earliest(outage.lostAt.Add(afterLossWindow), outage.returnedAt))
	addFraction(figureValueAfterReturn, outage.returnedAt,
		earliest(outage.returnedAt.Add(afterReturnWindow), outage.endedAt))
	outage.addFullUseFigures(checker, arrivals, size)
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addFullUseFigures adds how long the returned site took to reach fullUseFraction of its work rate before the loss, and
// the shortest time in which its cold servers can reach it.
func (outage *siteOutage) addFullUseFigures(checker *ruleChecker, arrivals []testserver.Arrival, size siteSize) {
	targetRate := fullUseFraction * outage.workRate(arrivals, outage.baselineStart, outage.lostAt)
	fraction := targetRate / size.coreCount() // of the site's cores, to do the target rate
	shortest := math.Max((fraction-coldCapacity)/(1-coldCapacity)*slowStartWindow.Seconds(), 0)
	checker.verdict.Figures[figureFullUseShortestSeconds] = math.Round(shortest*10) / 10
	for at := outage.returnedAt; at.Add(time.Second).Before(outage.endedAt); at = at.Add(100 * time.Millisecond) {
		if outage.workRate(arrivals, at, at.Add(time.Second)) >= targetRate {
			checker.verdict.Figures[figureFullUseSeconds] = math.Round(
				at.Add(time.Second/2).Sub(outage.returnedAt).Seconds()*10) / 10
			break
		}
	}
}

// workRate returns the work that the site did in a time span, in core seconds per second.
func (outage *siteOutage) workRate(arrivals []testserver.Arrival, from, to time.Time) (work float64) {
	for _, a := range arrivals {
		if a.Site == outage.site && a.Status >= 200 && a.Status < 300 && !a.Ended.Before(from) && a.Ended.Before(to) {
			work += operationWork(a.Operation).Seconds()
		}
	}
	return work / to.Sub(from).Seconds()
}

// operationWork returns the core time that an operation takes.
func operationWork(operation string) time.Duration {
	if operation == "bookVisit" {
		return bookWork
	}
	return checkWork
}
