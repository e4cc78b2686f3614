package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mulleinmux/policy/overload"
	"mulleinmux/policy/quota"
	"mulleinmux/zonehealth"
)

// The intervals of the overload controller. The engine takes its own measurements in the same samples.
const (
	sampleInterval     = overload.SampleInterval
	assessmentInterval = overload.AssessmentInterval
)

// Engine makes the decisions of one edge node. It is composed of types that each own their state. Its exported methods
// handle the events of the host; the order in which an event evaluates the rules is defined in the methods of Engine
// alone.
type Engine struct {
	settings  Settings
	rng       *rand.Rand
	index     settingsIndex // of the classes and plans in the settings
	startedAt time.Duration

	// The event being handled.
	now     time.Duration
	actions Actions

	// Requests.
	requests   requestTable
	retries    retryBudget
	rejections [rejectReasonCount]uint64 // number of rejected requests, by reason

	// Servers.
	servers      serverTable
	subset       serverSubset
	zones        zoneTable
	failures     failureDetector
	healthChecks healthChecker
	slowStart    slowStart
	selector     serverSelector

	// Load.
	overload      overload.Controller
	occupancy     occupancyReadings
	inFlightBound inFlightBound
	latencies     latencyTable
	load          loadMeter

	// Quotas.
	quotas        quota.Table
	ownerTimeouts quota.OwnerTimeouts

	gossip quota.Gossip

	lastLogAt time.Duration
}

// New returns an engine for the settings, or an error that wraps a [*SettingError]. The seed determines all random
// numbers: two engines with the same settings, the same seed and the same events call the same actions.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	e := &Engine{
		settings:      s,
		rng:           rand.New(rand.NewPCG(seed, 0x5ea)),
		servers:       serverTable{byID: map[string]*server{}},
		subset:        newServerSubset(s.InstanceIndex, s.InstanceCount),
		index:         settingsIndex{classes: map[string]int{}, plans: map[string]int{}},
		latencies:     newLatencyTable(len(s.Classes)),
		ownerTimeouts: quota.NewOwnerTimeouts(s.InstanceCount),
		zones:         zoneTable{},
	}
	e.settings.Classes = append([]Class(nil), s.Classes...)
	e.settings.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		e.index.classes[c.Name] = i
	}
	for i, p := range s.Plans {
		e.index.plans[p.Name] = i
	}
	e.quotas = quota.NewTable(newQuotaFleet(&e.settings), e.settings.Plans)
	e.quotas.MaxSize = e.settings.MaxCustomers
	e.gossip = quota.NewGossip(uint64(e.rng.Uint32()>>16), s.InstanceCount)
	e.requests = newRequestTable(uint64(e.rng.Uint32() >> 12))
	wireComponents(e)
	return e, nil
}

// wireComponents gives each component of a new engine references to the other components' state that it reads.
func wireComponents(e *Engine) {
	e.failures = failureDetector{
		settings: &e.settings, servers: &e.servers, subset: &e.subset,
		zones: zonehealth.New(zonehealth.DefaultSettings),
	}
	e.healthChecks = healthChecker{settings: &e.settings, subset: &e.subset}
	e.slowStart = slowStart{
		settings: &e.settings, rng: e.rng, subset: &e.subset, latencies: &e.latencies, load: &e.load,
	}
	e.selector = serverSelector{
		settings: &e.settings, rng: e.rng, servers: &e.servers, subset: &e.subset, zones: e.zones,
		latencies: &e.latencies, slowStart: &e.slowStart,
	}
	e.occupancy = occupancyReadings{
		settings: &e.settings, subset: &e.subset, latencies: &e.latencies, controller: &e.overload,
	}
	e.inFlightBound = inFlightBound{
		settings: &e.settings, servers: &e.servers, zones: e.zones, latencies: &e.latencies,
		load: &e.load, overload: &e.overload, gossip: &e.gossip,
	}
}

// Start starts the engine. The host calls it once, before any other event.
func (e *Engine) Start(now time.Duration, actions Actions) {
	e.beginEvent(now, actions)
	e.startedAt = now
	e.overload.Start()
	e.quotas.StartedAt = now
	// Random delays prevent nodes that start together from sampling and gossiping at the same moments.
	e.actions.SetTimer(timerToken(timerSample, 0), randomDelay(e.rng, sampleInterval))
	if e.settings.AllowsGossip && e.settings.InstanceCount > 1 {
		e.actions.SetTimer(timerToken(timerGossip, 0), randomDelay(e.rng, e.quotas.Fleet.GossipInterval))
	}
	if e.settings.PollsEndpoints {
		e.actions.WatchEndpoints(true)
	}
}

// beginEvent sets the time and the actions of the event being handled.
func (e *Engine) beginEvent(now time.Duration, actions Actions) {
	e.now = now
	e.actions = actions
}

// randomDelay returns a delay in [0, limit).
func randomDelay(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// log writes an event to the operators' log; nil is ignored. It drops events within a second of the last one, and in
// the first second of the clock: a missing line does not prove that nothing happened.
func (e *Engine) log(event LogEvent) {
	if event != nil && e.now-e.lastLogAt >= time.Second {
		e.lastLogAt = e.now
		e.actions.Log(event)
	}
}
