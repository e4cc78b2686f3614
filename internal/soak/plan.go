// Package soak runs a real program under clients that keep using their connections while it is told to end, upgraded,
// stopped or killed, and checks from the clients' and the servers' own records that no request was lost. A seed draws
// the whole plan of a run.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Target is the program under test.
type Target string

// The programs.
const (
	TargetEdgeProxy Target = "edgeproxy"
	TargetGateway   Target = "gateway"
)

// series is the order of the signals of a run.
type series string

const (
	seriesTerm           series = "term"                // SIGTERM
	seriesTermTwice      series = "term-twice"          // and again while it drains
	seriesHangupTerm     series = "hangup-term"         // SIGHUP just before
	seriesTermHangup     series = "term-hangup"         // SIGHUP just after
	seriesRestarts       series = "restarts"            // three processes, one after the other
	seriesUpgrade        series = "upgrade"             // a successor takes over, then that one is told to end
	seriesUpgradeTwice   series = "upgrade-twice"       // two upgrades in a row
	seriesUpgradeBoth    series = "upgrade-both"        // both processes are told to end at once
	seriesSuccessorStops series = "upgrade-sigstop"     // the successor is stopped for a while during the handover
	seriesSuccessorDies  series = "upgrade-sigkill"     // the successor is killed at a moment around the handover
	seriesSuccessorEnds  series = "upgrade-cancelled"   // the successor is told to end before the old process is
	seriesOldDies        series = "upgrade-old-sigkill" // the old process is killed while a successor waits
	seriesLateHello      series = "late-hello"          // a successor's hello and its end come while the old one is stopped
	seriesLostGo         series = "lost-go"             // a predecessor dies once it has handed its gossip socket over
)

var (
	gatewaySeries = []series{seriesTerm, seriesTermTwice, seriesHangupTerm, seriesTermHangup, seriesRestarts}
	edgeSeries    = append([]series{seriesUpgrade, seriesUpgradeTwice, seriesUpgradeBoth, seriesSuccessorStops,
		seriesSuccessorDies, seriesSuccessorEnds, seriesOldDies, seriesLateHello, seriesLostGo}, gatewaySeries...)
)

// step is a step of a handover, as its process logs it.
type step string

const (
	stepNone        step = ""             // the signals follow each other at once
	stepHandingOver step = "handing over" // the old process begins to hand over
	stepReady       step = "ready"        // the successor has taken over
)

var handoverSteps = []step{stepNone, stepHandingOver, stepReady}

// clientKind is how a client uses its connections.
type clientKind string

const (
	clientKeepsOn   clientKind = "keeps-on"  // the next request follows the answer
	clientPipelines clientKind = "pipelines" // several requests at once
	clientRests     clientKind = "rests"     // long pauses between requests
	clientIsSlow    clientKind = "slow"      // requests in pieces
	clientLeaves    clientKind = "leaves"    // closes its connection with a request open
	clientIsNew     clientKind = "new"       // a connection for each request
)

var clientKinds = []clientKind{clientKeepsOn, clientPipelines, clientRests, clientIsSlow, clientLeaves, clientIsNew}

// Bounds of what a plan draws.
const (
	minDuration       = 100 * time.Millisecond
	maxDuration       = time.Hour
	serverCount       = 3
	clientsOfEachKind = 3
	crowdEvery        = 4                      // one run in so many has a crowd
	minDeadline       = 600 * time.Millisecond // of the classes
	maxDeadline       = 2 * time.Second
	maxSignalGap      = 700 * time.Millisecond // between signals of a series
	maxStepGap        = 5 * time.Millisecond   // from a step of a handover to the next signal
	maxStop           = 1500 * time.Millisecond
	minStop           = 20 * time.Millisecond
)

// Plan is what happens in a run. All of it follows from the target, the seed and the duration.
type Plan struct {
	Target   Target
	Seed     uint64
	Duration time.Duration // of clients' requests before the first signal
	Series   series
	Deadline time.Duration // of every class
	Gap      time.Duration // between the signals of a series
	Step     step          // of a handover, which the next signal follows
	StepGap  time.Duration // from the step to the signal
	Stop     time.Duration // for which a process is stopped
	Servers  []serverPlan
	Crowd    int  // silent connections, which fill the descriptors
	Inherits bool // the clients' listening socket is inherited
}

// serverPlan is how a server behaves, as probabilities of a request.
type serverPlan struct {
	MaxLatency  time.Duration
	Hangs       float64 // never answered
	HangsAtEnd  bool    // answers nothing from the first signal on
	Resets      float64 // its connection is reset once it has run
	Rejects     float64 // it is told to have never run
	IdleTimeout time.Duration
}

// NewPlan draws the plan of a seed.
func NewPlan(target Target, seed uint64, duration time.Duration) (*Plan, error) {
	if target != TargetEdgeProxy && target != TargetGateway {
		return nil, fmt.Errorf("target %q: want %s or %s", target, TargetEdgeProxy, TargetGateway)
	}
	if duration < minDuration || duration > maxDuration {
		return nil, fmt.Errorf("duration %v: want %v to %v", duration, minDuration, maxDuration)
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
		Deadline: between(minDeadline, maxDeadline),
		Gap:      between(0, maxSignalGap),
		Step:     handoverSteps[random.IntN(len(handoverSteps))],
		StepGap:  between(0, maxStepGap),
		Stop:     between(minStop, maxStop),
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
	if random.IntN(crowdEvery) == 0 {
		p.Crowd = 100 + random.IntN(400)
	}
	p.Inherits = target == TargetEdgeProxy && (p.isUpgrade() || random.IntN(2) == 0)
	return p, nil
}

// hasPeer reports whether the node gossips with a peer, which is the tool.
func (p *Plan) hasPeer() bool { return p.Series == seriesLostGo }

// isRestart reports whether a process is started once the one before it has ended.
func (p *Plan) isRestart() bool { return p.Series == seriesRestarts || p.Series == seriesLostGo }

// isUpgrade reports whether a successor waits to take over.
func (p *Plan) isUpgrade() bool {
	switch p.Series {
	case seriesTerm, seriesTermTwice, seriesHangupTerm, seriesTermHangup, seriesRestarts:
		return false
	}
	return true
}

// killDelay is the earliest time after SIGTERM at which the platform kills a process.
func (p *Plan) killDelay() time.Duration { return min(p.Deadline, maxKillDeadline) + killGrace }

// The platform kills a process that was told to end after the longest deadline, maxKillDeadline at most, and killGrace.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// String returns the plan in a line.
func (p *Plan) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("%s seed %d: %s, gap %v, step %q and %v, stop %v, deadline %v, crowd %d, inherits %v, servers %+v",
		p.Target, p.Seed, p.Series, round(p.Gap), p.Step, p.StepGap, round(p.Stop), round(p.Deadline), p.Crowd, p.Inherits,
		p.Servers)
}
