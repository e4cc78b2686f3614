package scenario

import (
	"fmt"
	"time"

	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// Times that instances, test servers and checks share.
const (
	clientDeadline   = 2 * time.Second        // for a request with all its attempts, and of each class
	idempotencyTTL   = 4 * time.Second        // how long a site remembers an idempotency key
	drainGracePeriod = 250 * time.Millisecond // how long a draining server still accepts requests
	slowStartWindow  = 15 * time.Second       // time until a cold server has all its capacity
	collapseWindow   = 2 * time.Second        // over which the load of a cold server is summed
	responseSlack    = 8 * time.Millisecond   // time before the deadline that instances reserve for their answers
	drainTimeout     = 50 * time.Millisecond  // of an instance's graceful shutdown
)

// Bounds that instances, test servers and clients share.
const (
	maxUnits          = 50 // maximum units of one request
	maxQueueLength    = 60 // waiting requests of a test server
	maxClientAttempts = 3  // for one request
)

// Capacity of cold servers.
const (
	coldCapacity     = 0.17 // fraction of a warm server's capacity, at the start
	collapseMultiple = 2.5  // a cold server that receives more than this multiple of its capacity collapses
)

// classes returns the classes of the booking platform.
func classes() []routing.Class {
	return []routing.Class{
		{Name: "slot-check", PriorityWeight: 3, LatencyObjective: 400 * time.Millisecond, Deadline: clientDeadline},
		{Name: "visit-book", PriorityWeight: 9, LateFraction: 0.2, LatencyObjective: 750 * time.Millisecond,
			Deadline: clientDeadline},
	}
}

// settings returns the settings of one instance, with the plans of the booking platform at rates for a short run.
func settings(instanceIndex int) policy.Settings {
	return policy.Settings{
		InstanceIndex: instanceIndex,
		InstanceCount: instanceCount,
		Zone:          siteNames[instanceIndex%2],
		Plans: []policy.Plan{
			{Name: "msingi", Rate: 6, Burst: 24, PriorityFactor: 0.88, OverQuotaFraction: 0.3},
			{Name: "kati", Rate: 24, Burst: 60, PriorityFactor: 1.1, OverQuotaCost: 0.6},
			{Name: "kubwa", Rate: 90, Burst: 150, HardLimitRate: 180, HardLimitBurst: 300, HardLimitSlack: 30,
				PriorityFactor: 1.6, OverQuotaCost: 1},
		},
		ResponseSlack:        responseSlack,
		DrainGracePeriod:     drainGracePeriod,
		SlowStartMinFraction: coldCapacity,
		SlowStartWindow:      slowStartWindow,
		ColdOverloadMultiple: collapseMultiple,
		ColdOverloadWindow:   collapseWindow,
		MaxAttempts:          5,
		AllowsCancel:         true,
		AllowsGossip:         true,
		AllowsHealthChecks:   true,
		SendsRetryAfter:      true,
		MaxRetryAfter:        2 * time.Second,
		LoadReports:          policy.LoadReportsInHealthChecks,
		GossipInboxRate:      40,
		MaxUnits:             maxUnits,
		MinEventInterval:     2 * time.Millisecond,
		CrossZonePrice:       0.01,
		GossipPrice:          0.03,
		HealthCheckPrice:     0.01,
		WastedWorkPrice:      0.05,
	}
}

// allLicensees returns all licensees of the scenarios, each with its rate in requests a second.
func allLicensees() (ls []testserver.Licensee) {
	for i := range 12 {
		ls = append(ls, testserver.Licensee{Name: fmt.Sprintf("msingi-%d", i), Plan: "msingi", Rate: 2})
	}
	for i := range 6 {
		ls = append(ls, testserver.Licensee{Name: fmt.Sprintf("kati-%d", i), Plan: "kati", Rate: 8})
	}
	for i := range 3 {
		ls = append(ls, testserver.Licensee{Name: fmt.Sprintf("kubwa-%d", i), Plan: "kubwa", Rate: 25})
	}
	// kubwa-greedy sends several times its quota.
	return append(ls, testserver.Licensee{Name: "kubwa-greedy", Plan: "kubwa", Rate: 120})
}
