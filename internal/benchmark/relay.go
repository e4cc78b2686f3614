package benchmark

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"os"
	"slices"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// Member IDs of the two sites' instances. Clients connect to the near one, which relays to the far one at the servers'
// site.
const (
	nearMember = 1
	farMember  = 2
)

// startSite starts the near or the far instance, as the part's role says.
func startSite(ctx context.Context, p *Part) ([]string, error) {
	farAddr, err := netip.ParseAddrPort(p.RelayAddr)
	if err != nil {
		return nil, err
	}
	isNear := p.Role == roleNear
	member := uint64(farMember)
	if isNear {
		member = nearMember
	}
	credentials, err := raftnode.LoadMemberCredentials(p.Dir, member)
	if err != nil {
		return nil, err
	}
	relay := &gateway.RelayConfig{
		OwnSites: []string{serverSite},
		Listen:   farAddr,
		TLS:      credentials.TLSConfig(),
		Verify:   func(state tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember(clusterName, state) },
	}
	relay.TLS.SessionTicketsDisabled = true
	if isNear {
		relay.OwnSites, relay.Listen = []string{otherSite}, netip.MustParseAddrPort("127.0.0.1:0")
		relay.PeersBySite = map[string][]gateway.RelayPeer{serverSite: {{Member: farMember, Addr: farAddr}}}
	}
	return startGateway(ctx, p.Servers, relay)
}

// relaySites holds the processes of a measurement of relayed requests.
type relaySites struct {
	direct, near, far *process // direct serves without a relay, near relays to far
	cleanups          []func() error
}

// stop stops the processes and removes their directory.
func (s *relaySites) stop() (err error) {
	for _, cleanup := range slices.Backward(s.cleanups) {
		err = errors.Join(err, cleanup())
	}
	return err
}

// startRelaySites starts servers, an instance that sends to them directly, and the near and far instances.
func startRelaySites(ctx context.Context, opt Options) (s *relaySites, err error) {
	s = &relaySites{}
	defer func() {
		if err != nil {
			err = errors.Join(err, s.stop())
		}
	}()
	dir, err := os.MkdirTemp("", "gateway-bench-")
	if err != nil {
		return s, err
	}
	s.cleanups = append(s.cleanups, func() error { os.RemoveAll(dir); return nil })
	authority, err := raftnode.NewAuthority(clusterName)
	if err != nil {
		return s, err
	}
	if err := errors.Join(authority.Write(dir), authority.WriteMembers(dir, []uint64{nearMember, farMember})); err != nil {
		return s, err
	}
	servers, err := startPart(ctx, opt.Program, 0, Part{Role: roleServers})
	if err != nil {
		return s, err
	}
	s.cleanups = append(s.cleanups, servers.stop)
	farAddr, err := testserver.FreeAddr("tcp")
	if err != nil {
		return s, err
	}
	part := Part{Servers: servers.addrs, Dir: dir, RelayAddr: farAddr}
	for _, instance := range []struct {
		role    string
		process **process
	}{{roleGateway, &s.direct}, {roleFar, &s.far}, {roleNear, &s.near}} {
		part.Role = instance.role
		p, err := startPart(ctx, opt.Program, opt.Procs[0], part)
		if err != nil {
			return s, err
		}
		*instance.process = p
		s.cleanups = append(s.cleanups, func() error { p.stop(); return nil })
	}
	return s, nil
}

// MeasureRelay measures the CPU time of a request that is relayed to another site, in both instances together, beside
// that of one that an instance sends to a server directly. It calls report with the results, alternately "direct" and
// "crossing".
func MeasureRelay(ctx context.Context, opt Options, report func(Result)) (err error) {
	sites, err := startRelaySites(ctx, opt)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, sites.stop()) }()
	for range opt.Rounds {
		result, err := measure(opt, "direct", opt.Procs[0], sites.direct.addrs, sites.direct)
		if err != nil {
			return err
		}
		report(result)
		if result, err = measureRelayed(opt, sites.near, sites.far); err != nil {
			return err
		}
		report(result)
	}
	return nil
}

// measureRelayed measures requests that near relays to far, with the usage of both.
func measureRelayed(opt Options, near, far *process) (Result, error) {
	before, err := far.queryUsage()
	if err != nil {
		return Result{}, err
	}
	startedAt := time.Now()
	result, err := measure(opt, "crossing", opt.Procs[0], near.addrs, near)
	if err != nil {
		return result, err
	}
	after, err := far.queryUsage()
	if err != nil {
		return result, err
	}
	// The far instance's usage covers the warm-up too, so it is scaled by the measurement's share of the elapsed time.
	share := opt.Duration.Seconds() / time.Since(startedAt).Seconds()
	requests := float64(max(result.Requests, 1))
	result.CPUMicrosPerRequest += float64((after.cpu - before.cpu).Microseconds()) * share / requests
	result.AllocsPerRequest += float64(after.allocs-before.allocs) * share / requests
	return result, nil
}
