package gatewayconfig

import (
	"fmt"
	"slices"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/policy"
)

// Defaults of fields that a file may omit, and settings that no field changes.
const (
	defaultMaxRetryAfter   = 2 * time.Second
	defaultGossipInboxRate = 40
	minEventInterval       = 2 * time.Millisecond
	crossZonePrice         = 0.01
	gossipPrice            = 0.03
	healthCheckPrice       = 0.01
	wastedWorkPrice        = 0.05
)

// instance checks the form of an instance's file and converts it into the instance's configuration.
func (p *parser) instance(form *instanceForm) *File {
	out := &File{Description: form.Description, AccessLog: form.AccessLog, TraceLog: form.TraceLog}
	cfg := &out.Config
	cfg.Name, cfg.Seed = form.Name, form.Seed
	if cfg.Name == "" {
		p.addProblem("name", "is missing: set it to the name of this instance")
	}
	cfg.Listen = p.address("listen", form.Listen)
	switch form.Validate {
	case "", validateCost:
	case validateFull:
		cfg.FullValidation = true
	default:
		p.addProblem("validate", textUnknownValue, form.Validate, validateCost, validateFull)
	}
	peerCount := p.peers(form, cfg)
	p.checkRanges(form)
	setLimits(form, cfg)
	cfg.Settings = settingsOf(form, peerCount)
	if form.Cluster != nil && form.Follow != nil {
		p.addProblem("follow", "conflicts with cluster: an instance is a member or a follower; remove one section")
	}
	switch {
	case form.Cluster != nil:
		p.rejectAgreedFields(form)
		p.member(form, out)
	case form.Follow != nil:
		p.rejectAgreedFields(form)
		p.follower(form, out)
	default:
		p.agreedConfig(form, cfg)
	}
	return out
}

// agreedConfig reads the fields that only an instance without a cluster has in its own file.
func (p *parser) agreedConfig(form *instanceForm, cfg *gateway.Config) {
	p.requireDescription(&form.agreedForm)
	p.sites(&form.agreedForm, cfg)
	isZone := func(site gateway.Site) bool { return site.Name == form.Zone }
	if len(form.Sites) > 0 && !slices.ContainsFunc(cfg.Sites, isZone) {
		p.addProblem("zone", textZoneNoSite, form.Zone)
	}
	p.classes(&form.agreedForm, cfg)
	p.plans(&form.agreedForm, cfg)
	p.licensees(&form.agreedForm, cfg)
}

// peers reads the addresses of the instances that gossip with each other, and returns their number, at least 1.
func (p *parser) peers(form *instanceForm, cfg *gateway.Config) (count int) {
	count = max(len(form.Peers), 1)
	if form.Instance < 0 || form.Instance >= count {
		p.addProblem("instance", "%d is not an index of the %d peers, counted from 0", form.Instance, count)
	}
	for i, peer := range form.Peers {
		cfg.Peers = append(cfg.Peers, p.address(fmt.Sprintf("peers[%d]", i), peer))
	}
	if count > 1 {
		cfg.PeerListen = p.address("peer_listen", form.PeerListen)
	}
	return count
}

func (p *parser) checkRanges(form *instanceForm) {
	limits, servers := &form.Limits, &form.Servers
	for _, f := range []struct {
		name     string
		value    float64
		min, max float64
	}{
		{"limits.clients", float64(limits.Clients), 0, 1 << 20},
		{"limits.servers", float64(limits.Servers), 0, 1 << 20},
		{"limits." + fieldMaxRequestUnits, float64(limits.MaxUnits), 0, maxUnits},
		{"limits.max_attempts", float64(limits.MaxAttempts), 0, 100},
		{"limits.inbox_per_s", limits.InboxPerS, 0, 1e6},
		{"servers.cold_from", servers.ColdFrom, 0, 1},
		{"servers.fall_multiple", servers.FallMultiple, 0, 1000},
	} {
		if !(f.value >= f.min && f.value <= f.max) { // negated, so that NaN is outside
			p.addProblem(f.name, "%v is outside %v to %v", f.value, f.min, f.max)
		}
	}
}

func setLimits(form *instanceForm, cfg *gateway.Config) {
	limits := &form.Limits
	cfg.MaxClientConns, cfg.MaxServerConns = limits.Clients, limits.Servers
	cfg.ConnectTimeout = limits.ConnectTimeout.d
	cfg.ServerIdleTimeout = limits.ConnIdle.d
	cfg.DrainTimeout = limits.DrainFor.d
}

// settingsOf returns the settings of the policy without its plans.
func settingsOf(form *instanceForm, peerCount int) policy.Settings {
	limits, servers := &form.Limits, &form.Servers
	settings := policy.Settings{
		InstanceIndex:        form.Instance,
		InstanceCount:        peerCount,
		Zone:                 form.Zone,
		ResponseSlack:        limits.AnswerSlack.d,
		DrainGracePeriod:     servers.DrainGrace.d,
		SlowStartMinFraction: servers.ColdFrom,
		SlowStartWindow:      servers.RampTime.d,
		ColdOverloadMultiple: servers.FallMultiple,
		ColdOverloadWindow:   servers.OverloadFor.d,
		MaxAttempts:          limits.MaxAttempts,
		AllowsCancel:         true,
		AllowsGossip:         peerCount > 1,
		AllowsHealthChecks:   true,
		SendsRetryAfter:      true,
		MaxRetryAfter:        limits.MaxRetryAfter.d,
		LoadReports:          policy.LoadReportsInHealthChecks,
		GossipInboxRate:      limits.InboxPerS,
		MaxUnits:             float64(limits.MaxUnits),
		MinEventInterval:     minEventInterval,
		CrossZonePrice:       crossZonePrice,
		GossipPrice:          gossipPrice,
		HealthCheckPrice:     healthCheckPrice,
		WastedWorkPrice:      wastedWorkPrice,
	}
	if settings.MaxRetryAfter == 0 {
		settings.MaxRetryAfter = defaultMaxRetryAfter
	}
	if settings.GossipInboxRate == 0 {
		settings.GossipInboxRate = defaultGossipInboxRate
	}
	return settings
}
