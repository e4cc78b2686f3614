// Package benchmark measures the throughput of a gateway instance and its CPU time per request, compared with
// net/http/httputil's ReverseProxy and direct calls, all in one run on the same test servers. It also measures what
// configuration changes, followers and relays cost. Each part runs in a process of its own, so that its CPU time can be
// measured separately.
package benchmark

import (
	"context"
	"errors"
	"time"
)

const (
	serverCount = 16          // test servers that receive the requests
	warmUp      = time.Second // before each measurement: connections are opened, caches fill
)

// Options are the parameters of a measurement.
type Options struct {
	Program  string        // path of this program, which is started again for each part
	Duration time.Duration // duration of each measurement
	Conns    int           // client connections, each with one request at a time
	Rate     float64       // requests a second over all connections; 0 means no limit
	Procs    []int         // values of GOMAXPROCS of the front, one measurement each
	Rounds   int           // repetitions of each measurement, of which the medians are reported
	Profile  string        // file for a CPU profile of the gateway; empty for none
}

// Result holds the measured figures of one front: a proxy that clients send to, or the servers themselves.
type Result struct {
	Front               string  `json:"front"` // "gateway", "reverseproxy" or "direct"
	Procs               int     `json:"procs"`
	Requests            int     `json:"requests"`
	OtherResponses      int     `json:"other_answers"`
	RequestsPerSecond   float64 `json:"requests_per_s"`
	CPUMicrosPerRequest float64 `json:"cpu_us_per_request"` // of the front process; 0 for direct calls
	AllocsPerRequest    float64 `json:"allocs_per_request"`
	P50Micros           float64 `json:"p50_us"`
	P99Micros           float64 `json:"p99_us"`
}

// MeasureFronts measures the gateway, ReverseProxy and direct calls, and calls report with each result in turn.
func MeasureFronts(ctx context.Context, opt Options, report func(Result)) error {
	servers, err := startPart(ctx, opt.Program, 0, Part{Role: roleServers})
	if err != nil {
		return err
	}
	defer servers.stop()
	for range opt.Rounds {
		r, err := measure(opt, "direct", 0, servers.addrs, nil)
		if err != nil {
			return err
		}
		report(r)
		for _, procs := range opt.Procs {
			for _, front := range []string{roleGateway, roleReverseProxy} {
				part := Part{Role: front, Servers: servers.addrs}
				if front == roleGateway {
					part.Profile = opt.Profile
				}
				p, err := startPart(ctx, opt.Program, procs, part)
				if err != nil {
					return err
				}
				r, err := measure(opt, front, procs, p.addrs, p)
				if err = errors.Join(err, p.stop()); err != nil {
					return err
				}
				report(r)
			}
		}
	}
	return nil
}
