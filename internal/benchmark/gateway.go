package benchmark

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// startGateway starts one instance with the embedded description, quotas and rules; change may set what is its own.
func startGateway(ctx context.Context, servers []string, change func(*gateway.Config)) ([]string, error) {
	reg, err := testserver.NewDiscovery()
	if err != nil {
		return nil, err
	}
	for i, s := range servers {
		reg.Put(testserver.Entry{InstanceID: fmt.Sprint("s", i), HostPort: s, Zone: "hall-a", MachineType: "k", Lifecycle: "up", Weight: 1})
	}
	classes := []routing.Class{{Name: "slot-check", PriorityWeight: 3, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second},
		{Name: "visit-book", PriorityWeight: 9, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second}}
	table, _, err := openapi.Compile("booking.yaml", deploy.Booking, routing.Options{Classes: classes, MaxUnits: 50})
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cfg := &gateway.Config{Name: "gate", Sites: []gateway.Site{{Name: "hall-a", Discovery: reg.Addr()}}, Classes: classes,
		Licensees: map[string]gateway.Licensee{}, Settings: settings()}
	for i := range 100 {
		name := fmt.Sprint("licensee-", i)
		cfg.Licensees[name] = gateway.Licensee{Plan: "kubwa", Customer: gateway.CustomerOf(name)}
	}
	cfg.UseSockets(ln, nil)
	want := len(servers)
	if change != nil {
		change(cfg)
		want = 1
	}
	ready := make(chan *gateway.Instance, 1)
	ended := make(chan error, 1)
	go func() {
		setup := cfg.Setup(1, table, nil)
		ended <- gateway.Run(ctx, cfg, setup, logging.New(os.Stderr), func(in *gateway.Instance) { ready <- in })
	}()
	select {
	case err := <-ended:
		return nil, err
	case in := <-ready:
		if err := in.AwaitServers(ctx, want, 10*time.Second); err != nil {
			return nil, err
		}
	}
	return []string{ln.Addr().String()}, nil
}

// settings are those of an instance under measurement.
func settings() policy.Settings {
	return policy.Settings{
		InstanceCount:        1,
		Zone:                 "hall-a",
		MaxAttempts:          5,
		AllowsCancel:         true,
		SendsRetryAfter:      true,
		MaxRetryAfter:        2 * time.Second,
		MinEventInterval:     2 * time.Millisecond,
		ResponseSlack:        8 * time.Millisecond,
		AllowsHealthChecks:   true,
		LoadReports:          policy.LoadReportsInResponses,
		MaxUnits:             50,
		SlowStartMinFraction: 0.17,
		SlowStartWindow:      15 * time.Second,
		ColdOverloadMultiple: 2.5,
		ColdOverloadWindow:   2 * time.Second,
		DrainGracePeriod:     250 * time.Millisecond,
		CrossZonePrice:       0.01,
		HealthCheckPrice:     0.01,
		Plans:                []policy.Plan{{Name: "kubwa", Rate: 1e5, Burst: 1e5, HardLimitRate: 2e5, HardLimitBurst: 2e5, PriorityFactor: 1}},
	}
}
