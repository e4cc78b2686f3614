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

const (
	licenseeCount       = 100
	serverListedTimeout = 10 * time.Second // until an instance knows its servers
)

// Names of the sites.
const (
	serverSite = "hall-a" // has the servers
	otherSite  = "hall-b" // has none: its instance relays
)

// licenseeName is the name of a licensee, by its number below licenseeCount.
func licenseeName(i int) string { return fmt.Sprint("licensee-", i) }

// listServers starts a service discovery that lists servers of one site.
func listServers(addrs []string) (*testserver.Discovery, error) {
	registry, err := testserver.NewDiscovery()
	if err != nil {
		return nil, err
	}
	for i, addr := range addrs {
		registry.Put(testserver.Entry{
			InstanceID:  fmt.Sprint("s", i),
			HostPort:    addr,
			Zone:        serverSite,
			MachineType: "k",
			Lifecycle:   "up",
			Weight:      1,
		})
	}
	return registry, nil
}

// startGateway starts one instance with the embedded description, quotas and rules, and returns its address. relay
// makes it one of two sites; nil: there is one site.
func startGateway(ctx context.Context, servers []string, relay *gateway.RelayConfig) ([]string, error) {
	registry, err := listServers(servers)
	if err != nil {
		return nil, err
	}
	config := instanceConfig(registry)
	table, _, err := openapi.Compile("booking.yaml", deploy.Booking,
		routing.Options{Classes: config.Classes, MaxUnits: maxUnits})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	config.UseSockets(listener, nil)
	serverCount := len(servers)
	if relay != nil {
		config.Relay = relay
		config.Settings.Zone = relay.Own[0]
		serverCount = 1
	}
	logger := logging.New(os.Stderr)
	ready := make(chan *gateway.Instance, 1)
	ended := make(chan error, 1)
	go func() {
		setup := config.Setup(1, table, nil)
		ended <- gateway.Run(ctx, config, setup, logger, func(instance *gateway.Instance) { ready <- instance })
	}()
	select {
	case err := <-ended:
		return nil, err
	case instance := <-ready:
		if err := instance.AwaitServers(ctx, serverCount, serverListedTimeout); err != nil {
			return nil, err
		}
	}
	return []string{listener.Addr().String()}, nil
}

// instanceConfig returns the configuration of an instance with one site, whose servers a registry lists.
func instanceConfig(registry *testserver.Discovery) *gateway.Config {
	const objective, deadline = 2 * time.Second, 4 * time.Second
	config := &gateway.Config{
		Name:  "gate",
		Sites: []gateway.Site{{Name: serverSite, Discovery: registry.Addr()}},
		Classes: []routing.Class{
			{Name: "slot-check", PriorityWeight: 3, LatencyObjective: objective, Deadline: deadline},
			{Name: "visit-book", PriorityWeight: 9, LatencyObjective: objective, Deadline: deadline},
		},
		Licensees: map[string]gateway.Licensee{},
		Settings:  settings(),
	}
	for i := range licenseeCount {
		name := licenseeName(i)
		config.Licensees[name] = gateway.Licensee{Plan: "kubwa", Customer: gateway.CustomerID(name)}
	}
	return config
}

// maxUnits is how many units one request may have.
const maxUnits = 50

// settings are those of an instance under measurement.
func settings() policy.Settings {
	return policy.Settings{
		InstanceCount:        1,
		Zone:                 serverSite,
		MaxAttempts:          5,
		AllowsCancel:         true,
		SendsRetryAfter:      true,
		MaxRetryAfter:        2 * time.Second,
		MinEventInterval:     2 * time.Millisecond,
		ResponseSlack:        8 * time.Millisecond,
		AllowsHealthChecks:   true,
		LoadReports:          policy.LoadReportsInResponses,
		MaxUnits:             maxUnits,
		SlowStartMinFraction: 0.17,
		SlowStartWindow:      15 * time.Second,
		ColdOverloadMultiple: 2.5,
		ColdOverloadWindow:   2 * time.Second,
		DrainGracePeriod:     250 * time.Millisecond,
		CrossZonePrice:       0.01,
		HealthCheckPrice:     0.01,
		Plans: []policy.Plan{
			{Name: "kubwa", Rate: 1e5, Burst: 1e5, HardLimitRate: 2e5, HardLimitBurst: 2e5, PriorityFactor: 1},
		},
	}
}
