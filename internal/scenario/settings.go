package scenario

import (
	"fmt"
	"time"

	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// classes are those of the booking platform.
func classes() []routing.Class {
	return []routing.Class{
		{Name: "slot-check", PriorityWeight: 3, LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second},
		{Name: "visit-book", PriorityWeight: 9, LateFraction: 0.2, LatencyObjective: 750 * time.Millisecond,
			Deadline: 2 * time.Second},
	}
}

// settings are those of instance me, with the plans of the booking platform at rates for a short run.
func settings(me int) policy.Settings {
	return policy.Settings{
		InstanceIndex: me,
		InstanceCount: instanceCount,
		Zone:          siteName(me % 2),
		Plans: []policy.Plan{
			{Name: "msingi", Rate: 6, Burst: 24, PriorityFactor: 0.88, OverQuotaFraction: 0.3},
			{Name: "kati", Rate: 24, Burst: 60, PriorityFactor: 1.1, OverQuotaCost: 0.6},
			{Name: "kubwa", Rate: 90, Burst: 150, HardLimitRate: 180, HardLimitBurst: 300, HardLimitSlack: 30,
				PriorityFactor: 1.6, OverQuotaCost: 1},
		},
		ResponseSlack:        8 * time.Millisecond,
		DrainGracePeriod:     250 * time.Millisecond,
		SlowStartMinFraction: 0.17,
		SlowStartWindow:      15 * time.Second,
		ColdOverloadMultiple: 2.5,
		ColdOverloadWindow:   2 * time.Second,
		MaxAttempts:          5,
		AllowsCancel:         true,
		AllowsGossip:         true,
		AllowsHealthChecks:   true,
		SendsRetryAfter:      true,
		MaxRetryAfter:        2 * time.Second,
		LoadReports:          policy.LoadReportsInHealthChecks,
		GossipInboxRate:      40,
		MaxUnits:             50,
		MinEventInterval:     2 * time.Millisecond,
		CrossZonePrice:       0.01,
		GossipPrice:          0.03,
		HealthCheckPrice:     0.01,
		WastedWorkPrice:      0.05,
	}
}

// siteName is the name of site i.
func siteName(i int) string { return [...]string{"hall-a", "hall-b"}[i] }

// allLicensees are all clients of the scenarios, each with its rate in requests a second.
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
	// One asks for several times its quota.
	return append(ls, testserver.Licensee{Name: "kubwa-greedy", Plan: "kubwa", Rate: 120})
}
