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
	serverListedTimeout = 10 * time.Second // until an instance has the endpoint list of its servers
)

// Names of the sites.
const (
	serverSite = "hall-a" // the servers' site
	otherSite  = "hall-b" // a site without servers, whose instance relays
)

// licenseeName returns the name of the i-th licensee; i is below licenseeCount.
func licenseeName(i int) string { return fmt.Sprint("licensee-", i) }

// startDiscovery starts a service discovery that lists servers of one site.
func startDiscovery(addrs []string) (*testserver.Discovery, error) {
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

// startGateway starts an instance with the embedded description and the settings of instanceConfig, and returns its
// address. relay configures it as an instance of one of two sites; nil means that there is only one site.
func startGateway(ctx context.Context, servers []string, relay *gateway.RelayConfig) ([]string, error) {
	registry, err := startDiscovery(servers)
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
		config.Settings.Zone = relay.OwnSites[0]
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

// instanceConfig returns the configuration of an instance with one site, whose servers are listed by registry.
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

// maxUnits is the highest number of units of a request.
const maxUnits = 50

// settings returns the policy settings of the measured instances.
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
