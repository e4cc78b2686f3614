package scenario

import (
	"context"
	"slices"

	"mulleinmux/internal/testserver"
)

// Fractions of requests with a fault of a test server.
var (
	// mixedFaults are for scenarios with all operations.
	mixedFaults = testserver.Faults{Error: 0.01, ErrorWithoutRun: 0.01, Reset: 0.01, NoAnswer: 0.004, Reject: 0.02}
	// retryFaults make clients repeat many of their requests with an idempotency key.
	retryFaults = testserver.Faults{Error: 0.1, ErrorWithoutRun: 0.02, Reset: 0.1, NoAnswer: 0.03, Reject: 0.02}
	// siteFaults are for scenarios in which whole sites or the network between them also fail.
	siteFaults = testserver.Faults{Error: 0.02, ErrorWithoutRun: 0.01, Reset: 0.02, NoAnswer: 0.01, Reject: 0.02}
)

// runWithoutFaults waits until ctx ends and injects no faults.
func runWithoutFaults(ctx context.Context, _ *clusterRun) { <-ctx.Done() }

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

// scenarios are all scenarios, in the order in which they are listed.
var scenarios = []Scenario{
	{
		Name:  "calm",
		About: "two operations, no faults",
		mix:   calmMix,
		price: sameUnits,
	},
	{
		Name: "mixed",
		About: "all operations of the booking API; servers err, turn away, reset and fall " +
			"silent",
		mix:    mixedMix,
		price:  sameUnits,
		faults: mixedFaults,
	},
	{
		Name:         "contract-change",
		About:        "the same while the description changes ten times, twice to a bad one",
		mix:          mixedMix,
		price:        changingPrice,
		runInProcess: changeContract,
		faults:       mixedFaults,
	},
	{
		Name:         "leader-lost",
		About:        "processes that agree; the leader is killed three times in the middle of changes",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: leaderLost,
	},
	{
		Name: "minority-cut",
		About: "processes that agree; one is cut off and serves on, one is cut off and " +
			"refuses past its bound",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: minorityCut,
	},
	{
		Name:         "rolling-restart",
		About:        "processes that agree; each is restarted in turn",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: rollingRestart,
	},
	{
		Name: "hall-closes",
		About: "processes that agree; halls are closed and opened for keyed requests, " +
			"whose clients repeat them anywhere",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: siteCloses,
		faults:       retryFaults,
	},
	{
		Name:         "instance-killed-holding-keys",
		About:        "the same, and an instance is killed as each hall closes",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: killedHoldingKeys,
		hasTwoSites:  true,
		faults:       retryFaults,
	},
	{
		Name: "hall-lost",
		About: "processes that agree; a hall falls silent while it runs work, and comes " +
			"back as it was or empty; nobody tells the instances",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: siteLost,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name: "hall-returns-empty",
		About: "the same with halls that come back cold: with one server, with all, with " +
			"half of them, twice in a row",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: siteReturnsEmpty,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name:         "flapping",
		About:        "the same with a hall that falls silent and answers again all the time",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: flapping,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name:         "two-sites",
		About:        "processes that agree, two at each of two sites, and no faults",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: runWithoutFaults,
		hasTwoSites:  true,
	},
	{
		Name: "hall-lost-surge",
		About: "a hall that carries half of the load is lost and comes back cold; what is " +
			"served is held against an oracle",
		mix:           repeatingMix,
		price:         sameUnits,
		runOnCluster:  siteLostSurge,
		hasTwoSites:   true,
		hasSmallSites: true,
	},
	{
		Name: "servers-replaced",
		About: "a crowd asks for all that there is, and a hall's warm servers end a moment " +
			"after a cold one has come",
		mix:           repeatingMix,
		price:         sameUnits,
		runOnCluster:  serversReplaced,
		hasTwoSites:   true,
		hasSmallSites: true,
		loadMultiple:  6,
	},
	{
		Name: "link-drops",
		About: "processes that agree, two at each of two sites; the way between the sites " +
			"falls silent and breaks all the time",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: linkDrops,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name: "relay-chaos",
		About: "the same; links are cut, slow, silent one way or reset, instances are drained, killed or " +
			"stopped, sites are lost and come back, by the seed",
		mix:            repeatingMix,
		price:          sameUnits,
		runOnCluster:   relayChaos,
		hasTwoSites:    true,
		stopsInstances: true,
		faults:         siteFaults,
	},
	{
		Name:         "both-cut",
		About:        "the same, and all ways between the sites stay cut: each is alone",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: bothCut,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name:          "followers",
		About:         "three members that agree and two instances that follow, and no faults",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  runWithoutFaults,
		followerCount: 2,
	},
	{
		Name: "stream-breaks",
		About: "three members that agree and two instances that follow; the ways between " +
			"them fall silent all the time",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  streamBreaks,
		followerCount: 2,
	},
	{
		Name:          "follower-restarts",
		About:         "the same; followers are killed and started again",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  killInstances(func(c *clusterRun) []*clusterInstance { return c.followers }),
		followerCount: 2,
	},
	{
		Name:          "member-dies-with-followers",
		About:         "the same; members are killed and started again",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  killInstances(func(c *clusterRun) []*clusterInstance { return c.members }),
		followerCount: 2,
	},
	{
		Name: "chaos-config",
		About: "processes that agree; kills, cuts, lost, late and repeated messages, " +
			"failing disks, by the seed",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: chaosConfig,
	},
}
