// Package scenario runs scenarios: real instances of the gateway on loopback sockets, between
// test server sites and licensees' clients. When one ends, it holds what the sites recorded
// against what the instances counted, and tells which rules were kept.
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

// Options are an operator's choices.
type Options struct {
	Scenario string
	For      time.Duration
	Seed     uint64
	Progress func(line string) // nil: none
	Log      io.Writer         // of the instances; nil: dropped
	Program  string            // gateway, for scenarios with processes
	Env      []string          // added to its environment

	RampOff      bool // no slow start: servers-replaced must then show an overloaded server
	KeysAnywhere bool // without key ownership: hall-closes must then show double bookings

	breakRule func(*environment) // a test breaks a rule on purpose
}

// Scenario is one that can be run.
type Scenario struct {
	Name, About string
	mix         func() []testserver.RequestTemplate
	faults      testserver.Faults
	price       func(version int, operation string, units int) int
	during      func(context.Context, *environment) // runs beside the clients, until ctx ends
	cluster     func(context.Context, *clusterRun)  // likewise, with instances as processes that agree
	// Times the licensees' rates otherwise; 0: once, or twice where it is small.
	loadMultiple float64
	// Sites of three servers with one core: one alone can't carry the load.
	isSmall       bool
	followerCount int // instances beside the members that are told the configuration
	// Two instances at each of two sites; each reaches its own site alone, the other over the link.
	hasTwoSites bool
	// Instances are stopped (SIGSTOP) for a while: that time counts for none of their answers, and an idempotent request
	// may have a second attempt where the first one's instance does not answer.
	stopsInstances bool
}

// environment is a scenario under way.
type environment struct {
	options   Options
	scenario  Scenario
	ledger    *testserver.Ledger
	sites     []*testserver.Site
	instances []*gateway.Instance
	configs   []*gateway.Config
	addrs     []string
	compile   routing.Options
	waits     *schedwait.Monitor // nil: none is measured
	// stoppedBetween returns for how long an instance was stopped between two times; nil: none was.
	stoppedBetween func(instance string, from, to time.Time) time.Duration

	mu          sync.Mutex
	records     []gateway.RequestRecord
	traces      requestTraces
	changeCount int
	notes       []string // what a scenario found wrong
}

// memberCount is the number of instances: two at each of two sites, or three that reach both sites.
func (w *environment) memberCount() int {
	if w.scenario.hasTwoSites {
		return 4
	}
	return instanceCount
}

// licensees are the clients with their rates: those of a small scenario take nine tenths of what both sites can do.
func (w *environment) licensees() []testserver.Licensee {
	ls := allLicensees()
	for i := range ls {
		if w.scenario.isSmall || w.scenario.loadMultiple > 0 {
			ls[i].Rate *= cmp.Or(w.scenario.loadMultiple, 2)
		}
	}
	return ls
}

// serverCount is the number of servers of a site at the start.
func (w *environment) serverCount() int {
	if w.scenario.isSmall {
		return 3
	}
	return serversPerSite
}

// coreCount is the number of cores of each server.
func (w *environment) coreCount() int {
	if w.scenario.isSmall {
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
