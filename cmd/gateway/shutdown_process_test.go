package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// When things happen after SIGTERM.
const (
	notReadyWithin  = 150 * time.Millisecond
	lastClientAfter = 350 * time.Millisecond // the platform sends new clients for 0.4 s
	refusesAfter    = 900 * time.Millisecond // the instances accept clients for 0.5 s
	killsAfter      = processDeadline + 700*time.Millisecond
)

// shutdown is a process that gets SIGTERM while clients use it, and what they saw.
type shutdown struct {
	*gatewayProcess
	termAt  time.Time
	clients sync.WaitGroup
}

// terminate sends SIGTERM to a process, in front of which clients have open and idle connections. It checks that the
// process is not ready at once, accepts clients for half a second and no longer, answers all requests before the
// platform kills it, and has ended by itself by then. trouble happens right before SIGTERM, when requests are open.
func terminate(p *gatewayProcess, arrivals func() int64, trouble func()) {
	t := p.t
	t.Helper()
	s := &shutdown{gatewayProcess: p}
	var open, idle []*processClient
	for range 3 {
		open = append(open, s.dial())
		idle = append(idle, s.dial())
	}
	before := arrivals()
	for _, c := range open {
		s.post(c)
	}
	// Just after the start requests are rejected, as no server is known yet.
	for end := time.Now().Add(testTimeout); arrivals() == before; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request has reached a server")
		}
		open = append(open, s.dial())
		s.post(open[len(open)-1])
	}
	trouble()
	s.termAt = time.Now()
	p.signal(syscall.SIGTERM)
	for _, c := range open {
		s.awaitAnswer("a request that was open at SIGTERM", c)
	}
	time.Sleep(time.Until(s.termAt.Add(notReadyWithin)))
	if p.isReady() {
		t.Errorf("the instance is ready %v after SIGTERM", notReadyWithin)
	}
	time.Sleep(time.Until(s.termAt.Add(lastClientAfter)))
	for _, c := range idle {
		s.post(c)
		s.awaitAnswer("a request on an idle connection", c)
	}
	last := s.dial()
	s.post(last)
	s.awaitAnswer("the request of a new client", last)
	time.Sleep(time.Until(s.termAt.Add(refusesAfter)))
	if c, err := dialProcess(p.listen); err == nil {
		c.conn.Close()
		t.Errorf("the instance accepts clients %v after SIGTERM", refusesAfter)
	}
	s.requireEnd()
}

// requireEnd checks that the process ends before the platform kills it, with all requests answered.
func (s *shutdown) requireEnd() {
	s.t.Helper()
	select {
	case <-s.ended:
	case <-time.After(time.Until(s.termAt.Add(killsAfter))):
		s.t.Errorf("the instance has not ended %v after SIGTERM", killsAfter)
		s.cmd.Process.Kill()
	}
	s.clients.Wait()
}

func (s *shutdown) dial() *processClient {
	s.t.Helper()
	c, err := dialProcess(s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.conn.Close() })
	return c
}

func (s *shutdown) post(c *processClient) {
	s.t.Helper()
	if err := c.post(); err != nil {
		s.t.Errorf("sending a request: %v", err)
	}
}

// awaitAnswer checks in the background that a request is answered before the process would be killed.
func (s *shutdown) awaitAnswer(what string, c *processClient) {
	s.clients.Go(func() {
		if _, err := c.receive(s.termAt.Add(killsAfter)); err != nil {
			s.t.Errorf("%s has no answer %v after SIGTERM: %v", what, time.Since(s.termAt).Round(time.Millisecond), err)
		}
	})
}

// noTrouble is the trouble of a shutdown beside which all is well.
func noTrouble() {}

// signalAll returns trouble that sends a signal to processes.
func signalAll(signal syscall.Signal, processes ...*gatewayProcess) (trouble func()) {
	return func() {
		for _, p := range processes {
			p.signal(signal)
		}
	}
}

// Guards against a stopping instance that waits for others before it stops taking work: it is killed with requests open.
// A leader waited up to 2 s for another member to lead.
func TestShutdownOfMemberBesideTrouble(t *testing.T) {
	for name, c := range map[string]struct {
		signal     syscall.Signal // to other members; 0: none
		count      int            // of members that get it
		settles    time.Duration  // from then to SIGTERM; 0: it comes while requests are open, right before SIGTERM
		isFollower bool           // the member that ends does not lead
		isLogFull  bool           // its log is not read
	}{
		"all well":                  {},
		"one just died":             {signal: syscall.SIGKILL, count: 1},
		"one is dead":               {signal: syscall.SIGKILL, count: 1, settles: 2 * time.Second},
		"one is stopped":            {signal: syscall.SIGSTOP, count: 1, settles: 2 * time.Second},
		"both just died":            {signal: syscall.SIGKILL, count: 2},
		"both were just stopped":    {signal: syscall.SIGSTOP, count: 2},
		"both end as well":          {signal: syscall.SIGTERM, count: 2},
		"no leader, both stopped":   {signal: syscall.SIGSTOP, count: 2, settles: 2 * time.Second, isFollower: true},
		"no leader, both just died": {signal: syscall.SIGKILL, count: 2, isFollower: true},
		"log is not read":           {isLogFull: true},
	} {
		t.Run(name, func(t *testing.T) {
			runConcurrently(t)
			w := newProcessWorld(t)
			members := w.startCluster()
			index := w.leader()
			if c.isFollower {
				index = (index + 1) % len(members)
			}
			target := members[index]
			others := slices.Delete(slices.Clone(members), index, index+1)
			trouble := signalAll(c.signal, others[:c.count]...)
			if c.settles > 0 {
				trouble()
				time.Sleep(c.settles)
				trouble = noTrouble
			}
			if c.isLogFull {
				trouble = target.fillLog
			}
			terminate(target, w.arrivals.Load, trouble)
		})
	}
}

// Guards against a stopping follower that waits for the member that serves its stream.
func TestShutdownOfFollowerBesideTrouble(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{
		"member stopped": syscall.SIGSTOP,
		"member died":    syscall.SIGKILL,
		"member ends":    syscall.SIGTERM,
	} {
		t.Run(name, func(t *testing.T) {
			runConcurrently(t)
			w := newProcessWorld(t)
			members := w.startCluster()
			terminate(w.startFollower(0), w.arrivals.Load, signalAll(signal, members[0]))
		})
	}
}

// Guards against a member whose shutdown waits for the follower of its stream.
func TestShutdownOfMemberBesideStoppedFollower(t *testing.T) {
	runConcurrently(t)
	w := newProcessWorld(t)
	members := w.startCluster()
	follower := w.startFollower(0)
	terminate(members[0], w.arrivals.Load, signalAll(syscall.SIGSTOP, follower))
}

// Guards against an instance whose shutdown waits for those that it relays requests to, or that relay to it.
func TestShutdownBesideLinks(t *testing.T) {
	const near, far = 2, 0 // the far one has the servers
	for name, c := range map[string]struct {
		target  int
		signal  syscall.Signal
		signals []int // members that get it
	}{
		"far ones stopped": {near, syscall.SIGSTOP, []int{0, 1}},
		"far ones died":    {near, syscall.SIGKILL, []int{0, 1}},
		"far ones end":     {near, syscall.SIGTERM, []int{0, 1}},
		"near one stopped": {far, syscall.SIGSTOP, []int{near}},
		"near one died":    {far, syscall.SIGKILL, []int{near}},
	} {
		t.Run(name, func(t *testing.T) {
			runConcurrently(t)
			w := newProcessWorld(t)
			w.hasLinks = true
			members := w.startCluster()
			terminate(members[c.target], w.arrivals.Load, func() {
				relayed, err := dialProcess(members[near].listen)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { relayed.conn.Close() })
				if err := relayed.post(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond) // it reaches the far server
				for _, i := range c.signals {
					members[i].signal(c.signal)
				}
			})
		})
	}
}

// Guards against a stopping instance that waits until a log is read, or for a file that a reload reads.
func TestShutdownOfLoneInstance(t *testing.T) {
	for name, c := range map[string]struct {
		logFields []string // of logs that are pipes which nobody reads
		isLogFull bool     // the same for the standard error
		reloads   bool     // the description is being read again from a pipe that nobody writes to
		hasNoFile bool     // no descriptor is left, until the process closes one
	}{
		"all well":               {},
		"log is not read":        {isLogFull: true},
		"access log is not read": {logFields: []string{"access_log"}},
		"trace log is not read":  {logFields: []string{"trace_log"}},
		"no log is read":         {logFields: []string{"access_log", "trace_log"}, isLogFull: true},
		"reload hangs":           {reloads: true},
		"no descriptors":         {hasNoFile: true},
	} {
		t.Run(name, func(t *testing.T) {
			runConcurrently(t)
			w := newProcessWorld(t)
			w.logPipes = map[string]string{}
			for _, field := range c.logFields {
				w.logPipes[field] = newPipe(t, filepath.Join(w.dir, field))
			}
			p := w.startLone()
			terminate(p, w.arrivals.Load, func() {
				if c.isLogFull {
					p.fillLog()
				}
				for _, pipe := range w.logPipes {
					fillPipe(t, pipe)
				}
				if c.hasNoFile {
					p.useUpDescriptors()
				}
				if c.reloads {
					description := filepath.Join(w.dir, "booking.yaml")
					if err := os.Remove(description); err != nil {
						t.Fatal(err)
					}
					newPipe(t, description)
					p.signal(syscall.SIGHUP)
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a shutdown in which the connections of clients that send nothing hold all descriptors, while clients
// that have just connected wait for one in the kernel's backlog: they were reset.
func TestShutdownWhileIdleConnectionsHoldAllDescriptors(t *testing.T) {
	runConcurrently(t)
	w := newProcessWorld(t)
	p := w.startLone()
	s := &shutdown{gatewayProcess: p}
	for range 3 {
		if err := s.dial().getReadiness(); err != nil {
			t.Fatal(err)
		}
	}
	p.useUpDescriptors()
	s.termAt = time.Now()
	p.signal(syscall.SIGTERM)
	time.Sleep(time.Until(s.termAt.Add(lastClientAfter)))
	last := s.dial()
	s.post(last)
	s.awaitAnswer("the request of a new client", last)
	s.requireEnd()
}

// Guards against an instance whose shutdown waits for others that it is cut off from: what it sends them is lost, and its
// connections to them stay open.
func TestShutdownOfInstanceThatIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		settles    time.Duration // from the cut to SIGTERM; 0: it comes while requests are open
		isFollower bool          // a follower of the stream ends, not a member
		leads      bool
		hasLinks   bool
	}{
		"leader, just now":   {leads: true},
		"leader":             {leads: true, settles: 2 * time.Second},
		"member":             {settles: 2 * time.Second},
		"follower, just now": {isFollower: true},
		"follower":           {isFollower: true, settles: 2 * time.Second},
		"near one of a link": {hasLinks: true},
	} {
		t.Run(name, func(t *testing.T) {
			runConcurrently(t)
			w := newProcessWorld(t)
			w.isCuttable, w.hasLinks = true, c.hasLinks
			members := w.startCluster()
			var target *gatewayProcess
			switch {
			case c.hasLinks:
				target = members[2]
			case c.isFollower:
				target = w.startFollower(0)
			case c.leads:
				target = members[w.leader()]
			default:
				target = members[(w.leader()+1)%len(members)]
			}
			trouble := w.cutNetwork
			if c.settles > 0 {
				trouble()
				time.Sleep(c.settles)
				trouble = noTrouble
			}
			terminate(target, w.arrivals.Load, trouble)
		})
	}
}

// Guards against an instance that gets SIGTERM in the middle of its start and resets clients that have connected, or
// runs on.
func TestShutdownDuringStart(t *testing.T) {
	for _, kind := range []string{"lone instance", "member", "follower"} {
		t.Run(kind, func(t *testing.T) {
			runConcurrently(t)
			w := newProcessWorld(t)
			var start func() *gatewayProcess
			switch kind {
			case "lone instance":
				start = w.prepareLone()
			case "member":
				start = w.prepareMember()
			case "follower":
				w.startCluster()
				start = w.prepareFollower(0)
			}
			const startTime = 300 * time.Millisecond // SIGTERM comes within it
			for delay := time.Duration(0); delay < startTime; delay += startTime / 10 {
				terminateDuringStart(start(), delay)
			}
		})
	}
}

// terminateDuringStart sends SIGTERM to a process some time after its start. Each client that could connect has to get
// an answer, and the process has to end before the platform kills it.
func terminateDuringStart(p *gatewayProcess, delay time.Duration) {
	t := p.t
	t.Helper()
	s := &shutdown{gatewayProcess: p, termAt: time.Now().Add(delay)}
	term := time.AfterFunc(delay, func() { p.signal(syscall.SIGTERM) })
	defer term.Stop()
	for connected := 0; time.Since(s.termAt) < lastClientAfter && connected < 20; time.Sleep(5 * time.Millisecond) {
		c, err := dialProcess(p.listen)
		if err != nil {
			continue
		}
		t.Cleanup(func() { c.conn.Close() })
		connected++
		s.post(c)
		s.awaitAnswer(fmt.Sprintf("a request of a client that connected %v after SIGTERM, sent %v after the start,",
			time.Since(s.termAt), delay), c)
	}
	time.Sleep(time.Until(s.termAt))
	s.requireEnd()
}
