package gatewayconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
)

const (
	minTickInterval  = time.Millisecond
	maxTickInterval  = time.Second
	minRelayInFlight = 2       // relayed requests at once
	maxRelayInFlight = 1 << 16 // relayed requests at once
)

// rejectAgreedFields adds a problem for each field that belongs in the cluster's file because the members agree on it,
// and for a missing zone.
func (p *parser) rejectAgreedFields(form *instanceForm) {
	for _, f := range []struct {
		field string
		isSet bool
	}{
		{"description", form.Description != ""},
		{fieldSite, len(form.Sites) > 0},
		{"class", len(form.Classes) > 0},
		{"plan", len(form.Plans) > 0},
		{"licensee", len(form.Licensees) > 0},
		{"limits." + fieldMaxRequestUnits, form.Limits.MaxUnits != 0},
	} {
		if f.isSet {
			p.addProblem(f.field, "is agreed on by the cluster: move it to the file of gateway config apply")
		}
	}
	if form.Zone == "" {
		p.addProblem("zone", textZoneMissing)
	}
}

// staleness reads after which time without confirmation an instance's configuration is stale, and whether the instance
// then rejects requests.
func (p *parser) staleness(section string, staleAfter duration, whenStale string) *gateway.Agreement {
	staleness := &gateway.Agreement{StaleAfter: staleAfter.d}
	switch whenStale {
	case "", whenStaleServe:
	case whenStaleReject:
		staleness.RejectsStale = true
	default:
		p.addProblem(section+".when_stale", textUnknownValue, whenStale, whenStaleServe, whenStaleReject)
	}
	return staleness
}

// disablesKeyOwnership reports whether requests with an idempotency key may go to any site.
func (p *parser) disablesKeyOwnership(section, keys string) bool {
	if keys != "" && keys != keysToOwner && keys != keysToAny {
		p.addProblem(section+".keys", textUnknownValue, keys, keysToOwner, keysToAny)
	}
	return keys == keysToAny
}

// follower reads the section follow of an instance that receives the configuration that a cluster agrees on.
func (p *parser) follower(form *instanceForm, out *File) {
	f := form.Follow
	cfg := &FollowerConfig{
		Cluster:           f.Cluster,
		Name:              f.Name,
		DataFile:          f.Data,
		CertDir:           f.Certs,
		MemberStreamAddrs: map[uint64]string{},
	}
	out.Follower = cfg
	p.requireValues("follow", namedValue{"cluster", f.Cluster}, namedValue{"name", f.Name},
		namedValue{"data", f.Data}, namedValue{"certs", f.Certs})
	if strings.Contains(f.Cluster+f.Name, "/") {
		p.addProblem("follow.name", "%q or the name of the cluster contains a slash", f.Name)
	}
	for i, m := range f.Members {
		section := fmt.Sprintf("follow.member[%d]", i)
		_, isTaken := cfg.MemberStreamAddrs[m.Number]
		p.checkMemberNumber(section, m.Number, isTaken)
		cfg.MemberStreamAddrs[m.Number] = p.address(section+".stream", m.Stream).String()
	}
	if len(f.Members) == 0 {
		p.addProblem("follow.member", "no member is named: add a [[follow.member]] with number and stream")
	}
	out.Config.Agreement = p.staleness("follow", f.StaleAfter, f.WhenStale)
	cfg.DisableKeyOwnership = p.disablesKeyOwnership("follow", f.Keys)
}

// member reads the section cluster of an instance that is a member of a cluster.
func (p *parser) member(form *instanceForm, out *File) {
	m := form.Cluster
	cfg := &MemberConfig{
		Cluster:      m.Name,
		MemberID:     m.Number,
		DataFile:     m.Data,
		CertDir:      m.Certs,
		TickInterval: m.Tick.d,
	}
	out.Member = cfg
	p.requireValues("cluster", namedValue{"name", m.Name}, namedValue{"data", m.Data}, namedValue{"certs", m.Certs})
	if strings.Contains(m.Name, "/") {
		p.addProblem("cluster.name", "%q contains a slash", m.Name)
	}
	cfg.Members = p.memberAddrs(m.Members)
	if _, isNamed := cfg.Members[m.Number]; !isNamed {
		p.addProblem("cluster.number", "%d is not the number of a [[cluster.member]] in this file", m.Number)
	}
	if m.Tick.d != 0 && (m.Tick.d < minTickInterval || m.Tick.d > maxTickInterval) {
		p.addProblem("cluster.tick", "%v is outside 1ms to 1s", m.Tick.d)
	}
	out.Config.Agreement = p.staleness("cluster", m.StaleAfter, m.WhenStale)
	cfg.DisableKeyOwnership = p.disablesKeyOwnership("cluster", m.Keys)
	if m.Stream != "" {
		cfg.StreamListenAddr = p.address("cluster.stream", m.Stream).String()
	}
	if m.Link != nil {
		out.Config.Relay = p.relay(m.Link, form.Zone, cfg)
	}
}

func (p *parser) memberAddrs(forms []memberAddr) map[uint64]clusterconfig.Member {
	members := map[uint64]clusterconfig.Member{}
	for i, m := range forms {
		section := fmt.Sprintf("cluster.member[%d]", i)
		_, isTaken := members[m.Number]
		p.checkMemberNumber(section, m.Number, isTaken)
		members[m.Number] = clusterconfig.Member{
			RaftAddress:  p.address(section+".raft", m.Raft).String(),
			AdminAddress: p.address(section+".admin", m.Admin).String(),
		}
	}
	return members
}

// checkMemberNumber adds a problem for a member's number that is 0, or that an earlier member has (isTaken).
func (p *parser) checkMemberNumber(section string, number uint64, isTaken bool) {
	if number == 0 || isTaken {
		p.addProblem(section+".number", "%d is 0 or used twice", number)
	}
}

// relay reads the section cluster.link: where the instance accepts relayed requests, and through which members it
// reaches the sites that it does not reach itself.
func (p *parser) relay(form *linkForm, zone string, member *MemberConfig) *gateway.RelayConfig {
	relay := &gateway.RelayConfig{
		OwnSites:    []string{zone},
		Listen:      p.address(fieldRelay+".listen", form.Listen),
		MaxInFlight: form.Most,
		PeersBySite: map[string][]gateway.RelayPeer{},
	}
	if form.Most != 0 && (form.Most < minRelayInFlight || form.Most > maxRelayInFlight) {
		p.addProblem(fieldRelay+"."+fieldRelayMaxInFlight, "%d is outside %d to %d",
			form.Most, minRelayInFlight, maxRelayInFlight)
	}
	if len(form.Far) == 0 {
		p.addProblem(fieldRelay+"."+fieldRelayPeers, "is missing: add a [[cluster.link.far]] for an instance of another site")
	}
	for i, f := range form.Far {
		section := fmt.Sprintf("%s.%s[%d]", fieldRelay, fieldRelayPeers, i)
		if f.Site == "" || f.Site == zone {
			p.addProblem(section+"."+fieldSite, textNotRemoteSite, f.Site)
		}
		if _, isMember := member.Members[f.Member]; !isMember || f.Member == member.MemberID {
			p.addProblem(section+".member", "%d is not the number of another [[cluster.member]] in this file", f.Member)
		}
		isSame := func(peer gateway.RelayPeer) bool { return peer.Member == f.Member }
		if slices.ContainsFunc(relay.PeersBySite[f.Site], isSame) {
			p.addProblem(section+".member", "%d is used twice for site %s", f.Member, f.Site)
		}
		peer := gateway.RelayPeer{Member: f.Member, Addr: p.address(section+".address", f.Address)}
		relay.PeersBySite[f.Site] = append(relay.PeersBySite[f.Site], peer)
	}
	return relay
}
