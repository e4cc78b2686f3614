// Package scenario runs scenarios: instances of the gateway on loopback sockets, between sites
// of test servers and licensees' clients. At the end of a run it compares the sites' records
// with the instances' and reports the violations of each rule.
package scenario

import (
	"cmp"
	"context"
	"io"
	"sync"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/schedwait"
	"mulleinmux/internal/testserver"
	"mulleinmux/routing"
)

// Options are the parameters of a run.
type Options struct {
	Scenario string
	Duration time.Duration
	Seed     uint64
	Progress func(line string) // receives a line each second; may be nil
	Log      io.Writer         // receives the instances' logs; nil discards them
	Program  string            // path of the gateway program, for scenarios with processes
	Env      []string          // added to the program's environment

	DisableSlowStart    bool // disables slow start: servers-replaced must then report an overloaded server
	DisableKeyOwnership bool // disables key ownership: hall-closes must then report duplicate bookings

	breakRule func(*environment) // lets a test break a rule during the run
}

// Scenario describes a scenario that [Run] can run.
type Scenario struct {
	Name, Description string
	mix               func() []testserver.RequestTemplate
	faults            testserver.Faults
	price             func(version int, operation string, units int) int
	runInProcess      func(context.Context, *environment) // runs concurrently with the clients, until ctx ends
	runOnCluster      func(context.Context, *clusterRun)  // likewise, with instances that are processes of a cluster
	// Factor of the licensees' rates. 0 means 1, or 2 with small sites.
	loadMultiple float64
	// Sites have three servers with one core each, so that one site alone can't carry the load.
	hasSmallSites bool
	followerCount int // instances that are not members and receive the configuration stream
	// There are two instances at each of two sites. Each instance reaches only its own site directly, and the other
	// site over a relay link.
	hasTwoSites bool
	// Instances are stopped for a while (SIGSTOP). This time is deducted from the latency of their answers, and an
	// idempotent request may have a second attempt in flight if the far instance of the first does not answer.
	stopsInstances bool
	// leaveFraction is the fraction of attempts whose clients leave while they wait.
	leaveFraction float64
}

// environment is the state of a running scenario.
type environment struct {
	options        Options
	scenario       Scenario
	ledger         *testserver.Ledger
	sites          []*testserver.Site
	instances      []*gateway.Instance
	configs        []*gateway.Config
	addrs          []string
	compileOptions routing.Options
	waits          *schedwait.Monitor // nil: waits for a processor are not measured
	// stoppedBetween returns how long an instance was stopped between two times; nil: no instance was stopped.
	stoppedBetween func(instance string, from, to time.Time) time.Duration

	mu                 sync.Mutex
	records            []gateway.RequestRecord
	traces             requestTraces
	changeCount        int
	scenarioViolations []string // reported by the scenario itself
}

// memberCount returns the number of members: two at each of two sites, or three that reach both sites.
func (env *environment) memberCount() int {
	if env.scenario.hasTwoSites {
		return 4
	}
	return instanceCount
}

// licensees returns the clients with their rates. With small sites, they use nine tenths of the capacity of both sites.
func (env *environment) licensees() []testserver.Licensee {
	ls := allLicensees()
	for i := range ls {
		if env.scenario.hasSmallSites || env.scenario.loadMultiple > 0 {
			ls[i].Rate *= cmp.Or(env.scenario.loadMultiple, 2)
		}
	}
	return ls
}

// serverCount returns the number of servers of a site at the start.
func (env *environment) serverCount() int {
	if env.scenario.hasSmallSites {
		return 3
	}
	return serversPerSite
}

// coreCount returns the number of cores of each server.
func (env *environment) coreCount() int {
	if env.scenario.hasSmallSites {
		return 1
	}
	return 2
}

// Sizes and times of a scenario.
const (
	instanceCount   = 3
	serversPerSite  = 5
	readyTimeout    = 10 * time.Second
	defaultDuration = 20 * time.Second
)
