// Package soak runs the real edge proxy or gateway under the load of clients that keep using their connections while
// the program is terminated, upgraded, stopped or killed. It checks from what clients and servers have recorded that no
// request was lost. The plan of a run is drawn from a seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Target is the program under test.
type Target string

// The programs that can be tested.
const (
	TargetEdgeProxy Target = "edgeproxy"
	TargetGateway   Target = "gateway"
)

// series names the sequence of signals that a run sends.
type series string

const (
	seriesTerm                series = "term"                // one SIGTERM
	seriesTermTwice           series = "term-twice"          // a second SIGTERM while the process drains
	seriesHangupTerm          series = "hangup-term"         // SIGHUP just before SIGTERM
	seriesTermHangup          series = "term-hangup"         // SIGHUP just after SIGTERM
	seriesRestarts            series = "restarts"            // two restarts, each once the old process has exited
	seriesUpgrade             series = "upgrade"             // a successor takes over, and is later terminated
	seriesUpgradeTwice        series = "upgrade-twice"       // two upgrades in a row
	seriesUpgradeBoth         series = "upgrade-both"        // predecessor and successor get SIGTERM during the handover
	seriesSuccessorStopped    series = "upgrade-sigstop"     // SIGSTOP to the successor during the handover, SIGCONT later
	seriesSuccessorKilled     series = "upgrade-sigkill"     // SIGKILL to the successor around the handover
	seriesSuccessorTerminated series = "upgrade-cancelled"   // SIGTERM to the successor, then to the old process
	seriesOldKilled           series = "upgrade-old-sigkill" // SIGKILL to the old process while a successor waits
	seriesLateHello           series = "late-hello"          // hello of a successor that has exited, to a stopped process
	seriesPredecessorLost     series = "lost-go"             // the predecessor exits after handing over its gossip socket
	seriesIdle                series = "idle"                // all clients leave, and later one SIGTERM
)

var (
	gatewaySeries = []series{seriesTerm, seriesTermTwice, seriesHangupTerm, seriesTermHangup, seriesRestarts}
	edgeSeries    = append([]series{seriesUpgrade, seriesUpgradeTwice, seriesUpgradeBoth, seriesSuccessorStopped,
		seriesSuccessorKilled, seriesSuccessorTerminated, seriesOldKilled, seriesLateHello,
		seriesPredecessorLost}, gatewaySeries...)
)

// step is a step of a handover, named by the message that the process logs.
type step string

const (
	stepNone        step = ""             // the next signal waits for no step
	stepHandingOver step = "handing over" // logged by the old process as the handover begins
	stepReady       step = "ready"        // logged by the successor once it has taken over
)

var handoverSteps = []step{stepNone, stepHandingOver, stepReady}

// clientKind is how a client uses its connections.
type clientKind string

const (
	clientSequential  clientKind = "keeps-on"  // the next request follows the response
	clientPipelines   clientKind = "pipelines" // several requests without waiting for responses
	clientPausing     clientKind = "rests"     // long pauses between requests
	clientSlowWriter  clientKind = "slow"      // each request is written in pieces
	clientDisconnects clientKind = "leaves"    // closes some connections with a request open
	clientReconnects  clientKind = "new"       // a new connection for each request
)

var clientKinds = []clientKind{clientSequential, clientPipelines, clientPausing, clientSlowWriter, clientDisconnects,
	clientReconnects}

// Bounds of the drawn values.
const (
	minDuration          = 100 * time.Millisecond
	maxDuration          = time.Hour
	serverCount          = 3
	clientsOfEachKind    = 3
	tightClients         = 3                      // clients of the tight contract, at the edge proxy
	idleConnectionsEvery = 4                      // one run in this many has idle connections
	drainEvery           = 4                      // one run in this many has a server drain
	seriesIdleEvery      = 8                      // one run in this many has seriesIdle in place of the series drawn
	minDeadline          = 600 * time.Millisecond // of classes
	maxDeadline          = 2 * time.Second
	maxSignalGap         = 700 * time.Millisecond  // between the signals of a series
	maxStepGap           = 5 * time.Millisecond    // from a handover step to the next signal
	maxStopDuration      = 1500 * time.Millisecond // from SIGSTOP to SIGCONT
	minStopDuration      = 20 * time.Millisecond
)

// Plan describes a run. It depends only on the target, the seed and the duration.
type Plan struct {
	Target          Target
	Seed            uint64
	Duration        time.Duration // how long clients send requests before the first signal
	Series          series
	Deadline        time.Duration // deadline of every class
	SignalGap       time.Duration // between the signals of a series
	Step            step          // handover step that the next signal waits for
	StepGap         time.Duration // from that step to the signal
	StopDuration    time.Duration // from SIGSTOP to SIGCONT
	Servers         []serverPlan
	IdleConnections int        // connections that send nothing and use up the program's descriptors
	InheritsSocket  bool       // processes inherit the listening socket for clients
	Drain           *drainPlan // nil if no server drains
}

// drainPlan is the drain of a server in the service discovery.
type drainPlan struct {
	Server    int
	After     time.Duration // from the start of the clients
	IsRemoved bool          // the server is removed from the endpoint list; otherwise it is listed as draining
}

// String returns the drain's time and kind.
func (d *drainPlan) String() string {
	if d == nil {
		return "none"
	}
	return fmt.Sprintf("server %d after %v, removed %v", d.Server, d.After.Round(time.Millisecond), d.IsRemoved)
}

// serverPlan is the behavior of a server. The fractions are probabilities per request.
type serverPlan struct {
	MaxLatency  time.Duration
	Hangs       float64 // the request gets no response
	HangsAtEnd  bool    // no request gets a response after the first SIGTERM
	Resets      float64 // the connection is closed without a response after the request has run
	Rejects     float64 // the request is rejected as never run
	IdleTimeout time.Duration
}

// NewPlan draws the plan of a seed. It returns an error if the target is unknown or the duration out of range.
func NewPlan(target Target, seed uint64, duration time.Duration) (*Plan, error) {
	if target != TargetEdgeProxy && target != TargetGateway {
		return nil, fmt.Errorf("unknown target %q (want %s or %s)", target, TargetEdgeProxy, TargetGateway)
	}
	if duration < minDuration || duration > maxDuration {
		return nil, fmt.Errorf("duration %v is out of range (%v to %v)", duration, minDuration, maxDuration)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	all := edgeSeries
	if target == TargetGateway {
		all = gatewaySeries
	}
	p := &Plan{
		Target: target, Seed: seed, Duration: duration, Series: all[random.IntN(len(all))],
		Deadline:     between(minDeadline, maxDeadline),
		SignalGap:    between(0, maxSignalGap),
		Step:         handoverSteps[random.IntN(len(handoverSteps))],
		StepGap:      between(0, maxStepGap),
		StopDuration: between(minStopDuration, maxStopDuration),
	}
	for range serverCount {
		p.Servers = append(p.Servers, serverPlan{
			MaxLatency:  between(2*time.Millisecond, 40*time.Millisecond),
			Hangs:       0.01 * random.Float64(),
			HangsAtEnd:  random.IntN(4) == 0,
			Resets:      0.02 * random.Float64(),
			Rejects:     0.02 * random.Float64(),
			IdleTimeout: between(time.Second, 30*time.Second),
		})
	}
	if random.IntN(idleConnectionsEvery) == 0 {
		p.IdleConnections = 100 + random.IntN(400)
	}
	p.InheritsSocket = target == TargetEdgeProxy && (p.isUpgrade() || random.IntN(2) == 0)
	p.drawAdditions(rand.New(rand.NewPCG(seed, additionsStream)))
	return p, nil
}

// additionsStream separates the random numbers of drawAdditions from the others of a plan.
const additionsStream = 1

// drawAdditions draws what was added to plans later. Its random numbers are separate, so that the rest of a seed's plan
// does not depend on the additions.
func (p *Plan) drawAdditions(random *rand.Rand) {
	if random.IntN(seriesIdleEvery) == 0 {
		p.Series = seriesIdle
	}
	if random.IntN(drainEvery) == 0 {
		p.Drain = &drainPlan{
			Server:    random.IntN(len(p.Servers)),
			After:     time.Duration(random.Int64N(int64(p.Duration + maxSignalGap))),
			IsRemoved: random.IntN(2) == 0,
		}
	}
}

// hasPeer reports whether the node under test gossips with a peer, which the tool simulates.
func (p *Plan) hasPeer() bool { return p.Series == seriesPredecessorLost }

// isRestart reports whether each process is started only after the previous one has exited.
func (p *Plan) isRestart() bool {
	return p.Series == seriesRestarts || p.Series == seriesPredecessorLost
}

// isUpgrade reports whether the series contains a handover to a successor.
func (p *Plan) isUpgrade() bool {
	switch p.Series {
	case seriesTerm, seriesTermTwice, seriesHangupTerm, seriesTermHangup, seriesRestarts, seriesIdle:
		return false
	}
	return true
}

// killDelay returns the earliest time after SIGTERM at which the platform kills a process.
func (p *Plan) killDelay() time.Duration { return min(p.Deadline, maxKillDeadline) + killGrace }

// The platform kills a process that still runs when the longest deadline (at most maxKillDeadline) and killGrace have
// passed since its SIGTERM.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// String returns the plan in one line.
func (p *Plan) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("%s seed %d: %s, gap %v, step %q and %v, stop %v, deadline %v, crowd %d, inherits %v, drain %v, "+
		"servers %+v",
		p.Target, p.Seed, p.Series, round(p.SignalGap), p.Step, p.StepGap, round(p.StopDuration), round(p.Deadline),
		p.IdleConnections, p.InheritsSocket, p.Drain, p.Servers)
}
