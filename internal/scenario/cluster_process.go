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

// clusterInstance is one instance, a member or a follower, with its process.
type clusterInstance struct {
	id                    uint64
	listen, admin, gossip string
	raft, relay, stream   string
	followerName          string // empty for a member
	cmd                   *exec.Cmd
	process               *process // of the last start
	startCount            int

	downMu  sync.Mutex
	down    []interval // when it was not expected to answer
	killed  []time.Time
	stopped []interval // by SIGSTOP
}

// name returns the instance's name in its logs and traces.
func (m *clusterInstance) name() string { return fmt.Sprintf("gate-%d", m.id) }

// configFile returns the name of the instance's configuration file.
func (m *clusterInstance) configFile() string { return fmt.Sprintf("gate-%d.toml", m.id) }

// config returns the configuration file of instance i.
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

// writeInstanceConfig writes the settings that members and followers share.
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
	// Without these settings instances treat all servers as warm and do not limit the load of cold ones.
	if !c.environment.options.DisableSlowStart {
		fmt.Fprintf(b, "cold_from = %v\nramp_time = %q\nfall_multiple = %v\noverload_for = %q\n",
			coldCapacity, slowStartWindow, collapseMultiple, collapseWindow)
	}
}

// writeFollowerConfig writes the members from which follower i receives the configuration.
func (c *clusterRun) writeFollowerConfig(b *strings.Builder, i int) {
	m := c.instances()[i]
	fmt.Fprintf(b, "[follow]\ncluster = %q\nname = %q\ndata = \"gate-%d.db\"\ncerts = \"certs\"\n", clusterName,
		m.followerName, m.id)
	for j, other := range c.members {
		fmt.Fprintf(b, "[[follow.member]]\nnumber = %d\nstream = %q\n", other.id,
			c.streamLinks[linkKey{from: i - len(c.members), to: j}].Addr())
	}
}

// writeMemberConfig writes the cluster settings of member i, with the addresses of the other members.
func (c *clusterRun) writeMemberConfig(b *strings.Builder, i int) {
	m := c.members[i]
	fmt.Fprintf(b, "[cluster]\nname = %q\nnumber = %d\ndata = \"gate-%d.db\"\ncerts = \"certs\"\ntick = %q\n",
		clusterName, m.id, m.id, tickInterval)
	if c.environment.options.DisableKeyOwnership {
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
		if l := c.raftLinks[linkKey{from: i, to: j}]; l != nil {
			raft = l.Addr()
		}
		fmt.Fprintf(b, "[[cluster.member]]\nnumber = %d\nraft = %q\nadmin = %q\n", other.id, raft, other.admin)
	}
}

// writeRelayConfig writes the relay links from member i to the members of the other site.
func (c *clusterRun) writeRelayConfig(b *strings.Builder, i int) {
	fmt.Fprintf(b, "[cluster.link]\nlisten = %q\n", c.members[i].relay)
	for j, other := range c.members {
		if l := c.relayLinks[linkKey{from: i, to: j}]; l != nil {
			fmt.Fprintf(b, "[[cluster.link.far]]\nhall = %q\nmember = %d\naddress = %q\n", siteNames[j%2], other.id,
				l.Addr())
		}
	}
}

// command returns a command that runs the gateway program with arguments.
func (c *clusterRun) command(args ...string) *exec.Cmd {
	cmd := exec.Command(c.environment.options.Program, args...)
	cmd.Env = append(os.Environ(), c.environment.options.Env...)
	return cmd
}

// start starts the process of an instance.
func (c *clusterRun) start(m *clusterInstance) error {
	args := []string{"run", "--config", filepath.Join(c.dir, m.configFile())}
	if m.startCount++; c.hasChaos {
		args = append(args, "--chaos", strconv.FormatUint(c.environment.options.Seed*1000+uint64(m.startCount), 10))
	}
	m.cmd = c.command(args...)
	m.cmd.Stdout, m.cmd.Stderr = io.Discard, c.environment.options.Log
	// The instance must not outlive this process.
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

// markEndedAt records that an instance's process has ended. If it was not marked as down, the instance ended by itself:
// it drained first and accepted no more requests for up to maxDrainTime.
func (m *clusterInstance) markEndedAt(at time.Time) {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n == 0 || !m.down[n-1].to.IsZero() {
		m.down = append(m.down, interval{from: at.Add(-maxDrainTime)})
	}
}

// markDown records that an instance isn't expected to answer from now on.
func (m *clusterInstance) markDown() {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n == 0 || !m.down[n-1].to.IsZero() {
		m.down = append(m.down, interval{from: time.Now()})
	}
}

// markUp records that an instance is expected to answer from now on.
func (m *clusterInstance) markUp() {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n > 0 && m.down[n-1].to.IsZero() {
		m.down[n-1].to = time.Now()
	}
}

// wasDown reports whether an instance was down at any time between from and to.
func (m *clusterInstance) wasDown(from, to time.Time) bool {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	return slices.ContainsFunc(m.down, func(s interval) bool {
		return s.from.Before(to) &&
			(s.to.IsZero() || from.Before(s.to))
	})
}

// kill kills an instance with SIGKILL and waits until its process has ended.
func (c *clusterRun) kill(m *clusterInstance) {
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

// restart starts an instance that is down and waits until it is ready. If the process ends before
// that (its disk may fail), it is started again.
func (c *clusterRun) restart(ctx context.Context, m *clusterInstance) error {
	for {
		if err := c.start(m); err != nil {
			return err
		}
		if err := c.awaitReady(ctx, m); !errors.Is(err, errProcessEnded) {
			if err == nil {
				m.markUp()
			}
			return err
		}
	}
}

// errProcessEnded is the error of an instance whose process has ended.
var errProcessEnded = errors.New("process ended before the instance was ready")

// isReady reports whether an instance's readiness check succeeds.
func isReady(ctx context.Context, m *clusterInstance) bool {
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

// awaitReady waits until an instance is ready. The error wraps errProcessEnded if its process has ended.
func (c *clusterRun) awaitReady(ctx context.Context, m *clusterInstance) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		select {
		case <-m.process.done:
			return fmt.Errorf("member %d: %w: %w", m.id, errProcessEnded, m.process.err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if isReady(ctx, m) {
			return nil
		}
	}
	return fmt.Errorf("member %d is not ready within the start timeout", m.id)
}

// process is the state of an instance's process. Any number of goroutines may wait for its end.
type process struct {
	done chan struct{} // closed at the end
	err  error         // result of the process; valid once done is closed
}

// interval is a time span. If to is zero, the span has not ended.
type interval struct{ from, to time.Time }

// overlap returns how much of the interval lies between two times. The result is 0 or negative if nothing does.
func (i interval) overlap(from, to time.Time) time.Duration {
	if i.from.After(from) {
		from = i.from
	}
	if i.to.Before(to) {
		to = i.to
	}
	return to.Sub(from)
}
