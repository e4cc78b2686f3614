package policy

import (
	"fmt"
	"time"
)

// Idempotency says what repeating a request of a class does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // a repeat is dropped inside its scope while remembered
	NonIdempotent                        // must never run twice
)

// DedupScope says which servers share the memory of the idempotency keys of a class.
type DedupScope int

// The scopes of that memory.
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
	DedupWindow      time.Duration // likewise: how long a server remembers, from the first send that may have run
	LatencyObjective time.Duration // responses up to here earn the full priority weight
	Deadline         time.Duration // the client's whole wait over all its tries
	PriorityWeight   float64       // of one request
	LateFraction     float64       // of the weight, earned between LatencyObjective and Deadline
	IsStreaming      bool          // responses arrive as streams: see [Engine.ResponseStarted]
}

// Plan describes the quotas of each customer of one plan, over all nodes together.
type Plan struct {
	Name              string
	Rate              float64 // units per second; 0: no quota on the rate
	Burst             float64 // units that the quota's bucket holds
	MaxInFlight       int     `json:"Open"`         // attempts in flight at once; 0: no such quota
	HardLimitRate     float64 `json:"CeilingRate"`  // units per second; 0: no hard limit
	HardLimitBurst    float64 `json:"CeilingBurst"` // units that the hard limit's bucket holds
	HardLimitSlack    float64 `json:"CeilingSlack"` // units that the bucket may fall below zero
	PriorityFactor    float64 `json:"Price"`        // on the priority weight
	OverQuotaFraction float64 `json:"OverWorth"`    // of the weight, earned beyond the quota
	OverQuotaCost     float64 `json:"OverCost"`     // of the weight, charged for each try sent beyond the quota
}

// LoadReportMode says how servers report their load.
type LoadReportMode int

// The modes of load reports.
const (
	LoadReportsNone           LoadReportMode = iota // never
	LoadReportsInResponses                          // in responses and health checks
	LoadReportsInHealthChecks                       // in health checks only
)

// Settings is all that an engine is told at its start. The zero value of a field means that the feature is
// absent, unless noted otherwise.
type Settings struct {
	InstanceIndex int    // this node's index, from 0
	InstanceCount int    // number of nodes, at least 1
	Zone          string // this node's zone
	Classes       []Class
	Plans         []Plan

	ResponseSlack        time.Duration // a final answer this late past the deadline still counts
	DrainGracePeriod     time.Duration // sends to a draining server must have stopped by then
	SlowStartMinFraction float64       // a started server has at least this fraction of its capacity
	SlowStartWindow      time.Duration // and is warm within this time
	ColdOverloadMultiple float64       // sent more than this multiple of its present capacity
	ColdOverloadWindow   time.Duration // for this long, a cold server fails

	MaxAttempts        int  // per request; 0: no limit
	AllowsHedging      bool // two attempts of one request may be in flight at once
	AllowsCancel       bool // [Actions.CancelAttempt] is allowed
	AllowsGossip       bool // [Actions.SendGossip] is allowed
	AllowsHealthChecks bool // [Actions.CheckHealth] is allowed
	SendsRetryAfter    bool // clients receive the Retry-After of a rejection
	MaxRetryAfter      time.Duration

	LoadReports          LoadReportMode
	PollsEndpoints       bool          // the list must be subscribed to with [Actions.WatchEndpoints]
	EndpointPollInterval time.Duration // with PollsEndpoints: how often an unsubscribed node must poll
	GossipInboxRate      float64       // gossip messages per second that a node takes in
	SettlesUnits         bool          // units are a guess until the first good response
	MaxUnits             float64       // of one request; 0: not told
	MinEventInterval     time.Duration // the shortest time between events
	ConnectTimeout       time.Duration // what is sent may arrive so much later

	CrossZonePrice   float64 // points per attempt to another zone, as a fraction of requests
	GossipPrice      float64 // points per full gossip message a request
	HealthCheckPrice float64 // points per health check a request
	WastedWorkPrice  float64 // points for wasted server work
}

// SettingError reports a setting that cannot be. Its text names fields as operators know them from earlier versions.
type SettingError struct {
	Field   string // or several of them
	Entry   string // the class or plan at fault; empty: the field as a whole
	Problem string
}

func (e *SettingError) Error() string {
	if e.Entry != "" {
		return fmt.Sprintf("%s: %q %s", e.Field, e.Entry, e.Problem)
	}
	return e.Field + " " + e.Problem
}

// validate returns an error that names the first field that can't be.
func (s *Settings) validate() error {
	switch {
	case s.InstanceCount < 1:
		return &SettingError{Field: "Instances", Problem: "is below 1"}
	case s.InstanceIndex < 0 || s.InstanceIndex >= s.InstanceCount:
		return &SettingError{Field: "Me", Problem: "is outside Instances"}
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

// validateClasses returns an error that names the first class that cannot be.
func validateClasses(classes []Class) error {
	names := map[string]bool{}
	for _, c := range classes {
		if names[c.Name] {
			return &SettingError{Field: "Classes", Entry: c.Name, Problem: "stands twice"}
		}
		names[c.Name] = true
		if c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 || c.PriorityWeight < 0 {
			return &SettingError{Field: "Classes", Entry: c.Name, Problem: "has a negative figure"}
		}
	}
	return nil
}

// validatePlans returns an error that names the first plan that cannot be.
func validatePlans(plans []Plan) error {
	names := map[string]bool{}
	for _, p := range plans {
		if names[p.Name] {
			return &SettingError{Field: "Plans", Entry: p.Name, Problem: "stands twice"}
		}
		names[p.Name] = true
		if p.Rate < 0 || p.Burst < 0 || p.MaxInFlight < 0 ||
			p.HardLimitRate < 0 || p.HardLimitBurst < 0 || p.HardLimitSlack < 0 {
			return &SettingError{Field: "Plans", Entry: p.Name, Problem: "has a negative figure"}
		}
	}
	return nil
}

// ColdBudgetMultiple is the multiple of what a cold server can take that all nodes together send it at most.
func (s *Settings) ColdBudgetMultiple() float64 { return coldBudgetFraction * s.ColdOverloadMultiple }
