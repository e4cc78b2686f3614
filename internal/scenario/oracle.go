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

// The scenario hall-lost-surge loses a site that is needed and has it back cold, and holds what was served against an
// oracle that knows the true state of all servers at once, has no wait between sites, and chooses among all that was
// asked for. No gateway can serve more than it.

// Moments of the scenario, as shares of its length: a site is lost, and returns.
const (
	surgeLost   = 0.2
	surgeBack   = 0.48
	surgeAfter  = 10 * time.Second // looked at after the loss, at most until the return
	surgeReturn = 20 * time.Second // after the return, at most until the end
	oracleStep  = 20 * time.Millisecond
	fullShare   = 0.9 // of what a site did before it was lost: full use
)

// siteSize is the size of one site.
type siteSize struct {
	servers int
	cores   int // of each server
}

// surge is what happened to the site.
type surge struct {
	site                  string
	calm, lost, back, end time.Time
}

// siteLostSurge has a site that carries half of the load fall silent, and come back with cold servers alone.
func siteLostSurge(ctx context.Context, c *clusterRun) {
	began := time.Now()
	until := func(share float64) {
		pause(ctx, time.Until(began.Add(time.Duration(share*float64(c.environment.options.For)))))
	}
	h := c.environment.sites[c.rng.IntN(2)]
	s := &surge{site: h.Name}
	until(surgeLost / 2)
	s.calm = time.Now()
	until(surgeLost)
	s.lost = time.Now()
	h.SetPartitioned(true)
	until(surgeBack)
	ids := []string{"cold-0", "cold-1", "cold-2", "cold-3", "cold-4"}[:c.environment.serverCount()]
	if err := h.ReplaceServers(ids...); err != nil {
		c.notef("%v", err)
	}
	s.back = time.Now()
	h.SetPartitioned(false)
	until(0.99)
	s.end = time.Now()
	c.surge = s
}

// demand is what one client wants, over all its tries.
type demand struct {
	at       time.Time
	licensee string
	units    int
	value    float64 // its worth if served within its aim
	late     float64 // after that
	aim      time.Duration
	work     float64 // seconds
	served   time.Time
}

// demandsOf joins the tries of each client's request to one demand. Units of a request that no site has seen are
// those of its operation's others.
func demandsOf(tries []testserver.Attempt, byTrace map[string][]testserver.Arrival) []*demand {
	classes, plans, prices, units := classes(), map[string]string{}, map[string]float64{}, map[string]int{}
	for _, l := range allLicensees() {
		plans[l.Name] = l.Plan
	}
	for _, p := range settings(0).Plans {
		prices[p.Name] = p.PriorityFactor
	}
	for _, as := range byTrace {
		units[as[0].Operation] = as[0].Units
	}
	byFirst := map[string]*demand{}
	var all []*demand
	for _, t := range tries {
		w := byFirst[t.First]
		if w == nil {
			k := classes[0]
			if t.Operation == "bookVisit" {
				k = classes[1]
			}
			price := prices[plans[t.Licensee]]
			w = &demand{at: t.At, licensee: t.Licensee, units: max(units[t.Operation], 1),
				value: k.PriorityWeight * price, late: k.PriorityWeight * k.LateFraction * price,
				aim: k.LatencyObjective, work: workOf(t.Operation).Seconds()}
			byFirst[t.First] = w
			all = append(all, w)
		}
		if w.at.After(t.At) {
			w.at = t.At
		}
		if t.Served && (w.served.IsZero() || t.Ended.Before(w.served)) {
			w.served = t.Ended
		}
	}
	slices.SortFunc(all, func(a, b *demand) int { return a.at.Compare(b.at) })
	return all
}

// capacity is the seconds of work a second that all sites can do at a moment, as the test servers have it.
func (s *surge) capacity(at time.Time, size siteSize) float64 {
	full := float64(size.servers * size.cores)
	switch {
	case at.Before(s.lost):
		return 2 * full
	case at.Before(s.back):
		return full
	}
	return full + full*s.warmth(at)
}

// warmth is the fraction of its capacity that the returned site has at a moment.
func (s *surge) warmth(at time.Time) float64 {
	set := settings(0)
	least, window := set.SlowStartMinFraction, set.SlowStartWindow
	return math.Min(least+(1-least)*at.Sub(s.back).Seconds()/window.Seconds(), 1)
}

// oracle runs the whole run: which demands can be served within their aim. Each takes units of its licensee's store,
// in the order in which they come, and waits for them within its aim, as a client does that tries again; of those
// that have them, what is worth most for its work is served first.
func (s *surge) oracle(all []*demand, size siteSize) (served map[*demand]bool) {
	type store struct {
		plan  policy.Plan
		level float64
		queue []*demand
	}
	var stores []*store
	byName := map[string]*store{}
	for _, l := range allLicensees() {
		for _, p := range settings(0).Plans {
			if p.Name == l.Plan {
				byName[l.Name] = &store{plan: p, level: p.Burst}
				stores = append(stores, byName[l.Name])
			}
		}
	}
	served = map[*demand]bool{}
	left := map[*demand]float64{}
	var open []*demand
	next := 0
	for at := all[0].at; next < len(all) || len(open) > 0; at = at.Add(oracleStep) {
		over := func(w *demand) bool { return at.Sub(w.at) > w.aim }
		for ; next < len(all) && all[next].at.Before(at.Add(oracleStep)); next++ {
			st := byName[all[next].licensee]
			st.queue = append(st.queue, all[next])
		}
		for _, st := range stores {
			st.level = math.Min(st.level+st.plan.Rate*oracleStep.Seconds(), st.plan.Burst)
			st.queue = slices.DeleteFunc(st.queue, over)
			for len(st.queue) > 0 && st.level >= float64(st.queue[0].units) {
				w := st.queue[0]
				st.queue = st.queue[1:]
				st.level -= float64(w.units)
				open = append(open, w)
				left[w] = w.work
			}
		}
		open = slices.DeleteFunc(open, func(w *demand) bool { return left[w] <= 0 || over(w) })
		slices.SortStableFunc(open, func(a, b *demand) int { return cmp.Compare(b.value/b.work, a.value/a.work) })
		can := s.capacity(at, size) * oracleStep.Seconds()
		for _, w := range open {
			part := math.Min(can, left[w])
			can -= part
			if left[w] -= part; left[w] <= 1e-12 {
				left[w], served[w] = 0, true
			}
			if can <= 0 {
				break
			}
		}
	}
	return served
}

// worth is what was served, and what the oracle serves, of the demands that begin in a span.
func worth(all []*demand, oracle map[*demand]bool, from, to time.Time) (got, best float64) {
	for _, w := range all {
		if w.at.Before(from) || !w.at.Before(to) {
			continue
		}
		if oracle[w] {
			best += w.value
		}
		switch {
		case w.served.IsZero():
		case w.served.Sub(w.at) <= w.aim:
			got += w.value
		default:
			got += w.late
		}
	}
	return got, best
}

// figures holds what was served against the oracle, and the time to full use against the shortest.
func (s *surge) figures(
	j *ruleChecker,
	tries []testserver.Attempt,
	arrivals []testserver.Arrival,
	byTrace map[string][]testserver.Arrival,
	size siteSize,
) {
	all := demandsOf(tries, byTrace)
	oracle := s.oracle(all, size)
	share := func(name string, from, to time.Time) {
		got, best := worth(all, oracle, from, to)
		j.v.Figures[name] = math.Round(got/best*1000) / 1000
	}
	earliest := func(a, b time.Time) time.Time {
		if a.Before(b) {
			return a
		}
		return b
	}
	share("worth_before_of_oracle", s.calm, s.lost)
	share("worth_after_loss_of_oracle", s.lost, earliest(s.lost.Add(surgeAfter), s.back))
	share("worth_after_return_of_oracle", s.back, earliest(s.back.Add(surgeReturn), s.end))

	// Work done at the site, by second.
	done := func(from, to time.Time) (work float64) {
		for _, a := range arrivals {
			if a.Site == s.site && a.Status >= 200 && a.Status < 300 && !a.Ended.Before(from) && a.Ended.Before(to) {
				work += workOf(a.Operation).Seconds()
			}
		}
		return work / to.Sub(from).Seconds()
	}
	wanted := fullShare * done(s.calm, s.lost)
	set := settings(0)
	least, window := set.SlowStartMinFraction, set.SlowStartWindow
	fraction := wanted / float64(size.servers*size.cores) // of the site's cores, to do the wanted work
	shortest := math.Max((fraction-least)/(1-least)*window.Seconds(), 0)
	j.v.Figures["full_use_shortest_s"] = math.Round(shortest*10) / 10
	for at := s.back; at.Add(time.Second).Before(s.end); at = at.Add(100 * time.Millisecond) {
		if done(at, at.Add(time.Second)) >= wanted {
			j.v.Figures["full_use_s"] = math.Round(at.Add(time.Second/2).Sub(s.back).Seconds()*10) / 10
			break
		}
	}
}

// workOf is the server time that an operation takes.
func workOf(operation string) time.Duration {
	if operation == "bookVisit" {
		return bookWork
	}
	return checkWork
}
