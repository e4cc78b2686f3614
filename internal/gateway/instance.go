package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/gossip"
	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// Instance is one instance of the gateway. The engine's events come from many
// goroutines; one mutex makes them one sequence. The engine's actions change the request table
// under the mutex; what does I/O runs after it is released.
//
// A request's own goroutine carries out its attempts, one after the other, so that no two
// can be in flight at once: an action of the engine only notes what comes next.
type Instance struct {
	config       *Config
	logger       *slog.Logger
	startedAt    time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx          context.Context
	servers      *serverPool
	peers        *gossip.Socket // nil: there are none
	healthChecks sync.WaitGroup

	version            atomic.Pointer[version] // in force
	discoveryFollowers sync.WaitGroup          // of sites

	// When a quorum last confirmed the version in force, by the monotonic clock since start;
	// 0: not since the start. Only with Config.Agreement.
	confirmedAt      atomic.Int64
	unconfirmedCount atomic.Int64 // requests rejected because of that
	badRequestCount  atomic.Int64 // requests rejected before they were charged

	mu                sync.Mutex
	engine            *policy.Engine
	relay             *relay                   // nil: it reaches all sites itself
	keys              *multisite.KeyTable      // nil: keyed requests are kept to a site for one request only
	health            *multisite.HealthMonitor // nil: site health is not judged
	confirmation      *multisite.QuorumConfirmation
	ramp              *multisite.RecoveryRamp // nil: what cold servers are sent is each instance's own guess
	requests          map[string]*pendingRequest
	deferred          []func() // what the event under way leaves to do without the mutex
	isClosed          bool     // no more events
	lastRequestNumber uint64   // of the last request
	timers            timerQueue
	timer             *time.Timer // at the earliest of timers
	timerAt           time.Duration
	serversBySite     map[string]map[string]bool // server IDs by site
	siteWatches       map[string]*siteWatch
	counters          map[string]*Counters // by operation, over all versions
}

// version is a setup in force and the counters of its operations.
type version struct {
	number    uint64
	table     *routing.Table
	counters  []*Counters // by Operation.Index
	checker   Checker     // nil: only what the cost depends on is checked
	licensees map[string]Licensee
}

// Checker checks all that a description says of a request's parameters and body.
type Checker interface {
	// Check returns what is wrong with a request, or nil.
	Check(op *routing.Operation, head *httpwire.Head, body []byte) error
}

// placeholderClasses is a class that no operation has: the engine wants one before there is a table.
var placeholderClasses = []policy.Class{{Name: "/none"}}

// newInstance makes an instance whose goroutines end with ctx. Without a table it rejects all requests until one is
// installed.
func newInstance(ctx context.Context, config *Config, setup Setup, logger *slog.Logger) (*Instance, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	settings := config.Settings
	settings.Classes, settings.Plans = placeholderClasses, nil
	engine, err := policy.New(settings, config.Seed)
	if err != nil {
		return nil, err
	}
	in := &Instance{
		config: config, logger: logger, startedAt: time.Now(), ctx: ctx, engine: engine,
		requests: map[string]*pendingRequest{}, serversBySite: map[string]map[string]bool{},
		counters: map[string]*Counters{}, siteWatches: map[string]*siteWatch{},
	}
	in.servers = newServerPool(config, serverPoolOptions{subsetServers: in.subsetServers})
	if err := in.addMultisite(); err != nil {
		return nil, err
	}
	in.timer = time.AfterFunc(time.Hour, in.fireTimers)
	in.timerAt = math.MaxInt64
	in.version.Store(&version{table: &routing.Table{}})
	return in, in.Install(setup)
}

// addMultisite makes the parts that decide between sites, as far as the configuration has them.
func (in *Instance) addMultisite() (err error) {
	config := in.config
	if config.Keys != nil {
		if in.keys, err = multisite.NewKeyTable(*config.Keys, in.now()); err != nil {
			return err
		}
	}
	if config.Relay != nil {
		if in.relay, err = newRelay(config.Relay); err != nil {
			return err
		}
		in.servers.secure = in.relay.secure
	}
	if config.Health != nil {
		if in.health, err = multisite.NewHealthMonitor(*config.Health); err != nil {
			return err
		}
	}
	if config.QuorumConfirmation != nil {
		if in.confirmation, err = multisite.NewQuorumConfirmation(*config.QuorumConfirmation); err != nil {
			return err
		}
	}
	if config.RecoveryRamp != nil {
		in.ramp, err = multisite.NewRecoveryRamp(*config.RecoveryRamp)
	}
	return err
}

// Install puts a setup in force at one moment: requests that are matched from then on obey
// it; those matched before keep theirs to their final answer. With an error nothing has
// changed.
func (in *Instance) Install(s Setup) error {
	for i, h := range s.Sites {
		if slices.ContainsFunc(s.Sites[:i], func(o Site) bool { return o.Name == h.Name }) {
			return fmt.Errorf("halls: %q stands twice", h.Name)
		}
	}
	err := errors.New("the instance has ended")
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		old := in.version.Load()
		if s.Table == nil {
			s.Table, s.Check = old.table, old.checker
		}
		classes := s.Table.Classes
		if len(classes) == 0 {
			classes = placeholderClasses
		}
		if err = in.engine.ValidateTables(classes, s.Plans); err != nil {
			return
		}
		if err = in.engine.SetPlans(now, s.Plans); err == nil && s.Table != old.table {
			err = in.engine.SetClasses(classes)
		}
		if err != nil {
			return
		}
		in.version.Store(in.newVersion(s, old))
		if deadline, window := s.Table.KeyLifetimes(); in.keys != nil && deadline > 0 {
			in.keys.SetLifetimes(now, deadline+maxRequestTransit, window)
		}
		in.watchSites(now, s.Sites, out)
	})
	return err
}

// newVersion makes a version of a setup. Called under the mutex.
func (in *Instance) newVersion(s Setup, old *version) *version {
	v := &version{number: s.Number, table: s.Table, checker: s.Check, licensees: s.Licensees}
	if s.Table == old.table {
		v.counters = old.counters
		return v
	}
	for _, op := range s.Table.Operations {
		c := in.counters[op.ID]
		if c == nil {
			c = &Counters{}
			in.counters[op.ID] = c
		}
		v.counters = append(v.counters, c)
	}
	return v
}

// ConfirmVersion tells that a quorum has confirmed at a time that the setup in force is the one
// that is agreed on.
func (in *Instance) ConfirmVersion(at time.Time) {
	since := max(int64(at.Sub(in.startedAt)), 1)
	for {
		was := in.confirmedAt.Load()
		if since <= was || in.confirmedAt.CompareAndSwap(was, since) {
			return
		}
	}
}

// Confirmation tells how long ago the setup in force was confirmed, and whether requests are
// served on it.
func (in *Instance) Confirmation(now time.Time) (age time.Duration, serves bool) {
	a := in.config.Agreement
	if a == nil {
		return 0, true
	}
	c := in.confirmedAt.Load()
	if c == 0 {
		return 0, false
	}
	age = now.Sub(in.startedAt) - time.Duration(c)
	return age, !a.RejectsStale || age <= a.StaleAfter
}

// Version is the number of the setup in force.
func (in *Instance) Version() uint64 { return in.version.Load().number }

// Table is the description in force.
func (in *Instance) Table() *routing.Table { return in.version.Load().table }

// close ends the instance's events, then waits for its health checks, whose context has ended, and
// the followers of its sites' service discovery.
func (in *Instance) close() {
	in.mu.Lock()
	in.isClosed = true
	in.timer.Stop()
	for _, w := range in.siteWatches {
		w.stop()
	}
	in.mu.Unlock()
	in.healthChecks.Wait()
	in.discoveryFollowers.Wait()
}
