package benchmark

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"os"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// Members of the two sites: the near one, where clients come in, and the far one, which reaches the servers.
const (
	nearMember = 1
	farMember  = 2
)

// startSite starts an instance at one of two sites, of which the near one relays to the far one.
func startSite(ctx context.Context, p *Part) ([]string, error) {
	farAddr, err := netip.ParseAddrPort(p.Link)
	if err != nil {
		return nil, err
	}
	isNear := p.Role == "near"
	member := uint64(farMember)
	if isNear {
		member = nearMember
	}
	credentials, err := raftnode.LoadMemberCredentials(p.Dir, member)
	if err != nil {
		return nil, err
	}
	relay := &gateway.RelayConfig{
		Own:    []string{"hall-a"},
		Listen: farAddr,
		TLS:    credentials.TLSConfig(),
		Verify: func(state tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember(clusterName, state) },
	}
	relay.TLS.SessionTicketsDisabled = true
	if isNear {
		relay.Own, relay.Listen = []string{"hall-b"}, netip.MustParseAddrPort("127.0.0.1:0")
		relay.Remote = map[string][]gateway.RelayPeer{"hall-a": {{Member: farMember, Addr: farAddr}}}
	}
	return startGateway(ctx, p.Servers, relay)
}

// MeasureRelay measures what a request costs that is relayed to another site, in CPU of both instances together, beside
// one that an instance sends to a server itself. report gets the results by turns, "direct" and "crossing".
func MeasureRelay(ctx context.Context, opt Options, report func(Result)) (err error) {
	dir, err := os.MkdirTemp("", "gateway-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	auth, err := raftnode.NewAuthority(clusterName)
	if err != nil {
		return err
	}
	if err := errors.Join(auth.Write(dir), auth.WriteMembers(dir, []uint64{nearMember, farMember})); err != nil {
		return err
	}
	back, err := begin(ctx, opt.Self, 0, Part{Role: "halls"})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, back.end()) }()
	farAddr, err := testserver.FreeAddr("tcp")
	if err != nil {
		return err
	}
	start := func(role string) (*process, error) {
		return begin(ctx, opt.Self, opt.Procs[0], Part{Role: role, Servers: back.addrs, Dir: dir, Link: farAddr})
	}
	direct, err := start("gateway")
	if err != nil {
		return err
	}
	defer direct.end()
	far, err := start("far")
	if err != nil {
		return err
	}
	defer far.end()
	near, err := start("near")
	if err != nil {
		return err
	}
	defer near.end()
	for range opt.Rounds {
		result, err := measure(opt, "direct", opt.Procs[0], direct.addrs, direct)
		if err != nil {
			return err
		}
		report(result)
		if result, err = measureRelayed(opt, near, far); err != nil {
			return err
		}
		report(result)
	}
	return nil
}

// measureRelayed measures requests that near relays to far, with the use of both.
func measureRelayed(opt Options, near, far *process) (Result, error) {
	before, err := far.used()
	if err != nil {
		return Result{}, err
	}
	startedAt := time.Now()
	result, err := measure(opt, "crossing", opt.Procs[0], near.addrs, near)
	if err != nil {
		return result, err
	}
	after, err := far.used()
	if err != nil {
		return result, err
	}
	// The far instance's use is taken from before the warm-up to the end: its part in the measurement is that of time.
	share := opt.For.Seconds() / time.Since(startedAt).Seconds()
	requests := float64(max(result.Requests, 1))
	result.CPU += float64((after.cpu - before.cpu).Microseconds()) * share / requests
	result.Allocs += float64(after.allocs-before.allocs) * share / requests
	return result, nil
}
