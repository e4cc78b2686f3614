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
	// hangingFaults make attempts time out, so that further ones begin long after a client has left.
	hangingFaults = testserver.Faults{Error: 0.1, Reset: 0.05, NoAnswer: 0.2, Reject: 0.02}
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
		Name:        "calm",
		Description: "two operations and no faults",
		mix:         calmMix,
		price:       sameUnits,
	},
	{
		Name: "mixed",
		Description: "all operations of the booking API; servers return errors, reject requests, reset " +
			"connections or do not answer",
		mix:    mixedMix,
		price:  sameUnits,
		faults: mixedFaults,
	},
	{
		Name:         "contract-change",
		Description:  "like mixed, while the description changes ten times, two of them invalid",
		mix:          mixedMix,
		price:        changingPrice,
		runInProcess: changeContract,
		faults:       mixedFaults,
	},
	{
		Name:         "leader-lost",
		Description:  "a cluster of processes; the leader is killed three times in the middle of changes",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: leaderLost,
	},
	{
		Name: "minority-cut",
		Description: "a cluster of processes; a member is partitioned and continues to serve, then another " +
			"is partitioned and rejects requests beyond its staleness bound",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: minorityCut,
	},
	{
		Name:         "rolling-restart",
		Description:  "a cluster of processes; each member is restarted in turn",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: rollingRestart,
	},
	{
		Name: "hall-closes",
		Description: "a cluster of processes; sites are closed and reopened for requests with idempotency " +
			"keys, which clients retry at any instance",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: siteCloses,
		faults:       retryFaults,
	},
	{
		Name:         "instance-killed-holding-keys",
		Description:  "like hall-closes, and an instance is killed as each site closes",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: killedHoldingKeys,
		hasTwoSites:  true,
		faults:       retryFaults,
	},
	{
		Name: "hall-lost",
		Description: "a cluster of processes; a site stops answering while it runs requests, and returns with " +
			"its old servers or with cold ones; the instances must detect both",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: siteLost,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name: "hall-returns-empty",
		Description: "like hall-lost, with sites that return with cold servers only: one, all or half of " +
			"them, sometimes the same site twice in a row",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: siteReturnsEmpty,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name:         "flapping",
		Description:  "like hall-lost, with one site that repeatedly stops answering and returns",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: flapping,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name:         "two-sites",
		Description:  "a cluster of processes, two at each of two sites, and no faults",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: runWithoutFaults,
		hasTwoSites:  true,
	},
	{
		Name: "hall-lost-surge",
		Description: "a site that carries half of the load is lost and returns with cold servers; what is " +
			"served is compared with a reference model",
		mix:           repeatingMix,
		price:         sameUnits,
		runOnCluster:  siteLostSurge,
		hasTwoSites:   true,
		hasSmallSites: true,
	},
	{
		Name: "servers-replaced",
		Description: "clients send more than the sites can serve, and the warm servers of a site are killed " +
			"shortly after a cold one has started",
		mix:           repeatingMix,
		price:         sameUnits,
		runOnCluster:  serversReplaced,
		hasTwoSites:   true,
		hasSmallSites: true,
		loadMultiple:  6,
	},
	{
		Name: "link-drops",
		Description: "a cluster of processes, two at each of two sites; links between the sites are " +
			"repeatedly cut and healed",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: linkDrops,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name: "relay-chaos",
		Description: "like link-drops; by the seed, links are cut, slow, reset or lose replies, instances " +
			"are drained, killed or stopped, and sites are lost and return",
		mix:            repeatingMix,
		price:          sameUnits,
		runOnCluster:   relayChaos,
		hasTwoSites:    true,
		stopsInstances: true,
		faults:         siteFaults,
	},
	{
		Name: "relay-clients-leave",
		Description: "like relay-chaos; servers often fail or hang, and a third of the clients close or reset their connections " +
			"while they wait, and come again at once if they have a key",
		mix:            repeatingMix,
		price:          sameUnits,
		runOnCluster:   relayChaos,
		hasTwoSites:    true,
		stopsInstances: true,
		faults:         hangingFaults,
		leaveFraction:  1.0 / 3,
	},
	{
		Name:         "both-cut",
		Description:  "like link-drops, but the sites stay partitioned from each other for a third of the run",
		mix:          repeatingMix,
		price:        sameUnits,
		runOnCluster: bothCut,
		hasTwoSites:  true,
		faults:       siteFaults,
	},
	{
		Name:          "followers",
		Description:   "three members and two followers, and no faults",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  runWithoutFaults,
		followerCount: 2,
	},
	{
		Name: "stream-breaks",
		Description: "three members and two followers; links from followers to members are repeatedly cut " +
			"and healed",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  streamBreaks,
		followerCount: 2,
	},
	{
		Name:          "follower-restarts",
		Description:   "like followers; followers are killed and restarted",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  killInstances(func(c *clusterRun) []*clusterInstance { return c.followers }),
		followerCount: 2,
	},
	{
		Name:          "member-dies-with-followers",
		Description:   "like followers; members are killed and restarted",
		mix:           mixedMix,
		price:         sameUnits,
		runOnCluster:  killInstances(func(c *clusterRun) []*clusterInstance { return c.members }),
		followerCount: 2,
	},
	{
		Name: "chaos-config",
		Description: "a cluster of processes; by the seed, members are killed or partitioned, messages are " +
			"lost, delayed or repeated, and disks fail",
		mix:          mixedMix,
		price:        sameUnits,
		runOnCluster: chaosConfig,
	},
}
