package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// member is one instance.
type member struct {
	id                    uint64
	listen, admin, gossip string
	raft, relay, stream   string
	followerName          string // name of a follower; empty: it is a member
	cmd                   *exec.Cmd
	process               *process // of the latest start
	startCount            int

	downMu  sync.Mutex
	down    []interval // when it could not be expected to answer
	killed  []time.Time
	stopped []interval // by SIGSTOP
}

// name is the instance's name, in its logs and traces.
func (m *member) name() string { return fmt.Sprintf("gate-%d", m.id) }

// configFile is the name of the instance's configuration file.
func (m *member) configFile() string { return fmt.Sprintf("gate-%d.toml", m.id) }

// config is the text of the configuration file of instance i.
func (c *clusterRun) config(i int) string {
	var b strings.Builder
	c.writeInstanceConfig(&b, i)
	if c.instances()[i].followerName != "" {
		c.writeFollowerConfig(&b, i)
	} else {
		c.writeMemberConfig(&b, i)
	}
	return b.String()
}

// writeInstanceConfig writes what members and followers have alike.
func (c *clusterRun) writeInstanceConfig(b *strings.Builder, i int) {
	m := c.instances()[i]
	fmt.Fprintf(b, "name = %q\nlisten = %q\nzone = %q\ninstance = %d\npeer_listen = %q\npeers = [", m.name(),
		m.listen, siteNames[i%2], i, m.gossip)
	for _, other := range c.instances() {
		fmt.Fprintf(b, "%q, ", other.gossip)
	}
	fmt.Fprintf(b, "]\naccess_log = \"access-%d.jsonl\"\ntrace_log = %q\n", m.id, m.traceLogName())
	fmt.Fprintf(b, "[limits]\ndrain_for = %q\nanswer_slack = %q\nmax_attempts = 5\n", drainTimeout, responseSlack)
	fmt.Fprintf(b, "[servers]\ndrain_grace = %q\n", drainGracePeriod)
	if !c.environment.options.RampOff { // without these every server is warm, and sites have no bounds of their own
		fmt.Fprintf(b, "cold_from = %v\nramp_time = %q\nfall_multiple = %v\noverload_for = %q\n",
			coldCapacity, slowStartWindow, collapseMultiple, collapseWindow)
	}
}

// writeFollowerConfig writes of follower i from which members it gets the configuration.
func (c *clusterRun) writeFollowerConfig(b *strings.Builder, i int) {
	m := c.instances()[i]
	fmt.Fprintf(b, "[follow]\ncluster = %q\nname = %q\ndata = \"gate-%d.db\"\ncerts = \"certs\"\n", clusterName,
		m.followerName, m.id)
	for j, other := range c.members {
		fmt.Fprintf(b, "[[follow.member]]\nnumber = %d\nstream = %q\n", other.id,
			c.streamLinks[linkEnds{from: i - len(c.members), to: j}].addr())
	}
}

// writeMemberConfig writes how member i reaches the others.
func (c *clusterRun) writeMemberConfig(b *strings.Builder, i int) {
	m := c.members[i]
	fmt.Fprintf(b, "[cluster]\nname = %q\nnumber = %d\ndata = \"gate-%d.db\"\ncerts = \"certs\"\ntick = %q\n",
		clusterName, m.id, m.id, tickInterval)
	if c.environment.options.KeysAnywhere {
		b.WriteString("keys = \"anywhere\"\n")
	}
	if len(c.followers) > 0 {
		fmt.Fprintf(b, "stream = %q\n", m.stream)
	}
	if c.environment.scenario.hasTwoSites {
		c.writeRelayConfig(b, i)
	} else if i == len(c.members)-1 {
		fmt.Fprintf(b, "stale_after = %q\nwhen_stale = \"refuse\"\n", staleTimeout)
	}
	for j, other := range c.members {
		raft := other.raft
		if l := c.raftLinks[linkEnds{from: i, to: j}]; l != nil {
			raft = l.addr()
		}
		fmt.Fprintf(b, "[[cluster.member]]\nnumber = %d\nraft = %q\nadmin = %q\n", other.id, raft, other.admin)
	}
}

// writeRelayConfig writes how member i reaches the members of the other site.
func (c *clusterRun) writeRelayConfig(b *strings.Builder, i int) {
	fmt.Fprintf(b, "[cluster.link]\nlisten = %q\n", c.members[i].relay)
	for j, other := range c.members {
		if l := c.relayLinks[linkEnds{from: i, to: j}]; l != nil {
			fmt.Fprintf(b, "[[cluster.link.far]]\nhall = %q\nmember = %d\naddress = %q\n", siteNames[j%2], other.id,
				l.addr())
		}
	}
}

// command is the gateway's program with arguments.
func (c *clusterRun) command(args ...string) *exec.Cmd {
	cmd := exec.Command(c.environment.options.Program, args...)
	cmd.Env = append(os.Environ(), c.environment.options.Env...)
	return cmd
}

// start starts the process of an instance.
func (c *clusterRun) start(m *member) error {
	args := []string{"run", "--config", filepath.Join(c.dir, m.configFile())}
	if m.startCount++; c.hasChaos {
		args = append(args, "--chaos", strconv.FormatUint(c.environment.options.Seed*1000+uint64(m.startCount), 10))
	}
	m.cmd = c.command(args...)
	m.cmd.Stdout, m.cmd.Stderr = io.Discard, c.environment.options.Log
	// The instance must not outlive a scenario.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.markDown()
	if err := m.cmd.Start(); err != nil {
		return err
	}
	if c.environment.waits != nil {
		c.environment.waits.Add(m.name(), m.cmd.Process.Pid)
	}
	p := &process{done: make(chan struct{})}
	m.process = p
	cmd := m.cmd
	go func() {
		p.err = cmd.Wait()
		m.markEndedAt(time.Now())
		close(p.done)
	}()
	return nil
}

// markEndedAt notes that a member has ended. One that did so by itself drained before, and took
// no more requests.
func (m *member) markEndedAt(at time.Time) {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n == 0 || !m.down[n-1].to.IsZero() {
		m.down = append(m.down, interval{from: at.Add(-maxDrainTime)})
	}
}

// markDown notes that a member can't be expected to answer from now on.
func (m *member) markDown() {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n == 0 || !m.down[n-1].to.IsZero() {
		m.down = append(m.down, interval{from: time.Now()})
	}
}

// markUp notes that a member can be expected to answer from now on.
func (m *member) markUp() {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n > 0 && m.down[n-1].to.IsZero() {
		m.down[n-1].to = time.Now()
	}
}

// wasDown tells whether a member was down at any time of a span.
func (m *member) wasDown(from, to time.Time) bool {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	return slices.ContainsFunc(m.down, func(s interval) bool {
		return s.from.Before(to) &&
			(s.to.IsZero() || from.Before(s.to))
	})
}

// kill ends a member with SIGKILL.
func (c *clusterRun) kill(m *member) {
	m.markDown()
	m.downMu.Lock()
	m.killed = append(m.killed, time.Now())
	m.downMu.Unlock()
	m.cmd.Process.Kill()
	<-m.process.done
	c.mu.Lock()
	c.killCount++
	c.mu.Unlock()
}

// restart starts a member that is down, again where it ends by itself (its disk may fail),
// and waits until it is ready.
func (c *clusterRun) restart(ctx context.Context, m *member) error {
	for {
		if err := c.start(m); err != nil {
			return err
		}
		if err := c.awaitReady(ctx, m); !errors.Is(err, errEnded) {
			if err == nil {
				m.markUp()
			}
			return err
		}
	}
}

// errEnded is of an instance whose process has ended.
var errEnded = errors.New("the instance has ended")

// isReady tells whether a member answers its health check.
func isReady(ctx context.Context, m *member) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.listen+"/health/ready", nil)
	if err != nil {
		return false
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until an instance is ready. The error is errEnded where its process has ended.
func (c *clusterRun) awaitReady(ctx context.Context, m *member) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		select {
		case <-m.process.done:
			return fmt.Errorf("member %d: %w: %w", m.id, errEnded, m.process.err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if isReady(ctx, m) {
			return nil
		}
	}
	return fmt.Errorf("member %d does not become ready", m.id)
}

// process is an instance's process. Any number of goroutines may wait for its end.
type process struct {
	done chan struct{} // closed at the end
	err  error         // of the process, once done is closed
}

// interval is a span of time; a zero to means that it has not ended.
type interval struct{ from, to time.Time }

// within returns how much of the span lies between two times; at most 0: nothing.
func (i interval) within(from, to time.Time) time.Duration {
	if i.from.After(from) {
		from = i.from
	}
	if i.to.Before(to) {
		to = i.to
	}
	return to.Sub(from)
}
