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

// startSite starts an instance at one of two sites with a link between them.
func startSite(ctx context.Context, p *Part) ([]string, error) {
	at, err := netip.ParseAddrPort(p.Link)
	if err != nil {
		return nil, err
	}
	member := uint64(farMember)
	if p.Role == "near" {
		member = nearMember
	}
	creds, err := raftnode.LoadMemberCredentials(p.Dir, member)
	if err != nil {
		return nil, err
	}
	link := &gateway.RelayConfig{
		Own:    []string{"hall-a"},
		Listen: at,
		TLS:    creds.TLSConfig(),
		Verify: func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember("bench", s) },
	}
	link.TLS.SessionTicketsDisabled = true
	if p.Role == "near" {
		link.Own, link.Listen = []string{"hall-b"}, netip.MustParseAddrPort("127.0.0.1:0")
		link.Remote = map[string][]gateway.RelayPeer{"hall-a": {{Member: farMember, Addr: at}}}
	}
	return startGateway(ctx, p.Servers, func(cfg *gateway.Config) {
		cfg.Relay = link
		if p.Role == "near" {
			cfg.Settings.Zone = "hall-b"
		}
	})
}

// Crossing measures what a request costs that crosses the link between two sites, in CPU of both instances together, beside
// one that an instance sends to a server itself. tell gets the results by turns, "direct" and "crossing".
func Crossing(ctx context.Context, opt Options, tell func(Result)) (err error) {
	dir, err := os.MkdirTemp("", "gateway-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	auth, err := raftnode.NewAuthority("bench")
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
	at, err := testserver.FreeAddr("tcp")
	if err != nil {
		return err
	}
	var parts []*process
	for _, role := range []string{"gateway", "far", "near"} {
		p, err := begin(ctx, opt.Self, opt.Procs[0], Part{Role: role, Servers: back.addrs, Dir: dir, Link: at})
		if err != nil {
			return err
		}
		defer p.end()
		parts = append(parts, p)
	}
	for range opt.Rounds {
		r, err := measure(opt, "direct", opt.Procs[0], parts[0].addrs, parts[0])
		if err != nil {
			return err
		}
		tell(r)
		cpu, allocs, err := parts[1].used()
		if err != nil {
			return err
		}
		began := time.Now()
		if r, err = measure(opt, "crossing", opt.Procs[0], parts[2].addrs, parts[2]); err != nil {
			return err
		}
		cpu1, allocs1, err := parts[1].used()
		if err != nil {
			return err
		}
		// The far instance's use is taken from before the warm-up to the end: its part in the measurement is that of time.
		share := opt.For.Seconds() / time.Since(began).Seconds()
		n := float64(max(r.Requests, 1))
		r.CPU += float64((cpu1 - cpu).Microseconds()) * share / n
		r.Allocs += float64(allocs1-allocs) * share / n
		tell(r)
	}
	return nil
}
