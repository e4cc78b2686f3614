package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Tolerances within which a measured time does not break a rule, and minEvictableIdle.
const (
	responseTolerance    = 60 * time.Millisecond  // clock and scheduling delay of a response, beyond responseSlack
	inFlightTolerance    = 25 * time.Millisecond  // until a server notices that a connection was closed
	clientCloseTolerance = 100 * time.Millisecond // for attempts that begin after the client has closed
	minEvictableIdle     = 90 * time.Millisecond  // a connection idle for this long may be closed to free its descriptor
	killTolerance        = 20 * time.Millisecond  // until a killed process has exited
	drainTolerance       = 50 * time.Millisecond  // around the time at which a draining process stops accepting
)

// maxExamples is the number of violations that a verdict describes.
const maxExamples = 8

// Verdict is the result of a run: the number of requests by outcome, and the violations of the rules.
type Verdict struct {
	Target            Target         `json:"target"`
	Seed              uint64         `json:"seed"`
	Series            string         `json:"series"`
	OK                bool           `json:"ok"`
	Disturbed         bool           `json:"disturbed"` // LongestStall reached stallThreshold
	LongestStall      time.Duration  `json:"stall_ns"`  // for which the tool or the program waited for a processor
	Requests          int            `json:"requests"`
	Served            int            `json:"served"`
	Rejected          int            `json:"rejected"`
	Failed            int            `json:"failed"`
	ClientClosed      int            `json:"left"`    // requests whose client closed its connection
	ClosedUnforwarded int            `json:"crossed"` // requests sent as the connection was closed
	OpenAtKill        int            `json:"excused"` // requests at a process that the plan killed
	Attempts          int            `json:"attempts"`
	HeedingRequests   int            `json:"heeding"`          // requests of clients that heed Retry-After
	HeedingRejected   int            `json:"heeding_rejected"` // those of them that were rejected
	Violations        map[string]int `json:"broken,omitempty"` // number of violations by rule
	Examples          []string       `json:"examples,omitempty"`
	Plan              string         `json:"plan"`
	Processes         []string       `json:"processes"` // signals and exit of each process, with their times
}

// Names of the rules.
const (
	ruleResponse     = "answer"   // each request gets one final response, in time
	ruleAttempts     = "attempts" // no two attempts of a request in flight, no retry of an unsafe one that may have run
	ruleClientClosed = "leave"    // no attempt begins after the client has closed its connection
	ruleProcess      = "process"  // processes are ready in time, and exit in time with status 0 and no logged errors

	ruleRejections  = "rejections"  // of the requests of clients that heed Retry-After, less than a third is rejected
	ruleDrains      = "drains"      // no attempt begins at a server that was drained or removed a time ago
	ruleQuotas      = "quotas"      // a customer's units stay within its quota, also over an upgrade
	ruleDescriptors = "descriptors" // a process whose clients have left holds no more descriptors than when it was ready
)

// violation counts a violation and adds its description to the examples, up to maxExamples.
func (v *Verdict) violation(rule, format string, arguments ...any) {
	v.Violations[rule]++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, rule+": "+fmt.Sprintf(format, arguments...))
	}
}

// checkRules checks the rules against the records of clients, servers and processes. stall is the longest time that a
// thread waited for a processor.
func (r *run) checkRules(stall time.Duration) *Verdict {
	r.records.mu.Lock()
	defer r.records.mu.Unlock()
	stall = max(stall, r.longestKillDelay())
	v := &Verdict{Target: r.plan.Target, Seed: r.plan.Seed, Series: string(r.plan.Series), LongestStall: stall,
		Disturbed: stall >= stallThreshold, Violations: map[string]int{}, Plan: r.plan.String()}
	attempts := map[string][]*attempt{}
	for _, a := range r.records.attempts {
		attempts[a.id] = append(attempts[a.id], a)
	}
	v.Attempts = len(r.records.attempts)
	v.Requests = len(r.records.requests)
	service := r.serviceTimes()
	for _, request := range r.records.requests {
		v.checkResponse(request, attempts[request.id], service)
		v.checkAttempts(request, attempts[request.id])
	}
	v.checkDrains(r)
	v.checkQuotas(r, attempts)
	v.checkRejections(r)
	for _, problem := range r.processProblems {
		v.violation(ruleProcess, "%s", problem)
	}
	for _, p := range r.processes {
		v.checkProcess(p)
		v.checkDescriptors(p, r.records.attempts, len(r.plan.Servers))
		v.Processes = append(v.Processes, p.String())
	}
	v.OK = len(v.Violations) == 0
	return v
}

// longestKillDelay returns the longest time from the SIGKILL of a process that exceeded the kill delay to its exit.
// Only the kernel can cause that delay.
func (r *run) longestKillDelay() (longest time.Duration) {
	for _, p := range r.processes {
		if p.killedForTimeout {
			longest = max(longest, p.exitedAt.Sub(p.timedOutAt))
		}
	}
	return longest
}

// serviceTimes holds when the processes of a run accepted, which determines the requests that need no response.
type serviceTimes struct {
	killedAt           []time.Time // when the plan killed processes that had clients
	acceptedUntil      time.Time   // when the last process may have stopped accepting; zero if none drained
	hasIdleConnections bool        // connections that are new or idle may be closed without a response
	restarts           []restart   // restarts in which each process was started once the previous one had exited
	outages            []interval  // periods without an accepting process; clients wait in the socket's backlog
}

// restart is the end of a process that a later process replaced, and that closed its clients' connections: at a planned
// restart, or after a failed handover, when it drains in the same way.
type restart struct {
	servesUntil time.Time // when the process may have stopped accepting requests
	exitedAt    time.Time
}

// mayHaveDropped reports whether the process may have closed the request's connection without reading the request: the
// connection was opened before the process exited, and the request was sent after the process may have stopped. A
// client that was idle may send on such a connection long after the restart.
func (e restart) mayHaveDropped(request *request) bool {
	return request.sentAt.After(e.servesUntil.Add(-drainTolerance)) && request.connectedAt.Before(e.exitedAt)
}

// interval is a period in which no process accepts connections.
type interval struct{ from, to time.Time }

// serviceTimes derives the service times from the signals that the processes received and from their logs.
func (r *run) serviceTimes() (service serviceTimes) {
	service.hasIdleConnections, service.outages = r.plan.IdleConnections > 0, r.outages
	for i, p := range r.processes {
		isLast := i == len(r.processes)-1
		if !p.killedByPlanAt.IsZero() && r.hadClients(p) {
			service.killedAt = append(service.killedAt, p.killedByPlanAt)
		}
		if p.sigtermAt.IsZero() {
			continue
		}
		if (r.plan.isRestart() || p.hasLogged(msgHandoverFailed)) && !isLast {
			service.restarts = append(service.restarts, restart{p.servesUntil(), p.exitedAt})
		}
		if until := p.servesUntil(); p.hasLogged("draining") && until.After(service.acceptedUntil) {
			service.acceptedUntil = until
		}
	}
	return service
}

// hadClients reports whether a killed process had clients. It had if it became ready, or if it is a successor whose
// predecessor did not report a failed handover and so did not take the clients back.
func (r *run) hadClients(p *process) bool {
	return p.hasLogged("ready") || p.number > 0 && !r.processes[p.number-1].hasLogged(msgHandoverFailed)
}

// wasOpenAtKill reports whether a request was open when the plan killed a process that may have been handling it.
func (s *serviceTimes) wasOpenAtKill(request *request) bool {
	return slices.ContainsFunc(s.killedAt, func(at time.Time) bool {
		return !request.endedAt.Before(at) && !request.connectedAt.After(at.Add(killTolerance))
	})
}

// mayGoUnanswered reports whether a request that was not forwarded needs no response, because it was sent while the
// program was closing the connection. A request that was pipelined behind another one and ended together with it was
// cut off by the same close.
func (s *serviceTimes) mayGoUnanswered(request *request) bool {
	if ahead := request.ahead; ahead != nil && ahead.end == endClosed && ahead.endedAt.Equal(request.endedAt) {
		return s.mayGoUnanswered(ahead)
	}
	isUnused := request.isFirst || request.idleFor >= minEvictableIdle
	if request.end == endConnectionRejected || s.hasIdleConnections && isUnused {
		return true
	}
	if !s.acceptedUntil.IsZero() && request.sentAt.After(s.acceptedUntil.Add(-drainTolerance)) {
		return true
	}
	return slices.ContainsFunc(s.restarts, func(e restart) bool { return e.mayHaveDropped(request) })
}

// servableFrom returns when a process could first serve a request: when it was sent, or after an outage.
func (s *serviceTimes) servableFrom(request *request) time.Time {
	for _, outage := range s.outages {
		if request.sentAt.After(outage.from) && request.sentAt.Before(outage.to) {
			return outage.to
		}
	}
	return request.sentAt
}

// responseDeadline returns when a request must have got its response: after its own timeout, or after the response of
// the request ahead of it if that is later.
func (s *serviceTimes) responseDeadline(request *request) time.Time {
	deadline := s.servableFrom(request).Add(request.timeout + responseSlack)
	if ahead := request.ahead; ahead != nil && ahead.endedAt.After(deadline) {
		return ahead.endedAt
	}
	return deadline
}

// checkResponse checks that a request got its final response in time.
func (v *Verdict) checkResponse(request *request, attempts []*attempt, service serviceTimes) {
	switch {
	case request.end == endClientClosed:
		v.ClientClosed++
	case request.end == endAnswered:
		v.countResponse(request)
		if late := request.endedAt.Sub(service.responseDeadline(request)); late > responseTolerance {
			v.violation(ruleResponse, "%s got its response %v too late", request, late)
		}
		if request.err != nil {
			v.violation(ruleResponse, "%s: %v", request, request.err)
		}
	case service.wasOpenAtKill(request):
		v.OpenAtKill++
	case len(attempts) == 0 && request.end != endTimedOut && service.mayGoUnanswered(request):
		v.ClosedUnforwarded++
	default:
		v.violation(ruleResponse, "%s got no response (end %q after %v, error %v) after %d attempts", request,
			request.end, request.endedAt.Sub(request.sentAt).Round(time.Millisecond), request.err, len(attempts))
	}
}

// countResponse counts a response by its status.
func (v *Verdict) countResponse(request *request) {
	switch {
	case request.status == http.StatusOK:
		v.Served++
	case request.isRejected():
		v.Rejected++
	default:
		v.Failed++
	}
}

// checkAttempts checks ruleLeave and ruleAttempts for the attempts of a request.
func (v *Verdict) checkAttempts(request *request, attempts []*attempt) {
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.began.Compare(b.began) })
	for i, a := range attempts {
		if request.end == endClientClosed && a.began.After(request.endedAt.Add(clientCloseTolerance)) {
			v.violation(ruleClientClosed, "%s: an attempt began %v after the client closed its connection", request,
				a.began.Sub(request.endedAt))
		}
		if i == 0 {
			continue
		}
		previous := attempts[i-1]
		if previous.ended.IsZero() || previous.ended.After(a.began.Add(inFlightTolerance)) {
			v.violation(ruleAttempts, "%s: a second attempt began at %v with the previous one in flight", request,
				a.began.Format(timeFormat))
		}
		if request.class == classPay && !previous.neverRan {
			v.violation(ruleAttempts, "%s: unsafe request was retried though it may have run", request)
		}
	}
}

// timeFormat is the format of printed times.
const timeFormat = "15:04:05.000"

// String describes a request with its class, connection and times.
func (r *request) String() string {
	return fmt.Sprintf("%s (%s, first %v, connected %s, idle for %v, sent %s, timeout %v)", r.id, r.class, r.isFirst,
		r.connectedAt.Format(timeFormat), r.idleFor.Round(time.Millisecond), r.sentAt.Format(timeFormat),
		r.timeout.Round(time.Millisecond))
}

// checkProcess checks that a process exited in time with status 0, unless the plan killed it, and logged no errors.
func (v *Verdict) checkProcess(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.killedForTimeout:
		v.violation(ruleProcess, "process %d got SIGTERM at %s, still ran %v later, was killed and exited after "+
			"%v more; its threads before: %s; its last log line: %.120s", p.number, p.sigtermAt.Format(timeFormat),
			p.timedOutAt.Sub(p.sigtermAt).Round(time.Millisecond), p.exitedAt.Sub(p.timedOutAt).Round(time.Millisecond),
			p.threadsAtTimeout, p.lastLogLine())
	case p.killedByPlanAt.IsZero() && p.exitStatus != 0:
		v.violation(ruleProcess, "process %d exited with status %d", p.number, p.exitStatus)
	}
	if lines := p.errorLines(); len(lines) > 0 {
		v.violation(ruleProcess, "process %d logged errors: %s", p.number, strings.Join(lines[:min(len(lines), 3)], " | "))
	}
}
