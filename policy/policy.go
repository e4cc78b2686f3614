package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mulleinmux/subset"
	"mulleinmux/zonehealth"
)

// Engine decides for one edge node.
type Engine struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	actions   Actions
	startedAt time.Duration
	epoch     uint64

	servers           []*server
	findings          []serverFinding // what it found out of late
	subset            []*server       // this gateway's part of them, or all
	usesSubset        bool            // the rule leaves servers out of the part
	meanSubsetHolders float64         // gateways that have a server of it in their part, on average
	subsetWidth       subset.Width
	zoneWatch         *zonehealth.Watch // over the zones, where gateways keep to parts
	serverByID        map[string]*server
	requests          requestTable
	classIndex        map[string]int
	planIndex         map[string]int
	latencies         latencyTable

	quotas         quotaTable
	gossipPending  []*customerQuota // to tell peers of: those with needsGossip
	peers          []peer           // by instance
	gossipInterval time.Duration
	ownerTimeouts  ownerTimeouts

	rejections                 [rejectReasonCount]uint64 // requests, by what they were refused for
	overQuota                  OverQuotaUnits
	overload                   overloadController
	retries                    retryBudget
	gossipReceived, gossipRate float64 // messages taken in since the last probe, and per second
	inFlight                   int     // attempts out
	overdue                    float64 // of these, as of the last probe: past their aim, at servers that are not lost
	responses                  float64 // answers since the last probe
	responseRate               float64 // answers per second, averaged
	zones                      map[string]*zoneState
	warmWork                   float64       // work answered by warm servers since the last probe
	warmRate                   float64       // work answered per second and unit of weight of a warm server, by this gateway
	lastLoadReportAt           time.Duration // last load report of any server
	healthChecks               healthChecker
	maxServerWeight            float64 // the largest of their weights
	weightsDiffer              bool    // their weights differ
	lastLogAt                  time.Duration
}

// New returns a gateway for the settings, or an error that names a field that cannot be.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	e := &Engine{
		settings:      s,
		rng:           rand.New(rand.NewPCG(seed, 0x5ea)),
		serverByID:    map[string]*server{},
		classIndex:    map[string]int{},
		planIndex:     map[string]int{},
		latencies:     newLatencyTable(len(s.Classes)),
		quotas:        newQuotaTable(),
		peers:         make([]peer, s.InstanceCount),
		ownerTimeouts: ownerTimeouts{byOwner: make([]int, s.InstanceCount)},
		zones:         map[string]*zoneState{},
		zoneWatch:     zonehealth.New(zonehealth.Usual),
	}
	e.settings.Classes = append([]Class(nil), s.Classes...)
	e.settings.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		e.classIndex[c.Name] = i
	}
	for i, p := range s.Plans {
		e.planIndex[p.Name] = i
	}
	e.epoch = uint64(e.rng.Uint32() >> 16)
	e.requests = newRequestTable(uint64(e.rng.Uint32() >> 12))
	return e, nil
}

// Start begins the gateway's work. Call it once, before any other event.
func (e *Engine) Start(now time.Duration, out Actions) {
	e.now, e.actions, e.startedAt, e.overload.admitFraction = now, out, now, 1
	e.gossipInterval = sampleInterval
	if in := e.settings.GossipInboxRate; in > 0 {
		gap := time.Duration(gossipIntervalFactor * float64(e.settings.InstanceCount-1) / in * float64(time.Second))
		e.gossipInterval = max(gap, e.settings.MinEventInterval, minGossipInterval)
	}
	// Gateways started together must not beat in step.
	e.actions.SetTimer(timerToken(timerSample, 0), time.Duration(e.rng.Int64N(int64(sampleInterval))))
	if e.settings.AllowsGossip && e.settings.InstanceCount > 1 {
		e.actions.SetTimer(timerToken(timerGossip, 0), time.Duration(e.rng.Int64N(int64(e.gossipInterval))))
	}
	if e.settings.PollsEndpoints {
		e.actions.WatchEndpoints(true)
	}
}

func (e *Engine) log(format string, args ...any) {
	if e.now-e.lastLogAt >= time.Second {
		e.lastLogAt = e.now
		e.actions.Log(fmt.Sprintf(format, args...))
	}
}
