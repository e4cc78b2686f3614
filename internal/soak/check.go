package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Tolerances of the rules.
const (
	answerTolerance   = 60 * time.Millisecond // of clocks and schedulers, beyond answerSlack
	inFlightTolerance = 25 * time.Millisecond // until a server sees that a connection has ended
	leaveTolerance    = 100 * time.Millisecond
	minCrowdedIdle    = 90 * time.Millisecond // of a connection that is closed for another in a crowd
	killTolerance     = 20 * time.Millisecond // until a process that was killed has ended
	crossTolerance    = 50 * time.Millisecond // around the end of a drain's first phase
)

// maxExamples is how many violations a verdict shows.
const maxExamples = 8

// Verdict is what came of a run.
type Verdict struct {
	Target    Target         `json:"target"`
	Seed      uint64         `json:"seed"`
	Series    string         `json:"series"`
	OK        bool           `json:"ok"`
	Disturbed bool           `json:"disturbed"`
	Stall     time.Duration  `json:"stall_ns"` // the longest time for which the tool or the program got no processor
	Requests  int            `json:"requests"`
	Served    int            `json:"served"`
	Rejected  int            `json:"rejected"`
	Failed    int            `json:"failed"`
	Left      int            `json:"left"`
	Crossed   int            `json:"crossed"` // sent as a connection closed, and surely not forwarded
	Excused   int            `json:"excused"` // at a process that the plan killed
	Attempts  int            `json:"attempts"`
	Broken    map[string]int `json:"broken,omitempty"` // violations, by rule
	Examples  []string       `json:"examples,omitempty"`
	Plan      string         `json:"plan"`
}

// Names of the rules.
const (
	ruleAnswer   = "answer"   // one final answer, in time
	ruleAttempts = "attempts" // never two attempts in flight, and an unsafe request is not sent again
	ruleLeave    = "leave"    // nothing begins once the client has closed
	ruleProcess  = "process"  // ready in time, ended in time and in order
)

// violation counts a violation, and keeps the first as examples.
func (v *Verdict) violation(rule, format string, arguments ...any) {
	v.Broken[rule]++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, rule+": "+fmt.Sprintf(format, arguments...))
	}
}

// judge checks the rules over what clients, servers and processes have recorded.
func (r *run) judge(stall time.Duration) *Verdict {
	r.records.mu.Lock()
	defer r.records.mu.Unlock()
	stall = max(stall, r.longestKill())
	v := &Verdict{Target: r.plan.Target, Seed: r.plan.Seed, Series: string(r.plan.Series), Stall: stall,
		Disturbed: stall >= stallThreshold, Broken: map[string]int{}, Plan: r.plan.String()}
	attempts := map[string][]*attempt{}
	for _, a := range r.records.attempts {
		attempts[a.id] = append(attempts[a.id], a)
	}
	v.Attempts = len(r.records.attempts)
	v.Requests = len(r.records.requests)
	ends := r.processEnds()
	for _, request := range r.records.requests {
		v.checkAnswer(request, attempts[request.id], ends)
		v.checkAttempts(request, attempts[request.id])
	}
	for _, problem := range r.problems {
		v.violation(ruleProcess, "%s", problem)
	}
	for _, p := range r.processes {
		v.checkProcess(p)
	}
	v.OK = len(v.Broken) == 0
	return v
}

// longestKill is the longest time between a process's SIGKILL for being late and its end, in which the kernel alone held it.
func (r *run) longestKill() (longest time.Duration) {
	for _, p := range r.processes {
		if p.wasKilled {
			longest = max(longest, p.exitedAt.Sub(p.lateAt))
		}
	}
	return longest
}

// processEnds is when no request needs an answer any more.
type processEnds struct {
	killed   []time.Time // processes that served were killed
	served   time.Time   // the last process went on to accept until then
	hasCrowd bool        // new connections, and idle ones, may be closed unread
	gaps     []interval  // in which a restart has nobody accept
	outages  []interval  // in which no process runs that accepts: clients wait in the backlog
}

// interval is a time without a process that accepts.
type interval struct{ from, to time.Time }

// processEnds gathers what processes still owed to whom.
func (r *run) processEnds() (ends processEnds) {
	ends.hasCrowd, ends.outages = r.plan.Crowd > 0, r.outages
	for i, p := range r.processes {
		isLast := i == len(r.processes)-1
		if !p.killedAt.IsZero() && r.hadClients(p) {
			ends.killed = append(ends.killed, p.killedAt)
		}
		if p.toldToEnd.IsZero() {
			continue
		}
		if r.plan.isRestart() && !isLast {
			ends.gaps = append(ends.gaps, interval{p.servesUntil(), r.processes[i+1].readyAt})
		}
		if until := p.servesUntil(); p.hasLogged("draining") && until.After(ends.served) {
			ends.served = until
		}
	}
	return ends
}

// hadClients reports whether a process that was killed had clients: it served, and its predecessor has not taken them
// back.
func (r *run) hadClients(p *process) bool {
	return p.hasLogged("ready") || p.number > 0 && !r.processes[p.number-1].hasLogged("handover failed")
}

// isExcused reports whether a request was open when a process was killed that may have had it.
func (e *processEnds) isExcused(request *request) bool {
	return slices.ContainsFunc(e.killed, func(at time.Time) bool {
		return !request.endedAt.Before(at) && !request.connectedAt.After(at.Add(killTolerance))
	})
}

// mayCross reports whether a request that was not forwarded need not be answered: it was sent as connections closed. One
// that was sent together with the one ahead of it crosses the same close.
func (e *processEnds) mayCross(request *request) bool {
	if ahead := request.ahead; ahead != nil && ahead.end == endClosed && ahead.endedAt.Equal(request.endedAt) {
		return e.mayCross(ahead)
	}
	isUnused := request.isFirst || request.idleFor >= minCrowdedIdle
	if request.end == endTurnedAway || e.hasCrowd && isUnused {
		return true
	}
	if !e.served.IsZero() && request.sentAt.After(e.served.Add(-crossTolerance)) {
		return true
	}
	return slices.ContainsFunc(e.gaps, func(gap interval) bool {
		return request.sentAt.After(gap.from.Add(-crossTolerance)) && request.sentAt.Before(gap.to)
	})
}

// since is when a process could first answer a request: as it was sent, or after an outage.
func (e *processEnds) since(request *request) time.Time {
	for _, outage := range e.outages {
		if request.sentAt.After(outage.from) && request.sentAt.Before(outage.to) {
			return outage.to
		}
	}
	return request.sentAt
}

// answerBy is when a request must have its answer: in its time, or behind the answer to the one ahead of it.
func (e *processEnds) answerBy(request *request) time.Time {
	by := e.since(request).Add(request.timeout + answerSlack)
	if ahead := request.ahead; ahead != nil && ahead.endedAt.After(by) {
		return ahead.endedAt
	}
	return by
}

// checkAnswer checks that a request has its final answer in time.
func (v *Verdict) checkAnswer(request *request, attempts []*attempt, ends processEnds) {
	switch {
	case request.end == endLeft:
		v.Left++
	case request.end == endAnswered:
		v.countStatus(request.status)
		if late := request.endedAt.Sub(ends.answerBy(request)); late > answerTolerance {
			v.violation(ruleAnswer, "%s was answered %v beyond its time", request, late)
		}
		if request.err != nil {
			v.violation(ruleAnswer, "%s: %v", request, request.err)
		}
	case ends.isExcused(request):
		v.Excused++
	case len(attempts) == 0 && request.end != endNone && ends.mayCross(request):
		v.Crossed++
	default:
		v.violation(ruleAnswer, "%s got no answer (%s after %v, %v), %d attempts", request, request.end,
			request.endedAt.Sub(request.sentAt).Round(time.Millisecond), request.err, len(attempts))
	}
}

// countStatus counts an answer by its status.
func (v *Verdict) countStatus(status int) {
	switch status {
	case 200:
		v.Served++
	case 429, 503:
		v.Rejected++
	default:
		v.Failed++
	}
}

// checkAttempts checks the attempts of a request.
func (v *Verdict) checkAttempts(request *request, attempts []*attempt) {
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.began.Compare(b.began) })
	for i, a := range attempts {
		if request.end == endLeft && a.began.After(request.endedAt.Add(leaveTolerance)) {
			v.violation(ruleLeave, "%s: an attempt begins %v after its client has left", request, a.began.Sub(request.endedAt))
		}
		if i == 0 {
			continue
		}
		before := attempts[i-1]
		if before.ended.IsZero() || before.ended.After(a.began.Add(inFlightTolerance)) {
			v.violation(ruleAttempts, "%s: two attempts in flight at %v", request, a.began.Format(timeFormat))
		}
		if request.class == classPay && !before.wasNeverRun {
			v.violation(ruleAttempts, "%s: unsafe, may have run, and sent again", request)
		}
	}
}

// timeFormat is how times are printed.
const timeFormat = "15:04:05.000"

// String tells a request with its times.
func (r *request) String() string {
	return fmt.Sprintf("%s (%s, first %v, connected %s, sent %s, timeout %v)", r.id, r.class, r.isFirst,
		r.connectedAt.Format(timeFormat), r.sentAt.Format(timeFormat), r.timeout.Round(time.Millisecond))
}

// checkProcess checks that a process has ended as it should.
func (v *Verdict) checkProcess(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.wasKilled:
		v.violation(ruleProcess, "process %d was told to end at %s, had not ended %v later, was killed and gone after "+
			"%v more; its threads: %s; its log ends with %.120s", p.number, p.toldToEnd.Format(timeFormat),
			p.lateAt.Sub(p.toldToEnd).Round(time.Millisecond), p.exitedAt.Sub(p.lateAt).Round(time.Millisecond),
			p.lateThreads, p.lastLogLine())
	case p.killedAt.IsZero() && p.exitStatus != 0:
		v.violation(ruleProcess, "process %d ended with %d", p.number, p.exitStatus)
	}
	if lines := p.errorLines(); len(lines) > 0 {
		v.violation(ruleProcess, "process %d logged %s", p.number, strings.Join(lines[:min(len(lines), 3)], " | "))
	}
}
