package policy

import (
	"fmt"
	"time"

	"mulleinmux/policy/quota"
)

// Idempotency states whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // servers of its DedupScope drop a repeat during its DedupWindow
	NonIdempotent                        // must never run twice
)

// DedupScope is the set of servers that share the idempotency keys of a class.
type DedupScope int

// The deduplication scopes.
const (
	DedupAllServers DedupScope = iota // all servers
	DedupZone                         // the servers of one zone
	DedupCell                         // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentWithKey
	DedupWindow      time.Duration // for IdempotentWithKey; key lifetime from the first attempt that may have run
	LatencyObjective time.Duration // up to this latency a response earns the full priority weight
	Deadline         time.Duration // a client's total wait over all its tries
	PriorityWeight   float64       // value of a response within the latency objective, relative to other classes
	LateFraction     float64       // fraction of the weight earned between LatencyObjective and Deadline, 0 to 1
	IsStreaming      bool          // responses arrive as streams: see [Engine.ResponseStarted]
}

// Plan describes the quotas of each customer of a plan, over all nodes together.
type Plan = quota.Plan

// LoadReportMode is how servers report their load.
type LoadReportMode int

// The modes of load reports.
const (
	LoadReportsNone           LoadReportMode = iota // never
	LoadReportsInResponses                          // in responses and health checks
	LoadReportsInHealthChecks                       // in health checks only
)

// Settings are the settings of an [Engine]. They are fixed when it is created, except for the classes and plans, which
// [Engine.SetClasses] and [Engine.SetPlans] replace. The zero value of a field means that the feature is absent, unless
// noted otherwise.
type Settings struct {
	InstanceIndex int    // this node's index, from 0
	InstanceCount int    // number of nodes, at least 1
	Zone          string // this node's zone
	Classes       []Class
	Plans         []Plan

	ResponseSlack        time.Duration // time after the deadline for which a final answer still counts
	DrainGracePeriod     time.Duration // how long a draining server may still be sent requests; unused
	SlowStartMinFraction float64       // fraction of its capacity that a server has at its start, 0 to 1
	SlowStartWindow      time.Duration // time from its start until a server has its full capacity
	ColdOverloadMultiple float64       // multiple of its capacity that overloads a cold server
	ColdOverloadWindow   time.Duration // time for which a cold server must be sent that much to be overloaded

	MaxAttempts        int           // per request; 0: no limit
	AllowsHedging      bool          // two attempts of one request may be in flight at once
	AllowsCancel       bool          // [Actions.CancelAttempt] is allowed
	AllowsGossip       bool          // [Actions.SendGossip] is allowed
	AllowsHealthChecks bool          // [Actions.CheckHealth] is allowed
	SendsRetryAfter    bool          // clients receive the Retry-After of a rejection
	MaxRetryAfter      time.Duration // a longer Retry-After is cut to this

	LoadReports          LoadReportMode
	PollsEndpoints       bool          // the endpoint list must be subscribed to with [Actions.WatchEndpoints]
	EndpointPollInterval time.Duration // with PollsEndpoints: interval at which an unsubscribed node must poll; unused
	GossipInboxRate      float64       // maximum number of gossip messages per second that a node receives; 0: no limit
	SettlesUnits         bool          // [Request.Units] is an estimate until the first OK response
	MaxUnits             float64       // maximum number of units of one request; 0: not known
	MaxCustomers         int           // customers whose quotas are kept at a time; 0: no limit
	MinEventInterval     time.Duration // shortest time between events
	ConnectTimeout       time.Duration // an attempt may reach its server up to this much after it is sent

	// Prices, in points. The engine only checks whether CrossZonePrice is above 0; the others are unused.
	CrossZonePrice   float64 // for attempts to other zones, as a fraction of requests
	GossipPrice      float64 // for full gossip messages per request
	HealthCheckPrice float64 // for health checks per request
	WastedWorkPrice  float64 // for server work whose response is not used
}

// SettingError reports an invalid setting. Field has the name of the setting in earlier versions, which operators know.
type SettingError struct {
	Field   string // one name or several
	Entry   string // name of the invalid class or plan; empty: the setting as a whole
	Problem string
}

func (e *SettingError) Error() string {
	if e.Entry != "" {
		return fmt.Sprintf("%s: %q %s", e.Field, e.Entry, e.Problem)
	}
	return e.Field + " " + e.Problem
}

// validate returns a [*SettingError] for the first invalid field.
func (s *Settings) validate() error {
	switch {
	case s.InstanceCount < 1:
		return &SettingError{Field: "Instances", Problem: "is below 1"}
	case s.InstanceIndex < 0 || s.InstanceIndex >= s.InstanceCount:
		return &SettingError{Field: "Me", Problem: "is not from 0 to Instances-1"}
	case len(s.Classes) == 0:
		return &SettingError{Field: "Classes", Problem: "is empty"}
	case s.SlowStartMinFraction < 0 || s.SlowStartMinFraction > 1 || s.SlowStartWindow < 0 ||
		s.ColdOverloadMultiple < 0 || s.ColdOverloadWindow < 0:
		return &SettingError{Field: "ColdFrom, FallMultiple, RampTime or OverloadFor", Problem: "is out of range"}
	case s.MaxAttempts < 0 || s.GossipInboxRate < 0 || s.MinEventInterval < 0 || s.DrainGracePeriod < 0:
		return &SettingError{Field: "MaxAttempts, InboxPerS, Tick or DrainGrace", Problem: "is negative"}
	}
	if err := validateClasses(s.Classes); err != nil {
		return err
	}
	return validatePlans(s.Plans)
}

// validateClasses returns a [*SettingError] for the first invalid class.
func validateClasses(classes []Class) error {
	names := map[string]bool{}
	for _, c := range classes {
		if names[c.Name] {
			return &SettingError{Field: "Classes", Entry: c.Name, Problem: "is listed twice"}
		}
		names[c.Name] = true
		if c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 || c.PriorityWeight < 0 {
			return &SettingError{Field: "Classes", Entry: c.Name, Problem: "has a negative value"}
		}
	}
	return nil
}

// validatePlans returns a [*SettingError] for the first invalid plan.
func validatePlans(plans []Plan) error {
	names := map[string]bool{}
	for _, p := range plans {
		if names[p.Name] {
			return &SettingError{Field: "Plans", Entry: p.Name, Problem: "is listed twice"}
		}
		names[p.Name] = true
		if p.Rate < 0 || p.Burst < 0 || p.MaxInFlight < 0 ||
			p.HardLimitRate < 0 || p.HardLimitBurst < 0 || p.HardLimitSlack < 0 {
			return &SettingError{Field: "Plans", Entry: p.Name, Problem: "has a negative value"}
		}
	}
	return nil
}

// ColdBudgetMultiple returns the multiple of a cold server's capacity that all nodes together may send it.
func (s *Settings) ColdBudgetMultiple() float64 { return coldBudgetFraction * s.ColdOverloadMultiple }

// usesHealthChecks reports whether health checks are allowed and return a load report.
func (s *Settings) usesHealthChecks() bool {
	return s.AllowsHealthChecks && s.LoadReports != LoadReportsNone
}

// maxLatencyObjective returns the longest latency objective of any class.
func (s *Settings) maxLatencyObjective() (longest time.Duration) {
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].LatencyObjective)
	}
	return longest
}

// classOf returns the class of a request.
func (s *Settings) classOf(r *request) *Class { return &s.Classes[r.class] }
