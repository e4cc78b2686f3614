package scenario

import (
	"context"
	"slices"

	"mulleinmux/internal/testserver"
)

// Fractions of requests that test servers spoil.
var (
	// mixedFaults are those of a scenario with all operations.
	mixedFaults = testserver.Faults{Error: 0.01, ErrorWithoutRun: 0.01, Reset: 0.01, NoAnswer: 0.004, Reject: 0.02}
	// retryFaults make clients repeat many of their requests with an idempotency key.
	retryFaults = testserver.Faults{Error: 0.1, ErrorWithoutRun: 0.02, Reset: 0.1, NoAnswer: 0.03, Reject: 0.02}
	// siteFaults go beside faults of whole sites or of the network between them.
	siteFaults = testserver.Faults{Error: 0.02, ErrorWithoutRun: 0.01, Reset: 0.02, NoAnswer: 0.01, Reject: 0.02}
)

// runWithoutFaults lets the clients run until ctx ends.
func runWithoutFaults(ctx context.Context, _ *clusterRun) { <-ctx.Done() }

// Scenarios are all that can be run.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

// scenarios are in the order in which they are listed.
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
		Name:   "contract-change",
		About:  "the same while the description changes ten times, twice to a bad one",
		mix:    mixedMix,
		price:  changingPrice,
		during: changeContract,
		faults: mixedFaults,
	},
	{
		Name:    "leader-lost",
		About:   "processes that agree; the leader is killed three times in the middle of changes",
		mix:     mixedMix,
		price:   sameUnits,
		cluster: leaderLost,
	},
	{
		Name: "minority-cut",
		About: "processes that agree; one is cut off and serves on, one is cut off and " +
			"refuses past its bound",
		mix:     mixedMix,
		price:   sameUnits,
		cluster: minorityCut,
	},
	{
		Name:    "rolling-restart",
		About:   "processes that agree; each is restarted in turn",
		mix:     mixedMix,
		price:   sameUnits,
		cluster: rollingRestart,
	},
	{
		Name: "hall-closes",
		About: "processes that agree; halls are closed and opened for keyed requests, " +
			"whose clients repeat them anywhere",
		mix:     persistentClients,
		price:   sameUnits,
		cluster: siteCloses,
		faults:  retryFaults,
	},
	{
		Name:        "instance-killed-holding-keys",
		About:       "the same, and an instance is killed as each hall closes",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     killedHoldingKeys,
		hasTwoSites: true,
		faults:      retryFaults,
	},
	{
		Name: "hall-lost",
		About: "processes that agree; a hall falls silent while it runs work, and comes " +
			"back as it was or empty; nobody tells the instances",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     siteLost,
		hasTwoSites: true,
		faults:      siteFaults,
	},
	{
		Name: "hall-returns-empty",
		About: "the same with halls that come back cold: with one server, with all, with " +
			"half of them, twice in a row",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     siteReturnsEmpty,
		hasTwoSites: true,
		faults:      siteFaults,
	},
	{
		Name:        "flapping",
		About:       "the same with a hall that falls silent and answers again all the time",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     flapping,
		hasTwoSites: true,
		faults:      siteFaults,
	},
	{
		Name:        "two-sites",
		About:       "processes that agree, two at each of two sites, and no faults",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     runWithoutFaults,
		hasTwoSites: true,
	},
	{
		Name: "hall-lost-surge",
		About: "a hall that carries half of the load is lost and comes back cold; what is " +
			"served is held against an oracle",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     siteLostSurge,
		hasTwoSites: true,
		isSmall:     true,
	},
	{
		Name: "servers-replaced",
		About: "a crowd asks for all that there is, and a hall's warm servers end a moment " +
			"after a cold one has come",
		mix:          persistentClients,
		price:        sameUnits,
		cluster:      serversReplaced,
		hasTwoSites:  true,
		isSmall:      true,
		loadMultiple: 6,
	},
	{
		Name: "link-drops",
		About: "processes that agree, two at each of two sites; the way between the sites " +
			"falls silent and breaks all the time",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     linkDrops,
		hasTwoSites: true,
		faults:      siteFaults,
	},
	{
		Name: "relay-chaos",
		About: "the same; links are cut, slow, silent one way or reset, instances are drained, killed or " +
			"stopped, sites are lost and come back, by the seed",
		mix:            persistentClients,
		price:          sameUnits,
		cluster:        relayChaos,
		hasTwoSites:    true,
		stopsInstances: true,
		faults:         siteFaults,
	},
	{
		Name:        "both-cut",
		About:       "the same, and all ways between the sites stay cut: each is alone",
		mix:         persistentClients,
		price:       sameUnits,
		cluster:     bothCut,
		hasTwoSites: true,
		faults:      siteFaults,
	},
	{
		Name:          "followers",
		About:         "three members that agree and two instances that follow, and no faults",
		mix:           mixedMix,
		price:         sameUnits,
		cluster:       runWithoutFaults,
		followerCount: 2,
	},
	{
		Name: "stream-breaks",
		About: "three members that agree and two instances that follow; the ways between " +
			"them fall silent all the time",
		mix:           mixedMix,
		price:         sameUnits,
		cluster:       streamBreaks,
		followerCount: 2,
	},
	{
		Name:          "follower-restarts",
		About:         "the same; followers are killed and started again",
		mix:           mixedMix,
		price:         sameUnits,
		cluster:       killMembers(func(c *clusterRun) []*member { return c.followers }),
		followerCount: 2,
	},
	{
		Name:          "member-dies-with-followers",
		About:         "the same; members are killed and started again",
		mix:           mixedMix,
		price:         sameUnits,
		cluster:       killMembers(func(c *clusterRun) []*member { return c.members }),
		followerCount: 2,
	},
	{
		Name: "chaos-config",
		About: "processes that agree; kills, cuts, lost, late and repeated messages, " +
			"failing disks, by the seed",
		mix:     mixedMix,
		price:   sameUnits,
		cluster: chaosConfig,
	},
}
