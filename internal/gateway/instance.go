package gateway

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net/netip"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gossip"
	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/multisite"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// Instance is one instance of the gateway. The module's events come from many
// goroutines; one mutex makes them one sequence. The module's actions change the books
// under the mutex; what does I/O runs after it is released.
//
// A request's own goroutine carries out its attempts, one after the other, so that no two
// can be out at once: an action of the module only leaves word of what is to come next.
type Instance struct {
	cfg     *Config
	log     *log.Logger
	start   time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx     context.Context
	servers *servers
	peers   *gossip.Socket // nil: there are none
	work    sync.WaitGroup

	version atomic.Pointer[version] // in force
	follow  sync.WaitGroup          // followers of registers

	// When a quorum last confirmed the version in force, by the monotonic clock since start;
	// 0: not since the start. Only with Config.Agreed.
	confirmed atomic.Int64
	refused   atomic.Int64 // requests refused because of that
	bad       atomic.Int64 // requests turned down before they were charged

	mu       sync.Mutex
	gw       *policy.Engine
	link     *link                    // nil: it reaches all halls itself
	keys     *multisite.KeyTable      // nil: keyed requests are kept to a hall for one request only
	health   *multisite.HealthMonitor // nil: halls are not judged
	consent  *multisite.QuorumConfirmation
	ramp     *multisite.RecoveryRamp // nil: what cold servers are sent is each instance's own guess
	flights  map[string]*flight
	after    []func() // what the event under way leaves to do without the mutex
	closed   bool     // no more events
	number   uint64   // of the last flight
	timers   timers
	alarm    *time.Timer // at the earliest of timers
	alarmAt  time.Duration
	known    map[string]map[string]bool // servers by hall
	halls    map[string]*watch
	counters map[string]*Counters // by operation, over all versions
}

// version is a setup in force and the counters of its operations.
type version struct {
	number    uint64
	table     *routing.Table
	ops       []*Counters // by Operation.Index
	check     Checker     // nil: only what the cost depends on is checked
	licensees map[string]Licensee
}

// watch is a follower of a hall's register.
type watch struct {
	register netip.AddrPort
	stop     context.CancelFunc
}

// Counters count the requests of one operation.
type Counters struct {
	Served, Refused, Failed atomic.Int64 // final answers
	Units                   atomic.Int64 // of requests of which an attempt was written whole
	Sent                    atomic.Int64 // these requests
	Attempts                atomic.Int64 // written whole
}

// Checker checks all that a description says of a request's parameters and body.
type Checker interface {
	// Check returns what is wrong with a request, or nil.
	Check(op *routing.Operation, head *httpwire.Head, body []byte) error
}

// RequestRecord is what became of one request that was charged or refused.
type RequestRecord struct {
	Trace        string `json:"trace"` // X-Trace-Id
	Operation    string `json:"operation"`
	Licensee     string `json:"licensee"`
	Version      uint64 `json:"version"` // of the setup that it was matched with
	Units        int    `json:"units"`
	Sent         bool   `json:"sent"` // an attempt was written whole: the units count
	Attempts     int    `json:"attempts"`
	Status       int    `json:"status"`        // of the final answer
	Answer       string `json:"answer"`        // "served", "refused" or "failed"
	KeyRejection string `json:"why,omitempty"` // a request with a key was refused for the sake of its key
}

// flight is a request of a client until it has its final answer.
type flight struct {
	id       string // the module's
	trace    string // X-Trace-Id
	head     httpwire.Head
	body     []byte
	version  *version      // in force when it was matched: it keeps it
	age      time.Duration // of the version's last confirmation, then
	op       *routing.Operation
	counters *Counters
	licensee string
	units    int
	deadline time.Time
	sent     bool   // an attempt was written whole
	key      uint64 // of a keyed request that sites decides on
	homed    bool   // it is one
	mayRun   bool   // an attempt may have run

	linked     bool   // it came over the link
	crossingID string // then
	over       bool   // the attempt under way crosses the link

	// Under the instance's mutex:
	done     bool // answer is final
	answer   answerKind
	wait     time.Duration // of a refusal
	why      string        // of one for the sake of its key
	next     attempt       // asked for and not begun
	pending  bool          // next is set
	call     *call         // the attempt under way
	attempts int
	waiting  bool // its goroutine waits for wake
	wake     chan struct{}
	rep      reply // of the latest attempt
}

type attempt struct {
	server string
	until  time.Time
}

type answerKind int

const (
	served answerKind = iota
	refused
	failed
)

func (k answerKind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// unused is a class that no operation has: the module wants one before there is a table.
var unused = []policy.Class{{Name: "/none"}}

// newInstance makes an instance whose goroutines end with ctx. Without a table it refuses
// all requests until one is installed.
func newInstance(ctx context.Context, cfg *Config, setup Setup, logger *log.Logger) (*Instance, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	set := cfg.Settings
	set.Classes, set.Plans = unused, nil
	gw, err := policy.New(set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	in := &Instance{cfg: cfg, log: logger, start: time.Now(), ctx: ctx, servers: newServers(cfg), gw: gw,
		flights: map[string]*flight{}, known: map[string]map[string]bool{}, counters: map[string]*Counters{}, halls: map[string]*watch{}}
	if cfg.Keys != nil {
		if in.keys, err = multisite.NewKeyTable(*cfg.Keys, in.now()); err != nil {
			return nil, err
		}
	}
	if cfg.Relay != nil {
		if in.link, err = newLink(cfg.Relay); err != nil {
			return nil, err
		}
		in.servers.secure = in.link.secure
	}
	if cfg.Health != nil {
		if in.health, err = multisite.NewHealthMonitor(*cfg.Health); err != nil {
			return nil, err
		}
	}
	if cfg.QuorumConfirmation != nil {
		if in.consent, err = multisite.NewQuorumConfirmation(*cfg.QuorumConfirmation); err != nil {
			return nil, err
		}
	}
	if cfg.RecoveryRamp != nil {
		if in.ramp, err = multisite.NewRecoveryRamp(*cfg.RecoveryRamp); err != nil {
			return nil, err
		}
	}
	in.alarm = time.AfterFunc(time.Hour, in.ring)
	in.alarmAt = math.MaxInt64
	in.version.Store(&version{table: &routing.Table{}})
	return in, in.Install(setup)
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
	in.event(func(now time.Duration, out policy.Actions) {
		old := in.version.Load()
		if s.Table == nil {
			s.Table, s.Check = old.table, old.check
		}
		classes := s.Table.Classes
		if len(classes) == 0 {
			classes = unused
		}
		if err = in.gw.ValidateTables(classes, s.Plans); err != nil {
			return
		}
		if err = in.gw.SetPlans(now, s.Plans); err == nil && s.Table != old.table {
			err = in.gw.SetClasses(classes)
		}
		if err != nil {
			return
		}
		in.version.Store(in.prepare(s, old))
		if deadline, window := s.Table.KeyLifetimes(); in.keys != nil && deadline > 0 {
			in.keys.SetLifetimes(now, deadline+keyWay, window)
		}
		in.watchHalls(now, s.Sites, out)
	})
	return err
}

// prepare makes a version of a setup. Called under the mutex.
func (in *Instance) prepare(s Setup, old *version) *version {
	v := &version{number: s.Number, table: s.Table, check: s.Check, licensees: s.Licensees}
	if s.Table == old.table {
		v.ops = old.ops
		return v
	}
	for _, op := range s.Table.Operations {
		c := in.counters[op.ID]
		if c == nil {
			c = &Counters{}
			in.counters[op.ID] = c
		}
		v.ops = append(v.ops, c)
	}
	return v
}

// watchHalls follows the registers of these halls and of no others. The servers of a hall
// that is no longer there are gone; those of one whose register has moved stay until the
// new one tells. Called under the mutex.
func (in *Instance) watchHalls(now time.Duration, halls []Site, out policy.Actions) {
	wanted := map[string]netip.AddrPort{}
	for _, h := range halls {
		wanted[h.Name] = h.Discovery
	}
	for name, w := range in.halls {
		if at, ok := wanted[name]; ok && at == w.register {
			continue
		} else if !ok {
			in.take(now, name, discovery.EndpointList{IsComplete: true}, out)
			in.gw.RemoveZoneLimits(name)
			delete(in.known, name)
		}
		w.stop()
		delete(in.halls, name)
	}
	for _, h := range halls {
		if in.halls[h.Name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(in.ctx)
		in.halls[h.Name] = &watch{h.Discovery, stop}
		if in.far(h.Name) {
			list, _ := in.link.far(h.Name)
			in.take(now, h.Name, list, out)
			continue
		}
		f := &discovery.Watcher{Addr: h.Discovery, SilenceTimeout: discovery.SilenceTimeout,
			OnList: func(l discovery.EndpointList) { in.list(ctx, h.Name, l) },
			Logf:   func(format string, args ...any) { in.log.Printf("hall "+h.Name+": "+format, args...) }}
		in.follow.Go(func() { f.Run(ctx) })
	}
}

// ConfirmVersion tells that a quorum has confirmed at a time that the setup in force is the one
// that is agreed on.
func (in *Instance) ConfirmVersion(at time.Time) {
	since := max(int64(at.Sub(in.start)), 1)
	for was := in.confirmed.Load(); since > was && !in.confirmed.CompareAndSwap(was, since); was = in.confirmed.Load() {
	}
}

// keyWay is how long a request may be on its way beyond its client's deadline.
const keyWay = 500 * time.Millisecond

// minWait is the least that a client is told to wait where its key has no hall now.
const minWait = 50 * time.Millisecond

// InstallKeyOwners takes over an agreed epoch of homes: what an entry of the log, the voters of that moment (joint: they
// change) and all before it come to.
func (in *Instance) InstallKeyOwners(h multisite.OwnershipEpoch, index uint64, voters []uint64, joint bool) {
	in.event(func(now time.Duration, _ policy.Actions) {
		in.keys.InstallEpoch(now, h)
		if in.consent != nil {
			in.consent.ApplyAgreed(index, voters, joint)
		}
	})
}

// ConfirmKeyOwners tells that the epoch in force was confirmed by a quorum that was asked at a time.
func (in *Instance) ConfirmKeyOwners(asked time.Time) {
	in.event(func(time.Duration, policy.Actions) {
		in.keys.ConfirmEpoch(time.Duration(in.start.UnixNano()) + asked.Sub(in.start))
	})
}

// NextMessage is [multisite.KeyTable.NextBroadcast], with what else goes to the other instances. fence tells this member's: see
// [multisite.QuorumConfirmation].
func (in *Instance) NextMessage(most int, fence func() uint64) (m multisite.Message, more bool) {
	in.event(func(now time.Duration, _ policy.Actions) {
		if m, more = in.keys.NextBroadcast(now, most); more {
			return
		}
		if in.health != nil {
			for name := range in.halls {
				if in.far(name) {
					in.health.SetRemote(name, true)
				} else {
					in.health.RecordCapacity(name, in.gw.ZoneCapacity(now, name))
				}
			}
			m.Views = in.health.Views(now)
		}
		if in.ramp != nil && in.health != nil {
			w := in.climb(now)
			m.Ramp = &w
		}
		if in.consent != nil {
			w := in.consent.NextBroadcast(now, fence())
			m.Confirmation = &w
			in.agreeHomes()
		}
	})
	return m, more
}

// far tells whether a hall is reached by way of another site's instances alone.
func (in *Instance) far(hall string) bool { return in.link != nil && !in.link.owns(hall) }

// rampFill is the multiple of what a cold server can take, as warm as it must be, that all instances together send it at the
// most: half as much again may be saved up, and the whole stays below what pushes it over.
const rampFill = 1.4

// climb has the module go by this instance's part in the ramps of the halls, and returns what to tell the others.
// Called under the mutex.
func (in *Instance) climb(now time.Duration) multisite.RampMessage {
	var carried []multisite.WarmLoad
	for name := range in.halls {
		if in.far(name) { // its own instances know which of its servers are cold
			continue
		}
		if rate, util := in.gw.WarmServerLoad(now, name); rate > 0 {
			carried = append(carried, multisite.WarmLoad{Site: name, Rate: rate, Utilization: util})
		}
		servers, sent, short := in.gw.ColdServerWork(now, name)
		in.ramp.RecordWarmUpLoad(now, name, multisite.WarmUpLoad{ServerWeight: servers, SentWork: sent, RejectedWork: short})
	}
	w := in.ramp.NextBroadcast(now, carried)
	for name := range in.halls {
		servers, near := in.health.Capacity(now, name)
		z := policy.ZoneLimits{IsRemote: in.far(name), InFlightFraction: 1 / float64(in.cfg.Settings.InstanceCount), RemoteServerCount: servers}
		if !z.IsRemote {
			z.WarmServerRate = rampFill / in.cfg.Settings.ColdBudgetMultiple() * in.ramp.WarmServerCapacity(now, name) * in.ramp.Share(now, name)
			z.InFlightFraction = 1 / float64(max(near, 1))
		}
		in.gw.SetZoneLimits(name, z)
	}
	return w
}

// ReceiveMessage is [multisite.KeyTable.Receive].
func (in *Instance) ReceiveMessage(m multisite.Message) {
	in.event(func(now time.Duration, _ policy.Actions) {
		in.keys.Receive(now, m)
		if in.health != nil && m.Views != nil {
			in.health.Receive(now, m.From, m.Views)
		}
		if in.ramp != nil && m.Ramp != nil {
			in.ramp.Receive(now, m.From, *m.Ramp)
		}
		if in.consent != nil && m.Confirmation != nil {
			in.consent.Receive(m.From, *m.Confirmation)
			in.agreeHomes()
		}
	})
}

// agreeHomes confirms the homes in force where enough others consent. Called under the mutex.
func (in *Instance) agreeHomes() {
	if at, ok := in.consent.ConfirmedAt(); ok {
		in.keys.ConfirmEpoch(at)
	}
}

// SetAgreedSites takes over which halls there are, which of them are lost, and the members.
func (in *Instance) SetAgreedSites(halls []multisite.Site, lost map[string]int, members []uint64) {
	in.event(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			in.health.ApplyAgreed(now, halls, lost, members)
		}
		if in.ramp != nil {
			in.ramp.ApplyAgreed(now, halls, members)
		}
	})
}

// ProposeSiteChange is [multisite.HealthMonitor.ProposeChange].
func (in *Instance) ProposeSiteChange() (c multisite.SiteChange, ok bool) {
	in.event(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			c, ok = in.health.ProposeChange(now)
		}
	})
	return c, ok
}

// SiteStates tells what the instance makes of each hall that it has a register of.
func (in *Instance) SiteStates() map[string]string {
	states := map[string]string{}
	in.event(func(now time.Duration, _ policy.Actions) {
		for name := range in.halls {
			if in.health != nil {
				states[name] = in.health.State(now, name).String()
			}
		}
	})
	return states
}

// met notes what an attempt or a probe says of its server's hall. Called under the mutex.
func (in *Instance) met(now time.Duration, server string, result policy.Result, sent time.Duration) {
	if in.health == nil {
		return
	}
	hall, _, _ := strings.Cut(server, "/")
	switch result {
	case policy.OK, policy.ErrorResponse, policy.RejectedByServer:
		in.health.RecordAnswer(now, hall)
	case policy.TimedOut, policy.ConnectFailed:
		in.health.RecordMiss(now, hall, sent)
	}
}

// Confirmation tells how long ago the setup in force was confirmed, and whether requests are
// served on it.
func (in *Instance) Confirmation(now time.Time) (age time.Duration, serves bool) {
	a := in.cfg.Agreement
	if a == nil {
		return 0, true
	}
	c := in.confirmed.Load()
	if c == 0 {
		return 0, false
	}
	age = now.Sub(in.start) - time.Duration(c)
	return age, !a.RejectsStale || age <= a.StaleAfter
}

// Version is the number of the setup in force.
func (in *Instance) Version() uint64 { return in.version.Load().number }

// UnconfirmedCount is the number of requests refused because the setup was not confirmed.
func (in *Instance) UnconfirmedCount() int64 { return in.refused.Load() }

// Table is the description in force.
func (in *Instance) Table() *routing.Table { return in.version.Load().table }

// EachOperation calls f with the counters of each operation that was ever in force.
func (in *Instance) EachOperation(f func(operation string, c *Counters)) {
	in.mu.Lock()
	all := make(map[string]*Counters, len(in.counters))
	for id, c := range in.counters {
		all[id] = c
	}
	in.mu.Unlock()
	for id, c := range all {
		f(id, c)
	}
}

// BadRequestCount is the number of requests that were turned down before they were charged.
func (in *Instance) BadRequestCount() int64 { return in.bad.Load() }

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (in *Instance) now() time.Duration {
	return time.Duration(in.start.UnixNano()) + time.Since(in.start)
}

// event runs one event of the module, then what its actions left to do.
func (in *Instance) event(f func(now time.Duration, out policy.Actions)) {
	in.mu.Lock()
	in.guarded(f)
	after := in.after
	in.after = nil
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
}

// guarded runs an event. A panic of the module is logged, with the stack that names its
// cause, and costs the one event.
func (in *Instance) guarded(f func(now time.Duration, out policy.Actions)) {
	if in.closed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
			in.after = append(in.after, func() { in.log.Print(text) })
		}
	}()
	f(in.now(), (*actions)(in))
}

// step runs an event of a flight's own and takes what comes next for it.
func (in *Instance) step(fl *flight, f func(now time.Duration, out policy.Actions)) (next attempt, pending, done bool) {
	in.mu.Lock()
	in.guarded(f)
	after := in.after
	in.after = nil
	if in.closed {
		in.end(fl, failed, 0)
	}
	next, pending, done = fl.next, fl.pending, fl.done
	if fl.pending = false; pending && !done {
		fl.call = &call{}
		fl.attempts++
	}
	fl.waiting = !pending && !done
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
	return next, pending, done
}

// carry takes a flight from its request to its final answer. gone tells whether the
// client has left; it is asked before each further attempt.
func (in *Instance) carry(fl *flight, q policy.Request, gone func() bool) {
	at, pending, done := in.step(fl, func(now time.Duration, out policy.Actions) {
		in.number++
		var b [20]byte
		fl.id = string(strconv.AppendUint(b[:0], in.number, 36))
		q.ID = fl.id
		in.flights[fl.id] = fl
		if fl.linked { // nothing crosses twice
			q.Zone, q.IsCharged = in.link.cfg.Own[0], true
		}
		if fl.homed {
			v := in.keys.Route(now, fl.key)
			if v.Site != "" && fl.linked && !in.link.owns(v.Site) {
				v = multisite.RoutingDecision{RetryAfter: minWait, Reason: "the sites differ on its home"} // the other site goes by older homes, or this one does
			}
			if q.Zone = v.Site; v.Site == "" {
				fl.why = v.Reason
				in.end(fl, refused, min(max(v.RetryAfter, minWait), in.cfg.Settings.MaxRetryAfter))
				return
			}
		}
		in.gw.RequestReceived(now, q, out)
	})
	for !done {
		if pending {
			at, pending, done = in.try(fl, at, gone)
			continue
		}
		late := time.NewTimer(time.Until(fl.deadline))
		select {
		case <-fl.wake:
			at, pending, done = in.step(fl, func(time.Duration, policy.Actions) {})
		case <-late.C:
			at, pending, done = in.abandon(fl)
		case <-in.ctx.Done():
			at, pending, done = in.abandon(fl)
		}
		late.Stop()
	}
	in.event(func(time.Duration, policy.Actions) { delete(in.flights, fl.id) })
}

// abandon ends a flight whose client has gone or for which no answer was given in time.
func (in *Instance) abandon(fl *flight) (attempt, bool, bool) {
	return in.step(fl, func(now time.Duration, out policy.Actions) {
		in.end(fl, failed, 0)
		in.gw.ClientDisconnected(now, fl.id, out)
	})
}

// try carries out one attempt and brings its outcome to the module.
func (in *Instance) try(fl *flight, at attempt, gone func() bool) (attempt, bool, bool) {
	var result policy.Result
	sent := in.now()
	fl.rep.whole, fl.rep.since = false, time.Time{}
	let, full := true, false
	if fl.over = crosses(at.server); fl.over {
		if full = !in.link.take(fl); !full {
			defer in.link.done(fl)
		}
	}
	if fl.homed && !full { // the homes may have changed since the request was admitted
		in.event(func(now time.Duration, out policy.Actions) {
			hall, _, _ := strings.Cut(at.server, "/")
			if let = in.keys.BeginAttempt(now, fl.key, hall); !let && fl.sent {
				in.end(fl, failed, 0)
			} else if !let {
				fl.why = "its home has moved meanwhile"
				in.end(fl, refused, minWait)
			}
		})
	}
	if full {
		result = policy.RejectedByServer // no more may cross now
	} else if !let {
		result = policy.NotSent
	} else if fl.attempts > 1 && gone() {
		result = policy.NotSent
		in.event(func(now time.Duration, out policy.Actions) { in.end(fl, failed, 0) })
	} else {
		result = in.servers.exchange(in.ctx, fl.call, at.server, at.until, fl.head.Method == "HEAD", &fl.rep,
			func(b []byte) []byte { return fl.word(b, at.until) })
		if fl.over && result == policy.ConnectionReset {
			result = in.settle(fl, at)
		}
	}
	fl.mayRun = fl.mayRun || fl.rep.whole && result != policy.RejectedByServer
	if fl.rep.whole {
		fl.counters.Attempts.Add(1)
		if !fl.sent {
			fl.sent = true
			fl.counters.Sent.Add(1)
			fl.counters.Units.Add(int64(fl.units))
		}
	}
	report := fl.rep.report()
	return in.step(fl, func(now time.Duration, out policy.Actions) {
		fl.call = nil
		if !fl.over || result != policy.RejectedByServer && result != policy.ErrorResponse { // the far instance's word says nothing of its hall
			in.met(now, at.server, result, sent)
		}
		if fl.homed && let && !full {
			in.keys.EndAttempt(fl.key, !fl.rep.whole || result == policy.RejectedByServer || result == policy.ConnectFailed || result == policy.NotSent)
		}
		if result == policy.OK {
			in.end(fl, served, 0)
		}
		o := policy.AttemptResult{ID: fl.id, Attempt: fl.attempts - 1, RequestAnswered: fl.done, Result: result, Server: at.server,
			Latency: now - sent, LoadReport: report}
		if !fl.rep.since.IsZero() {
			o.ConnectedAt = time.Duration(in.start.UnixNano()) + fl.rep.since.Sub(in.start)
		}
		in.gw.AttemptCompleted(now, o, out)
	})
}

// end gives a flight its final answer unless it has one. Called under the mutex.
func (in *Instance) end(fl *flight, k answerKind, wait time.Duration) {
	if fl.done {
		return
	}
	fl.done, fl.answer, fl.wait = true, k, wait
	if k := fl.call; k != nil { // no answer of the attempt under way counts any more
		in.after = append(in.after, k.giveUp)
	}
	in.wake(fl)
}

// wake has a flight's goroutine look at what is next. Called under the mutex.
func (in *Instance) wake(fl *flight) {
	if fl.waiting {
		fl.waiting = false
		fl.wake <- struct{}{} // there is room: it is told once for each wait
	}
}

// list hands a hall's list on, unless its watch has ended.
func (in *Instance) list(ctx context.Context, hall string, l discovery.EndpointList) {
	in.event(func(now time.Duration, out policy.Actions) {
		if ctx.Err() == nil {
			in.take(now, hall, l, out)
		}
	})
}

// take hands a hall's list on as changes: the lists of the other halls stay as they are.
// Called under the mutex.
func (in *Instance) take(now time.Duration, hall string, l discovery.EndpointList, out policy.Actions) {
	known := in.known[hall]
	if known == nil {
		known = map[string]bool{}
		in.known[hall] = known
	}
	entries := make([]discovery.Endpoint, 0, len(l.Servers))
	listed := map[string]bool{}
	for _, s := range l.Servers {
		s.ID = hall + "/" + s.ID
		s.Zone = hall
		listed[s.ID] = true
		if known[s.ID] = true; s.State == policy.Removed {
			delete(known, s.ID)
		}
		entries = append(entries, s)
	}
	if l.IsComplete {
		for id := range known {
			if !listed[id] {
				delete(known, id)
				entries = append(entries, discovery.Endpoint{Server: policy.Server{ID: id, State: policy.Removed, Zone: hall}})
			}
		}
	}
	stale := in.servers.update(entries)
	in.after = append(in.after, func() { closeAll(stale) })
	list := make([]policy.Server, len(entries))
	for i, s := range entries {
		list[i] = s.Server
	}
	in.gw.EndpointsChanged(now, policy.EndpointsDelta, list, out)
}

// whisper hands a message of a peer on.
func (in *Instance) whisper(from int, message []byte) {
	in.event(func(now time.Duration, out policy.Actions) { in.gw.GossipReceived(now, from, message, out) })
}

// probe asks a server for its load.
func (in *Instance) probe(id string) {
	defer in.work.Done()
	var rep reply
	sent := in.now()
	result := in.servers.exchange(in.ctx, &call{}, id, time.Now().Add(probeTimeout), false, &rep, func(b []byte) []byte {
		return append(b, "GET "+loadPath+" HTTP/1.1\r\nHost: hall\r\n\r\n"...)
	})
	report := rep.report()
	if report == nil && result == policy.OK {
		report = loadreport.Parse(string(rep.body))
	}
	in.event(func(now time.Duration, out policy.Actions) {
		if !crosses(id) || result != policy.OK {
			in.met(now, id, result, sent)
		}
		in.gw.HealthCheckCompleted(now, id, result, report, out)
	})
}

// close ends the instance's events, then waits for its probes, whose context has ended, and
// the followers of its halls' registers.
func (in *Instance) close() {
	in.mu.Lock()
	in.closed = true
	in.alarm.Stop()
	for _, w := range in.halls {
		w.stop()
	}
	in.mu.Unlock()
	in.work.Wait()
	in.follow.Wait()
}

// timers are the module's timers, the earliest first.
type timers []timer

type timer struct {
	at    time.Duration
	token uint64
}

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// push is heap.Push without the allocation.
func (t *timers) push(x timer) {
	*t = append(*t, x)
	heap.Fix(t, len(*t)-1)
}

// ring brings the module the timers that are due.
func (in *Instance) ring() {
	in.event(func(now time.Duration, out policy.Actions) {
		for len(in.timers) > 0 && in.timers[0].at <= now {
			token := in.timers[0].token
			n := len(in.timers) - 1
			in.timers[0] = in.timers[n]
			if in.timers = in.timers[:n]; n > 0 {
				heap.Fix(&in.timers, 0)
			}
			in.gw.TimerFired(now, token, out)
		}
		in.alarmAt = math.MaxInt64
		in.setAlarm(now)
	})
}

// setAlarm has ring called at the earliest timer. Called under the mutex.
func (in *Instance) setAlarm(now time.Duration) {
	if len(in.timers) > 0 && in.timers[0].at < in.alarmAt {
		in.alarmAt = in.timers[0].at
		in.alarm.Reset(max(in.alarmAt-now, 0))
	}
}

// actions carries out what the module asks for. All are called under the mutex.
type actions Instance

// SendAttempt leaves word of the flight's next attempt, bounded by its timeout and by the
// client's deadline. The flight's goroutine begins it once no other is out.
func (a *actions) SendAttempt(id, server string, timeout time.Duration) {
	in := (*Instance)(a)
	fl := in.flights[id]
	if fl == nil || fl.done || fl.pending {
		in.logLater("module: send for %s, which is not open for one", id)
		return
	}
	until := fl.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	fl.next, fl.pending = attempt{server, until}, true
	in.wake(fl)
}

func (a *actions) RejectRequest(id string, retryAfter time.Duration) {
	if fl := a.flights[id]; fl != nil {
		(*Instance)(a).end(fl, refused, retryAfter)
	}
}

func (a *actions) FailRequest(id string) {
	if fl := a.flights[id]; fl != nil {
		(*Instance)(a).end(fl, failed, 0)
	}
}

func (a *actions) CancelAttempt(id string, attempt int) {
	if fl := a.flights[id]; fl != nil && fl.call != nil && attempt == fl.attempts-1 {
		a.after = append(a.after, fl.call.giveUp)
	}
}

func (a *actions) SetTimer(token uint64, after time.Duration) {
	in := (*Instance)(a)
	now := in.now()
	in.timers.push(timer{now + after, token})
	in.setAlarm(now)
}

func (a *actions) CheckHealth(server string) {
	in := (*Instance)(a)
	in.work.Add(1)
	go in.probe(server)
}

func (a *actions) SendGossip(peer int, message []byte) {
	in := (*Instance)(a)
	message = append([]byte(nil), message...)
	if in.peers != nil {
		in.after = append(in.after, func() { in.peers.Send(peer, message, in.log.Printf) })
	}
}

// WatchEndpoints has nothing to do: the lists are always watched.
func (a *actions) WatchEndpoints(bool) {}

func (a *actions) Log(text string) { (*Instance)(a).logLater("module: %s", text) }

func (in *Instance) logLater(format string, args ...any) {
	in.after = append(in.after, func() { in.log.Printf(format, args...) })
}

// AwaitServers waits until so many servers are known, over all halls.
func (in *Instance) AwaitServers(ctx context.Context, n int, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		in.mu.Lock()
		have := 0
		for _, k := range in.known {
			have += len(k)
		}
		in.mu.Unlock()
		if have >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %d servers known of %d: %w", in.cfg.Name, have, n, ctx.Err())
		case <-tick.C:
		}
	}
}
