package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"mulleinmux/policy"
)

// ConnectionSettings is the part of the settings that concerns connections, which the host manages and not the policy.
type ConnectionSettings struct {
	ConnIdleTimeout time.Duration // time after which a server closes an idle connection
	ConnectTimeout  time.Duration // time within which a connection must be established
}

// ParseSettings parses the settings object. The simulator and the configuration of a real edge node use the same
// format.
func ParseSettings(text []byte) (policy.Settings, ConnectionSettings, error) {
	var in wireSettings
	if err := json.Unmarshal(text, &in); err != nil {
		return policy.Settings{}, ConnectionSettings{}, err
	}
	settings, err := in.settings()
	connections := ConnectionSettings{
		ConnIdleTimeout: seconds(in.PolicyLimits.ConnIdle),
		ConnectTimeout:  seconds(in.PolicyLimits.ConnectTimeout),
	}
	return settings, connections, err
}

// wireSettings is the JSON form of the settings object, which the wire calls info. Its fields have the names of
// the keys; other keys are ignored.
type wireSettings struct {
	Instances, Me int
	Zone          string
	Tick          float64
	RegistryMode  string
	FamilyInfo    struct {
		InboxPerS, UnitsTop float64
		PostPaid            bool
	}
	Feedback struct{ How string }
	Lanes    []struct {
		Name, Idempotency, KeyScope             string
		Deadline, OnTime, LateWorth, MemorySpan float64
		Worth                                   float64
		Streamed                                bool
	}
	Penalties    struct{ CrossZone, Peer, Probe, Waste float64 }
	PolicyLimits struct {
		Cancel, ParallelTries, Peers, Probes, RetryAfter bool
		MostTries                                        int
		MaxRetryAfter, ConnIdle, ConnectTimeout          float64
	}
	Rules struct {
		AnswerSlack, AskWithin, ColdFrom, DrainGrace, FallMultiple, OverloadFor, RampTime float64
	}
	Tariffs []struct {
		Name                                                     string
		QuotaRate, PeakUnits, NeverOverRate, HardBurst, CapSlack float64
		WorthFactor, ExtraWorth, OverCost                        float64
		MaxOut                                                   int
	}
}

// settings converts the object to the policy's settings. An unknown word is an error.
func (in *wireSettings) settings() (policy.Settings, error) {
	s := in.scalarSettings()
	var isKnown bool
	if s.LoadReports, isKnown = loadReportModes[in.Feedback.How]; !isKnown {
		return s, fmt.Errorf("feedback.how: unknown load report mode %q", in.Feedback.How)
	}
	var err error
	if s.Classes, err = in.classes(); err != nil {
		return s, err
	}
	s.Plans = in.plans()
	return s, nil
}

// scalarSettings returns the settings except classes, plans and load reports.
func (in *wireSettings) scalarSettings() policy.Settings {
	limits, rules, penalties := &in.PolicyLimits, &in.Rules, &in.Penalties
	return policy.Settings{
		InstanceIndex: in.Me,
		InstanceCount: in.Instances,
		Zone:          in.Zone,

		ResponseSlack:        seconds(rules.AnswerSlack),
		DrainGracePeriod:     seconds(rules.DrainGrace),
		SlowStartMinFraction: rules.ColdFrom,
		SlowStartWindow:      seconds(rules.RampTime),
		ColdOverloadMultiple: rules.FallMultiple,
		ColdOverloadWindow:   seconds(rules.OverloadFor),
		PollsEndpoints:       in.RegistryMode == registryModePolled,
		EndpointPollInterval: seconds(rules.AskWithin),

		MaxAttempts:        limits.MostTries,
		AllowsHedging:      limits.ParallelTries,
		AllowsCancel:       limits.Cancel,
		AllowsGossip:       limits.Peers,
		AllowsHealthChecks: limits.Probes,
		SendsRetryAfter:    limits.RetryAfter,
		MaxRetryAfter:      seconds(limits.MaxRetryAfter),
		ConnectTimeout:     seconds(limits.ConnectTimeout),

		GossipInboxRate:  in.FamilyInfo.InboxPerS,
		SettlesUnits:     in.FamilyInfo.PostPaid,
		MaxUnits:         in.FamilyInfo.UnitsTop,
		MinEventInterval: seconds(in.Tick),

		CrossZonePrice:   penalties.CrossZone,
		GossipPrice:      penalties.Peer,
		HealthCheckPrice: penalties.Probe,
		WastedWorkPrice:  penalties.Waste,
	}
}

// classes converts the classes. If one is invalid, it returns the classes before it and an error.
func (in *wireSettings) classes() ([]policy.Class, error) {
	var classes []policy.Class
	for i := range in.Lanes {
		lane := &in.Lanes[i]
		idempotency, ok := idempotencies[lane.Idempotency]
		if !ok {
			return classes, fmt.Errorf("lanes: unknown idempotency %q", lane.Idempotency)
		}
		scope, ok := dedupScopes[lane.KeyScope]
		if !ok && idempotency == policy.IdempotentWithKey {
			return classes, fmt.Errorf("lanes: unknown keyScope %q", lane.KeyScope)
		}
		classes = append(classes, policy.Class{
			Name:             lane.Name,
			Idempotency:      idempotency,
			DedupScope:       scope,
			DedupWindow:      seconds(lane.MemorySpan),
			LatencyObjective: seconds(lane.OnTime),
			Deadline:         seconds(lane.Deadline),
			PriorityWeight:   lane.Worth,
			LateFraction:     lane.LateWorth,
			IsStreaming:      lane.Streamed,
		})
	}
	return classes, nil
}

// plans converts the plans.
func (in *wireSettings) plans() []policy.Plan {
	var plans []policy.Plan
	for i := range in.Tariffs {
		tariff := &in.Tariffs[i]
		plans = append(plans, policy.Plan{
			Name:              tariff.Name,
			Rate:              tariff.QuotaRate,
			Burst:             tariff.PeakUnits,
			MaxInFlight:       tariff.MaxOut,
			HardLimitRate:     tariff.NeverOverRate,
			HardLimitBurst:    tariff.HardBurst,
			HardLimitSlack:    tariff.CapSlack,
			PriorityFactor:    tariff.WorthFactor,
			OverQuotaFraction: tariff.ExtraWorth,
			OverQuotaCost:     tariff.OverCost,
		})
	}
	return plans
}
