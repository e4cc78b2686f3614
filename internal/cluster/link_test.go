package cluster

import (
	"net/netip"
	"testing"

	"mulleinmux/internal/gateway"
)

// A member that can't reach a site relays requests to a member that can.
func TestRelayBetweenMembers(t *testing.T) {
	t.Parallel()
	relayAddr := netip.MustParseAddrPort(freeAddr(t))
	relays := map[uint64]*gateway.RelayConfig{
		1: {
			OwnSites:    []string{"hall-z"},
			Listen:      netip.MustParseAddrPort(freeAddr(t)),
			PeersBySite: map[string][]gateway.RelayPeer{"hall-a": {{Member: 2, Addr: relayAddr}}},
		},
		2: {OwnSites: []string{"hall-a"}, Listen: relayAddr},
	}
	c := newTestClusterWith(t, 2, func(id uint64, m *testMember) { m.relay = relays[id] })
	outcome := c.propose(c.initialProposal())
	c.awaitInstalled(outcome.Version)
	c.awaitServing(1)
	sent := int64(0)
	c.members[2].member.Instance().EachOperation(func(_ string, counters *gateway.Counters) {
		sent += counters.SentRequests.Load()
	})
	if sent != 0 {
		t.Errorf("member 2 counts %d requests that member 1 received, want 0", sent)
	}
}
