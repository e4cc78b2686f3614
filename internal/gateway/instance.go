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
	cfg          *Config
	log          *log.Logger
	start        time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx          context.Context
	servers      *serverPool
	peers        *gossip.Socket // nil: there are none
	healthChecks sync.WaitGroup

	version            atomic.Pointer[version] // in force
	discoveryFollowers sync.WaitGroup          // followers of registers

	// When a quorum last confirmed the version in force, by the monotonic clock since start;
	// 0: not since the start. Only with Config.Agreed.
	confirmedAt      atomic.Int64
	unconfirmedCount atomic.Int64 // requests refused because of that
	badRequestCount  atomic.Int64 // requests turned down before they were charged

	mu                sync.Mutex
	engine            *policy.Engine
	link              *relay            // nil: it reaches all halls itself
	keys              *multisite.Keys   // nil: keyed requests are kept to a hall for one request only
	health            *multisite.Health // nil: halls are not judged
	confirmation      *multisite.Consent
	ramp              *multisite.Ramp // nil: what cold servers are sent is each instance's own guess
	requests          map[string]*pendingRequest
	deferred          []func() // what the event under way leaves to do without the mutex
	isClosed          bool     // no more events
	lastRequestNumber uint64   // of the last flight
	timers            timerQueue
	timer             *time.Timer // at the earliest of timers
	timerAt           time.Duration
	serversBySite     map[string]map[string]bool // servers by hall
	siteWatches       map[string]*siteWatch
	counters          map[string]*Counters // by operation, over all versions
}

// version is a setup in force and the counters of its operations.
type version struct {
	number    uint64
	table     *routing.Table
	ops       []*Counters // by Operation.Index
	check     Checker     // nil: only what the cost depends on is checked
	licensees map[string]Licensee
}

// siteWatch is a follower of a hall's register.
type siteWatch struct {
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
	Trace     string `json:"trace"` // X-Trace-Id
	Operation string `json:"operation"`
	Licensee  string `json:"licensee"`
	Version   uint64 `json:"version"` // of the setup that it was matched with
	Units     int    `json:"units"`
	Sent      bool   `json:"sent"` // an attempt was written whole: the units count
	Attempts  int    `json:"attempts"`
	Status    int    `json:"status"`        // of the final answer
	Answer    string `json:"answer"`        // "served", "refused" or "failed"
	Why       string `json:"why,omitempty"` // a request with a key was refused for the sake of its key
}

// pendingRequest is a request of a client until it has its final answer.
type pendingRequest struct {
	id              string // the module's
	trace           string // X-Trace-Id
	requestHead     httpwire.Head
	body            []byte
	version         *version      // in force when it was matched: it keeps it
	confirmationAge time.Duration // of the version's last confirmation, then
	op              *routing.Operation
	counters        *Counters
	licensee        string
	units           int
	deadline        time.Time
	wasSent         bool   // an attempt was written whole
	key             uint64 // of a keyed request that sites decides on
	hasKeyOwner     bool   // it is one
	mayRun          bool   // an attempt may have run

	cameByRelay bool   // it came over the link
	relayID     string // then
	isRelayed   bool   // the attempt under way crosses the link

	// Under the instance's mutex:
	isAnswered   bool // answer is final
	answer       outcome
	retryAfter   time.Duration   // of a refusal
	keyRejection string          // of one for the sake of its key
	next         attempt         // asked for and not begun
	hasNext      bool            // next is set
	call         *attemptControl // the attempt under way
	attempts     int
	isWaiting    bool // its goroutine waits for wake
	wake         chan struct{}
	response     response // of the latest attempt
}

type attempt struct {
	server string
	until  time.Time
}

type outcome int

const (
	served outcome = iota
	rejected
	failed
)

func (k outcome) String() string { return [...]string{"served", "refused", "failed"}[k] }

// placeholderClasses is a class that no operation has: the module wants one before there is a table.
var placeholderClasses = []policy.Class{{Name: "/none"}}

// newInstance makes an instance whose goroutines end with ctx. Without a table it refuses
// all requests until one is installed.
func newInstance(ctx context.Context, cfg *Config, setup Setup, logger *log.Logger) (*Instance, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	set := cfg.Settings
	set.Classes, set.Plans = placeholderClasses, nil
	gw, err := policy.New(set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	in := &Instance{cfg: cfg, log: logger, start: time.Now(), ctx: ctx, servers: newServers(cfg), engine: gw,
		requests: map[string]*pendingRequest{}, serversBySite: map[string]map[string]bool{}, counters: map[string]*Counters{}, siteWatches: map[string]*siteWatch{}}
	if cfg.Keys != nil {
		if in.keys, err = multisite.New(*cfg.Keys, in.now()); err != nil {
			return nil, err
		}
	}
	if cfg.Link != nil {
		if in.link, err = newLink(cfg.Link); err != nil {
			return nil, err
		}
		in.servers.secure = in.link.secure
	}
	if cfg.Health != nil {
		if in.health, err = multisite.NewHealth(*cfg.Health); err != nil {
			return nil, err
		}
	}
	if cfg.Consent != nil {
		if in.confirmation, err = multisite.NewConsent(*cfg.Consent); err != nil {
			return nil, err
		}
	}
	if cfg.Ramp != nil {
		if in.ramp, err = multisite.NewRamp(*cfg.Ramp); err != nil {
			return nil, err
		}
	}
	in.timer = time.AfterFunc(time.Hour, in.fireTimers)
	in.timerAt = math.MaxInt64
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
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		old := in.version.Load()
		if s.Table == nil {
			s.Table, s.Check = old.table, old.check
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
		if deadline, window := s.Table.KeyLife(); in.keys != nil && deadline > 0 {
			in.keys.SetLife(now, deadline+maxRequestTransit, window)
		}
		in.watchSites(now, s.Sites, out)
	})
	return err
}

// newVersion makes a version of a setup. Called under the mutex.
func (in *Instance) newVersion(s Setup, old *version) *version {
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

// watchSites follows the registers of these halls and of no others. The servers of a hall
// that is no longer there are gone; those of one whose register has moved stay until the
// new one tells. Called under the mutex.
func (in *Instance) watchSites(now time.Duration, halls []Site, out policy.Actions) {
	wanted := map[string]netip.AddrPort{}
	for _, h := range halls {
		wanted[h.Name] = h.Register
	}
	for name, w := range in.siteWatches {
		if at, ok := wanted[name]; ok && at == w.register {
			continue
		} else if !ok {
			in.applyEndpoints(now, name, discovery.List{Full: true}, out)
			in.engine.RemoveZoneLimits(name)
			delete(in.serversBySite, name)
		}
		w.stop()
		delete(in.siteWatches, name)
	}
	for _, h := range halls {
		if in.siteWatches[h.Name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(in.ctx)
		in.siteWatches[h.Name] = &siteWatch{h.Register, stop}
		if in.isRemote(h.Name) {
			list, _ := in.link.remoteServers(h.Name)
			in.applyEndpoints(now, h.Name, list, out)
			continue
		}
		f := &discovery.Follower{Addr: h.Register, Silent: discovery.Silent,
			Apply: func(l discovery.List) { in.endpointsReceived(ctx, h.Name, l) },
			Logf:  func(format string, args ...any) { in.log.Printf("hall "+h.Name+": "+format, args...) }}
		in.discoveryFollowers.Go(func() { f.Run(ctx) })
	}
}

// ConfirmVersion tells that a quorum has confirmed at a time that the setup in force is the one
// that is agreed on.
func (in *Instance) ConfirmVersion(at time.Time) {
	since := max(int64(at.Sub(in.start)), 1)
	for was := in.confirmedAt.Load(); since > was && !in.confirmedAt.CompareAndSwap(was, since); was = in.confirmedAt.Load() {
	}
}

// maxRequestTransit is how long a request may be on its way beyond its client's deadline.
const maxRequestTransit = 500 * time.Millisecond

// minRetryAfter is the least that a client is told to wait where its key has no hall now.
const minRetryAfter = 50 * time.Millisecond

// InstallKeyOwners takes over an agreed epoch of homes: what an entry of the log, the voters of that moment (joint: they
// change) and all before it come to.
func (in *Instance) InstallKeyOwners(h multisite.Homes, index uint64, voters []uint64, joint bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.keys.Install(now, h)
		if in.confirmation != nil {
			in.confirmation.Agree(index, voters, joint)
		}
	})
}

// ConfirmKeyOwners tells that the epoch in force was confirmed by a quorum that was asked at a time.
func (in *Instance) ConfirmKeyOwners(asked time.Time) {
	in.handleEvent(func(time.Duration, policy.Actions) {
		in.keys.Confirm(time.Duration(in.start.UnixNano()) + asked.Sub(in.start))
	})
}

// NextMessage is [multisite.Keys.Tell], with what else goes to the other instances. fence tells this member's: see
// [multisite.Consent].
func (in *Instance) NextMessage(most int, fence func() uint64) (m multisite.Message, more bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if m, more = in.keys.Tell(now, most); more {
			return
		}
		if in.health != nil {
			for name := range in.siteWatches {
				if in.isRemote(name) {
					in.health.Far(name, true)
				} else {
					in.health.Carries(name, in.engine.ZoneCapacity(now, name))
				}
			}
			m.Views = in.health.Views(now)
		}
		if in.ramp != nil && in.health != nil {
			w := in.updateRecoveryRamp(now)
			m.Ramp = &w
		}
		if in.confirmation != nil {
			w := in.confirmation.Tell(now, fence())
			m.Consent = &w
			in.confirmByQuorum()
		}
	})
	return m, more
}

// isRemote tells whether a hall is reached by way of another site's instances alone.
func (in *Instance) isRemote(hall string) bool { return in.link != nil && !in.link.ownsSite(hall) }

// coldBudgetFactor is the multiple of what a cold server can take, as warm as it must be, that all instances together send it at the
// most: half as much again may be saved up, and the whole stays below what pushes it over.
const coldBudgetFactor = 1.4

// updateRecoveryRamp has the module go by this instance's part in the ramps of the halls, and returns what to tell the others.
// Called under the mutex.
func (in *Instance) updateRecoveryRamp(now time.Duration) multisite.RampWord {
	var carried []multisite.Carried
	for name := range in.siteWatches {
		if in.isRemote(name) { // its own instances know which of its servers are cold
			continue
		}
		if rate, util := in.engine.WarmServerLoad(now, name); rate > 0 {
			carried = append(carried, multisite.Carried{Hall: name, Rate: rate, Util: util})
		}
		servers, sent, short := in.engine.ColdServerWork(now, name)
		in.ramp.Met(now, name, multisite.ColdWork{Servers: servers, Sent: sent, Short: short})
	}
	w := in.ramp.Tell(now, carried)
	for name := range in.siteWatches {
		servers, near := in.health.Carried(now, name)
		z := policy.ZoneLimits{IsRemote: in.isRemote(name), InFlightFraction: 1 / float64(in.cfg.Settings.InstanceCount), RemoteServerCount: servers}
		if !z.IsRemote {
			z.WarmServerRate = coldBudgetFactor / in.cfg.Settings.ColdBudgetMultiple() * in.ramp.Warm(now, name) * in.ramp.Share(now, name)
			z.InFlightFraction = 1 / float64(max(near, 1))
		}
		in.engine.SetZoneLimits(name, z)
	}
	return w
}

// ReceiveMessage is [multisite.Keys.Hear].
func (in *Instance) ReceiveMessage(m multisite.Message) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.keys.Hear(now, m)
		if in.health != nil && m.Views != nil {
			in.health.Hear(now, m.From, m.Views)
		}
		if in.ramp != nil && m.Ramp != nil {
			in.ramp.Hear(now, m.From, *m.Ramp)
		}
		if in.confirmation != nil && m.Consent != nil {
			in.confirmation.Hear(m.From, *m.Consent)
			in.confirmByQuorum()
		}
	})
}

// confirmByQuorum confirms the homes in force where enough others consent. Called under the mutex.
func (in *Instance) confirmByQuorum() {
	if at, ok := in.confirmation.Confirmed(); ok {
		in.keys.Confirm(at)
	}
}

// SetAgreedSites takes over which halls there are, which of them are lost, and the members.
func (in *Instance) SetAgreedSites(halls []multisite.Hall, lost map[string]int, members []uint64) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			in.health.Agree(now, halls, lost, members)
		}
		if in.ramp != nil {
			in.ramp.Agree(now, halls, members)
		}
	})
}

// ProposeSiteChange is [multisite.Health.Judge].
func (in *Instance) ProposeSiteChange() (c multisite.HallChange, ok bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			c, ok = in.health.Judge(now)
		}
	})
	return c, ok
}

// SiteStates tells what the instance makes of each hall that it has a register of.
func (in *Instance) SiteStates() map[string]string {
	states := map[string]string{}
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		for name := range in.siteWatches {
			if in.health != nil {
				states[name] = in.health.State(now, name).String()
			}
		}
	})
	return states
}

// recordSiteHealth notes what an attempt or a probe says of its server's hall. Called under the mutex.
func (in *Instance) recordSiteHealth(now time.Duration, server string, result policy.Result, sent time.Duration) {
	if in.health == nil {
		return
	}
	hall, _, _ := strings.Cut(server, "/")
	switch result {
	case policy.OK, policy.ErrorResponse, policy.RejectedByServer:
		in.health.Heard(now, hall)
	case policy.TimedOut, policy.ConnectFailed:
		in.health.Missed(now, hall, sent)
	}
}

// Confirmation tells how long ago the setup in force was confirmed, and whether requests are
// served on it.
func (in *Instance) Confirmation(now time.Time) (age time.Duration, serves bool) {
	a := in.cfg.Agreement
	if a == nil {
		return 0, true
	}
	c := in.confirmedAt.Load()
	if c == 0 {
		return 0, false
	}
	age = now.Sub(in.start) - time.Duration(c)
	return age, !a.Refuse || age <= a.StaleAfter
}

// Version is the number of the setup in force.
func (in *Instance) Version() uint64 { return in.version.Load().number }

// UnconfirmedCount is the number of requests refused because the setup was not confirmed.
func (in *Instance) UnconfirmedCount() int64 { return in.unconfirmedCount.Load() }

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
func (in *Instance) BadRequestCount() int64 { return in.badRequestCount.Load() }

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (in *Instance) now() time.Duration {
	return time.Duration(in.start.UnixNano()) + time.Since(in.start)
}

// handleEvent runs one event of the module, then what its actions left to do.
func (in *Instance) handleEvent(f func(now time.Duration, out policy.Actions)) {
	in.mu.Lock()
	in.runEvent(f)
	after := in.deferred
	in.deferred = nil
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
}

// runEvent runs an event. A panic of the module is logged, with the stack that names its
// cause, and costs the one event.
func (in *Instance) runEvent(f func(now time.Duration, out policy.Actions)) {
	if in.isClosed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
			in.deferred = append(in.deferred, func() { in.log.Print(text) })
		}
	}()
	f(in.now(), (*actions)(in))
}

// handleRequestEvent runs an event of a flight's own and takes what comes next for it.
func (in *Instance) handleRequestEvent(fl *pendingRequest, f func(now time.Duration, out policy.Actions)) (next attempt, pending, done bool) {
	in.mu.Lock()
	in.runEvent(f)
	after := in.deferred
	in.deferred = nil
	if in.isClosed {
		in.answer(fl, failed, 0)
	}
	next, pending, done = fl.next, fl.hasNext, fl.isAnswered
	if fl.hasNext = false; pending && !done {
		fl.call = &attemptControl{}
		fl.attempts++
	}
	fl.isWaiting = !pending && !done
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
	return next, pending, done
}

// serveRequest takes a flight from its request to its final answer. gone tells whether the
// client has left; it is asked before each further attempt.
func (in *Instance) serveRequest(fl *pendingRequest, q policy.Request, gone func() bool) {
	at, pending, done := in.handleRequestEvent(fl, func(now time.Duration, out policy.Actions) {
		in.lastRequestNumber++
		var b [20]byte
		fl.id = string(strconv.AppendUint(b[:0], in.lastRequestNumber, 36))
		q.ID = fl.id
		in.requests[fl.id] = fl
		if fl.cameByRelay { // nothing crosses twice
			q.Zone, q.IsCharged = in.link.cfg.Own[0], true
		}
		if fl.hasKeyOwner {
			v := in.keys.Route(now, fl.key)
			if v.Hall != "" && fl.cameByRelay && !in.link.ownsSite(v.Hall) {
				v = multisite.Verdict{Wait: minRetryAfter, Why: "the sites differ on its home"} // the other site goes by older homes, or this one does
			}
			if q.Zone = v.Hall; v.Hall == "" {
				fl.keyRejection = v.Why
				in.answer(fl, rejected, min(max(v.Wait, minRetryAfter), in.cfg.Settings.MaxRetryAfter))
				return
			}
		}
		in.engine.RequestReceived(now, q, out)
	})
	for !done {
		if pending {
			at, pending, done = in.runAttempt(fl, at, gone)
			continue
		}
		late := time.NewTimer(time.Until(fl.deadline))
		select {
		case <-fl.wake:
			at, pending, done = in.handleRequestEvent(fl, func(time.Duration, policy.Actions) {})
		case <-late.C:
			at, pending, done = in.clientDisconnected(fl)
		case <-in.ctx.Done():
			at, pending, done = in.clientDisconnected(fl)
		}
		late.Stop()
	}
	in.handleEvent(func(time.Duration, policy.Actions) { delete(in.requests, fl.id) })
}

// clientDisconnected ends a flight whose client has gone or for which no answer was given in time.
func (in *Instance) clientDisconnected(fl *pendingRequest) (attempt, bool, bool) {
	return in.handleRequestEvent(fl, func(now time.Duration, out policy.Actions) {
		in.answer(fl, failed, 0)
		in.engine.ClientDisconnected(now, fl.id, out)
	})
}

// runAttempt carries out one attempt and brings its outcome to the module.
func (in *Instance) runAttempt(fl *pendingRequest, at attempt, gone func() bool) (attempt, bool, bool) {
	var result policy.Result
	sent := in.now()
	fl.response.wasWritten, fl.response.connectedAt = false, time.Time{}
	let, full := true, false
	if fl.isRelayed = isRemoteServer(at.server); fl.isRelayed {
		if full = !in.link.acquire(fl); !full {
			defer in.link.release(fl)
		}
	}
	if fl.hasKeyOwner && !full { // the homes may have changed since the request was admitted
		in.handleEvent(func(now time.Duration, out policy.Actions) {
			hall, _, _ := strings.Cut(at.server, "/")
			if let = in.keys.Send(now, fl.key, hall); !let && fl.wasSent {
				in.answer(fl, failed, 0)
			} else if !let {
				fl.keyRejection = "its home has moved meanwhile"
				in.answer(fl, rejected, minRetryAfter)
			}
		})
	}
	if full {
		result = policy.RejectedByServer // no more may cross now
	} else if !let {
		result = policy.NotSent
	} else if fl.attempts > 1 && gone() {
		result = policy.NotSent
		in.handleEvent(func(now time.Duration, out policy.Actions) { in.answer(fl, failed, 0) })
	} else {
		result = in.servers.exchange(in.ctx, fl.call, at.server, at.until, fl.requestHead.Method == "HEAD", &fl.response,
			func(b []byte) []byte { return fl.appendRequest(b, at.until) })
		if fl.isRelayed && result == policy.ConnectionReset {
			result = in.resolveRelayed(fl, at)
		}
	}
	fl.mayRun = fl.mayRun || fl.response.wasWritten && result != policy.RejectedByServer
	if fl.response.wasWritten {
		fl.counters.Attempts.Add(1)
		if !fl.wasSent {
			fl.wasSent = true
			fl.counters.Sent.Add(1)
			fl.counters.Units.Add(int64(fl.units))
		}
	}
	report := fl.response.report()
	return in.handleRequestEvent(fl, func(now time.Duration, out policy.Actions) {
		fl.call = nil
		if !fl.isRelayed || result != policy.RejectedByServer && result != policy.ErrorResponse { // the far instance's word says nothing of its hall
			in.recordSiteHealth(now, at.server, result, sent)
		}
		if fl.hasKeyOwner && let && !full {
			in.keys.Ended(fl.key, !fl.response.wasWritten || result == policy.RejectedByServer || result == policy.ConnectFailed || result == policy.NotSent)
		}
		if result == policy.OK {
			in.answer(fl, served, 0)
		}
		o := policy.AttemptResult{ID: fl.id, Attempt: fl.attempts - 1, RequestAnswered: fl.isAnswered, Result: result, Server: at.server,
			Latency: now - sent, LoadReport: report}
		if !fl.response.connectedAt.IsZero() {
			o.ConnectedAt = time.Duration(in.start.UnixNano()) + fl.response.connectedAt.Sub(in.start)
		}
		in.engine.AttemptCompleted(now, o, out)
	})
}

// answer gives a flight its final answer unless it has one. Called under the mutex.
func (in *Instance) answer(fl *pendingRequest, k outcome, wait time.Duration) {
	if fl.isAnswered {
		return
	}
	fl.isAnswered, fl.answer, fl.retryAfter = true, k, wait
	if k := fl.call; k != nil { // no answer of the attempt under way counts any more
		in.deferred = append(in.deferred, k.abort)
	}
	in.wakeRequest(fl)
}

// wakeRequest has a flight's goroutine look at what is next. Called under the mutex.
func (in *Instance) wakeRequest(fl *pendingRequest) {
	if fl.isWaiting {
		fl.isWaiting = false
		fl.wake <- struct{}{} // there is room: it is told once for each wait
	}
}

// endpointsReceived hands a hall's list on, unless its watch has ended.
func (in *Instance) endpointsReceived(ctx context.Context, hall string, l discovery.List) {
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		if ctx.Err() == nil {
			in.applyEndpoints(now, hall, l, out)
		}
	})
}

// applyEndpoints hands a hall's list on as changes: the lists of the other halls stay as they are.
// Called under the mutex.
func (in *Instance) applyEndpoints(now time.Duration, hall string, l discovery.List, out policy.Actions) {
	known := in.serversBySite[hall]
	if known == nil {
		known = map[string]bool{}
		in.serversBySite[hall] = known
	}
	entries := make([]discovery.Instance, 0, len(l.Servers))
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
	if l.Full {
		for id := range known {
			if !listed[id] {
				delete(known, id)
				entries = append(entries, discovery.Instance{Server: policy.Server{ID: id, State: policy.Removed, Zone: hall}})
			}
		}
	}
	stale := in.servers.update(entries)
	in.deferred = append(in.deferred, func() { closeAll(stale) })
	list := make([]policy.Server, len(entries))
	for i, s := range entries {
		list[i] = s.Server
	}
	in.engine.EndpointsChanged(now, policy.EndpointsDelta, list, out)
}

// gossipReceived hands a message of a peer on.
func (in *Instance) gossipReceived(from int, message []byte) {
	in.handleEvent(func(now time.Duration, out policy.Actions) { in.engine.GossipReceived(now, from, message, out) })
}

// checkHealth asks a server for its load.
func (in *Instance) checkHealth(id string) {
	defer in.healthChecks.Done()
	var rep response
	sent := in.now()
	result := in.servers.exchange(in.ctx, &attemptControl{}, id, time.Now().Add(probeTimeout), false, &rep, func(b []byte) []byte {
		return append(b, "GET "+loadPath+" HTTP/1.1\r\nHost: hall\r\n\r\n"...)
	})
	report := rep.report()
	if report == nil && result == policy.OK {
		report = loadreport.Parse(string(rep.body))
	}
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		if !isRemoteServer(id) || result != policy.OK {
			in.recordSiteHealth(now, id, result, sent)
		}
		in.engine.HealthCheckCompleted(now, id, result, report, out)
	})
}

// close ends the instance's events, then waits for its probes, whose context has ended, and
// the followers of its halls' registers.
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

// timerQueue are the module's timers, the earliest first.
type timerQueue []timer

type timer struct {
	at    time.Duration
	token uint64
}

func (t timerQueue) Len() int           { return len(t) }
func (t timerQueue) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerQueue) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerQueue) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerQueue) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// push is heap.Push without the allocation.
func (t *timerQueue) push(x timer) {
	*t = append(*t, x)
	heap.Fix(t, len(*t)-1)
}

// fireTimers brings the module the timers that are due.
func (in *Instance) fireTimers() {
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		for len(in.timers) > 0 && in.timers[0].at <= now {
			token := in.timers[0].token
			n := len(in.timers) - 1
			in.timers[0] = in.timers[n]
			if in.timers = in.timers[:n]; n > 0 {
				heap.Fix(&in.timers, 0)
			}
			in.engine.TimerFired(now, token, out)
		}
		in.timerAt = math.MaxInt64
		in.scheduleTimer(now)
	})
}

// scheduleTimer has ring called at the earliest timer. Called under the mutex.
func (in *Instance) scheduleTimer(now time.Duration) {
	if len(in.timers) > 0 && in.timers[0].at < in.timerAt {
		in.timerAt = in.timers[0].at
		in.timer.Reset(max(in.timerAt-now, 0))
	}
}

// actions carries out what the module asks for. All are called under the mutex.
type actions Instance

// SendAttempt leaves word of the flight's next attempt, bounded by its timeout and by the
// client's deadline. The flight's goroutine begins it once no other is out.
func (a *actions) SendAttempt(id, server string, timeout time.Duration) {
	in := (*Instance)(a)
	fl := in.requests[id]
	if fl == nil || fl.isAnswered || fl.hasNext {
		in.logLater("module: send for %s, which is not open for one", id)
		return
	}
	until := fl.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	fl.next, fl.hasNext = attempt{server, until}, true
	in.wakeRequest(fl)
}

func (a *actions) RejectRequest(id string, retryAfter time.Duration) {
	if fl := a.requests[id]; fl != nil {
		(*Instance)(a).answer(fl, rejected, retryAfter)
	}
}

func (a *actions) FailRequest(id string) {
	if fl := a.requests[id]; fl != nil {
		(*Instance)(a).answer(fl, failed, 0)
	}
}

func (a *actions) CancelAttempt(id string, attempt int) {
	if fl := a.requests[id]; fl != nil && fl.call != nil && attempt == fl.attempts-1 {
		a.deferred = append(a.deferred, fl.call.abort)
	}
}

func (a *actions) SetTimer(token uint64, after time.Duration) {
	in := (*Instance)(a)
	now := in.now()
	in.timers.push(timer{now + after, token})
	in.scheduleTimer(now)
}

func (a *actions) CheckHealth(server string) {
	in := (*Instance)(a)
	in.healthChecks.Add(1)
	go in.checkHealth(server)
}

func (a *actions) SendGossip(peer int, message []byte) {
	in := (*Instance)(a)
	message = append([]byte(nil), message...)
	if in.peers != nil {
		in.deferred = append(in.deferred, func() { in.peers.Tell(peer, message, in.log.Printf) })
	}
}

// WatchEndpoints has nothing to do: the lists are always watched.
func (a *actions) WatchEndpoints(bool) {}

func (a *actions) Log(text string) { (*Instance)(a).logLater("module: %s", text) }

func (in *Instance) logLater(format string, args ...any) {
	in.deferred = append(in.deferred, func() { in.log.Printf(format, args...) })
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
		for _, k := range in.serversBySite {
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
