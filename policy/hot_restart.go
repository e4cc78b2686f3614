package policy

// Hot restart: a process exports its state, and the successor that replaces it imports it. The state holds the
// customers' quotas, and the statistics of classes, servers and load. Requests in flight stay with the process that
// received them. Times are readings of the clock, which both processes share.

import (
	"encoding/json"
	"fmt"
	"time"

	"mulleinmux/policy/overload"
	"mulleinmux/policy/quota"
)

// stateFormat is the newest state format that this version reads. It is incremented with each change that a successor
// of an older version would misread.
const stateFormat = 1

// engineState is the exported state of an engine. It identifies classes, plans and machine kinds by name, since their
// indexes may differ in the successor's settings.
type engineState struct {
	Format            int           `json:"Form"` // stateFormat of the writer
	InstanceCount     int           `json:"Instances"`
	InstanceIndex     int           `json:"Me"`
	StartedAt         time.Duration `json:"Started"`
	Plans             []Plan
	Quotas            []quota.State `json:"Stores"`
	Classes           map[string]latencyState
	Kinds             []string
	KindRatios        []float64 `json:"KindMean"` // by index in Kinds
	KindSamples       []float64 `json:"KindN"`
	Servers           []savedServer
	Overload          overload.State `json:"ARO"`
	Peers             []quota.PeerState
	RetryTokens       float64 `json:"Retries"`
	GossipRate        float64 `json:"InboxRate"`
	ResponseRate      float64 `json:"OKRate"`
	WarmRate          float64
	HealthCheckCredit float64 `json:"ProbeDue"`
	HasQuotaReserve   bool    `json:",omitempty"` // the predecessor has kept a reserve of each quota
}

// ExportState returns the state for [Engine.ImportState], as JSON. The engine continues to serve its requests. So that
// the tokens in the state are not spent by both processes, call [quota.Table.HandOver] first. An error comes from the
// JSON encoder.
func (e *Engine) ExportState(now time.Duration) ([]byte, error) {
	e.now = now
	state := engineState{
		Format:            stateFormat,
		InstanceCount:     e.settings.InstanceCount,
		InstanceIndex:     e.settings.InstanceIndex,
		StartedAt:         e.startedAt,
		Plans:             e.settings.Plans,
		Quotas:            e.quotas.Export(now),
		Classes:           map[string]latencyState{},
		Kinds:             e.latencies.kindNames(),
		Overload:          e.overload.State(),
		Peers:             e.gossip.Export(),
		RetryTokens:       e.retries.tokens,
		GossipRate:        e.gossip.InboxRate,
		ResponseRate:      e.load.responseRate,
		WarmRate:          e.load.warmRate,
		HealthCheckCredit: e.healthChecks.credit,
		HasQuotaReserve:   e.quotas.IsHandedOver(),
	}
	for name, i := range e.index.classes {
		state.Classes[name] = e.latencies.classes[i].export()
	}
	for _, kind := range e.latencies.kindRatios {
		state.KindRatios = append(state.KindRatios, kind.mean)
		state.KindSamples = append(state.KindSamples, kind.samples)
	}
	for _, s := range e.servers.list {
		state.Servers = append(state.Servers, s.export())
	}
	return json.Marshal(state)
}

// ImportState restores the state that the predecessor process exported. Call it after [Engine.Start] and the first
// endpoint list, before the first request. If the state is malformed, of a newer format or of another instance,
// ImportState returns an error and changes nothing: the engine continues as after a start without inherited state.
func (e *Engine) ImportState(now time.Duration, text []byte) error {
	var state engineState
	if err := json.Unmarshal(text, &state); err != nil {
		return fmt.Errorf("inherited state: %w", err)
	}
	if err := state.validate(&e.settings); err != nil {
		return err
	}
	e.now, e.startedAt, e.quotas.StartedAt = now, state.StartedAt, state.StartedAt
	if state.HasQuotaReserve {
		e.quotas.Inherit(now)
	}
	for _, saved := range state.Quotas {
		e.quotas.Restore(saved, &state.Plans[saved.Plan], now, e.settings.maxLatencyObjective())
	}
	for name, saved := range state.Classes {
		if i, ok := e.index.classes[name]; ok {
			e.latencies.restoreClass(now, i, saved, state.Kinds)
		}
	}
	e.latencies.restoreKinds(&state)
	for _, saved := range state.Servers {
		if s := e.servers.byID[saved.ID]; s != nil && s.StartedAt == saved.StartedAt {
			s.restore(saved, now)
		}
	}
	e.overload.Restore(state.Overload)
	e.gossip.Restore(state.Peers)
	e.retries.tokens = state.RetryTokens
	e.gossip.InboxRate = state.GossipRate
	e.load.responseRate = state.ResponseRate
	e.load.warmRate = state.WarmRate
	e.healthChecks.credit = state.HealthCheckCredit
	return nil
}

// validate returns an error if an engine with the settings cannot import the state.
func (state *engineState) validate(settings *Settings) error {
	if state.Format > stateFormat {
		return fmt.Errorf("inherited state: unsupported format %d (newest supported: %d)", state.Format, stateFormat)
	}
	if state.InstanceCount != settings.InstanceCount || state.InstanceIndex != settings.InstanceIndex {
		return fmt.Errorf("inherited state: exported by instance %d of %d, but this is instance %d of %d",
			state.InstanceIndex, state.InstanceCount, settings.InstanceIndex, settings.InstanceCount)
	}
	for _, saved := range state.Quotas {
		if !saved.IsValid(len(state.Plans), settings.InstanceCount) {
			return fmt.Errorf("inherited state: invalid quota of a customer: %+v", saved)
		}
	}
	return nil
}
