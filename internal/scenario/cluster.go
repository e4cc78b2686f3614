package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
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

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// The scenarios of this file run instances as processes of their own, which agree on their
// configuration while operators change it and the members are killed, cut off and restarted.

// Figures of these scenarios.
const (
	clusterName = "lab"
	operators   = 3
	operatorGap = 30 * time.Millisecond // between two changes of one operator, on average
	memberTick  = 20 * time.Millisecond // elections come after 200 to 400 ms
	startMost   = 20 * time.Second
	lostLog     = time.Second     // of an access log that a killed instance may not have written
	shortStale  = 2 * time.Second // staleness bound of the last member, which then refuses
	settle      = 20 * time.Second
	drainMost   = 2500 * time.Millisecond // for an instance to finish what it has taken
)

// clusterRun is a scenario with processes under way.
type clusterRun struct {
	w       *world
	dir     string
	members []*member
	follow  []*member         // instances that are no members and are told the configuration
	streams map[[2]int]*link  // from a follower to a member
	links   map[[2]int]*link  // from, to
	ways    map[[2]int]*link  // between sites, likewise
	clients []*cluster.Client // one for each operator
	chaos   bool
	rng     *rand.Rand
	closing func() // called when hallCloses has closed a hall; nil: nothing more

	mu     sync.Mutex
	orders []order
	kills  int
	failed int                // members that ended by themselves: their disk failed
	flaps  int                // times that a hall fell silent or came back
	losses [][2]time.Duration // from a hall's silence and from its return until each was agreed on
	surge  *surge             // nil: there was none
	alone  []span             // the sites were cut from each other
	gaps   []time.Duration    // from the leader's kill to the next applied change
}

// member is one instance.
type member struct {
	id                 uint64
	listen, admin, udp string
	raft, site, stream string
	follows            string // name of a follower; empty: it is a member
	cmd                *exec.Cmd
	ended              chan error
	runs               int

	downMu sync.Mutex
	down   []span // when it could not be expected to answer
	killed []time.Time
}

type span struct{ from, to time.Time }

// order is one ask of an operator.
type order struct {
	id          string
	call, ret   time.Time
	version     uint64
	applied     bool
	read, known bool
}

// playCluster plays a scenario with processes.
func (w *world) playCluster(ctx context.Context) (v *Verdict, err error) {
	c := &clusterRun{w: w, streams: map[[2]int]*link{}, links: map[[2]int]*link{}, ways: map[[2]int]*link{}, rng: rand.New(rand.NewPCG(w.opt.Seed, 0xc1)), chaos: w.scenario.Name == "chaos-config"}
	if c.dir, err = os.MkdirTemp("", "gateway-lab-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(c.dir)
	halls, closeHalls, err := w.startHalls()
	if err != nil {
		return nil, err
	}
	defer closeHalls()
	if err := c.prepare(); err != nil {
		return nil, err
	}
	defer c.close()
	for _, m := range c.instances() {
		if err := c.start(m); err != nil {
			return nil, err
		}
	}
	if err := c.agree(ctx, halls); err != nil {
		return nil, err
	}
	for _, m := range c.instances() {
		if err := c.awaitReady(ctx, m); err != nil {
			return nil, err
		}
		m.up()
	}
	clients := &testserver.Clients{Instances: w.addrs, Licensees: w.asking(), Mix: w.scenario.mix(), Tries: 3, Deadline: 2 * time.Second, Seed: w.opt.Seed, NoResend: true}
	playing, end := context.WithTimeout(ctx, w.opt.For)
	defer end()
	changing, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	var beside, ops sync.WaitGroup
	for i := range operators {
		ops.Go(func() { c.operate(changing, i) })
	}
	beside.Go(func() { w.scenario.cluster(playing, c) })
	beside.Go(func() { c.progress(playing) })
	began := time.Now()
	tries := clients.Run(playing)
	beside.Wait()
	stopChanging()
	ops.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	v = c.judge(ctx, tries, began)
	return v, nil
}

// instances are all that serve: members and followers.
func (c *clusterRun) instances() []*member { return slices.Concat(c.members, c.follow) }

// prepare makes certificates, links, files and addresses.
func (c *clusterRun) prepare() error {
	auth, err := raftnode.NewAuthority(clusterName)
	if err != nil {
		return err
	}
	certs := filepath.Join(c.dir, "certs")
	if err := os.Mkdir(certs, 0o700); err != nil {
		return err
	}
	if err := auth.Write(certs); err != nil {
		return err
	}
	for i := range c.w.members() + c.w.scenario.followers {
		m := &member{id: uint64(i + 1)}
		if i >= c.w.members() {
			m.follows = fmt.Sprint("edge-", m.id)
		}
		for _, at := range []*string{&m.listen, &m.admin, &m.raft, &m.site, &m.stream} {
			if *at, err = testserver.FreeAddr("tcp"); err != nil {
				return err
			}
		}
		if m.udp, err = testserver.FreeAddr("udp"); err != nil {
			return err
		}
		if m.follows == "" {
			c.members = append(c.members, m)
			err = auth.WriteMembers(certs, []uint64{m.id})
		} else {
			c.follow = append(c.follow, m)
			err = auth.WriteFollower(certs, m.follows)
		}
		if err != nil {
			return err
		}
		c.w.addrs = append(c.w.addrs, m.listen)
	}
	for i := range c.follow {
		for j, to := range c.members {
			if c.streams[[2]int{i, j}], err = newLink(to.stream); err != nil {
				return err
			}
		}
	}
	for i := range c.members {
		for j, to := range c.members {
			if i == j {
				continue
			}
			if c.links[[2]int{i, j}], err = newLink(to.raft); err != nil {
				return err
			}
			if c.w.scenario.sites && i%2 != j%2 {
				if c.ways[[2]int{i, j}], err = newLink(to.site); err != nil {
					return err
				}
			}
		}
	}
	for i, m := range c.instances() {
		if err := os.WriteFile(filepath.Join(c.dir, m.file()), []byte(c.config(i)), 0o600); err != nil {
			return err
		}
		if m.follows != "" {
			continue
		}
		if out, err := c.command("init", "--config", filepath.Join(c.dir, m.file()), "--new-cluster").CombinedOutput(); err != nil {
			return fmt.Errorf("init: %w: %s", err, out)
		}
	}
	for i := range operators {
		name := fmt.Sprint("op", i)
		if err := auth.WriteOperator(certs, name); err != nil {
			return err
		}
		creds, err := raftnode.LoadCredentialFiles(certs, raftnode.OperatorFilePrefix(name))
		if err != nil {
			return err
		}
		at := []string{}
		for k := range c.members { // each begins with another one
			at = append(at, c.members[(i+k)%len(c.members)].admin)
		}
		c.clients = append(c.clients, cluster.NewClient(clusterName, creds, at...))
	}
	return nil
}

func (m *member) file() string { return fmt.Sprintf("gate-%d.toml", m.id) }

// config words the file of a member.
func (c *clusterRun) config(i int) string {
	m := c.instances()[i]
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"gate-%d\"\nlisten = %q\nzone = %q\ninstance = %d\npeer_listen = %q\npeers = [", m.id, m.listen, hallName(i%2), i, m.udp)
	for _, o := range c.instances() {
		fmt.Fprintf(&b, "%q, ", o.udp)
	}
	fmt.Fprintf(&b, "]\naccess_log = \"access-%d.jsonl\"\n[limits]\ndrain_for = \"50ms\"\nanswer_slack = \"8ms\"\nmax_attempts = 5\n", m.id)
	b.WriteString("[servers]\ndrain_grace = \"250ms\"\n")
	if !c.w.opt.RampOff { // without these every server is warm, and halls have no bounds of their own
		b.WriteString("cold_from = 0.17\nramp_time = \"15s\"\nfall_multiple = 2.5\noverload_for = \"2s\"\n")
	}
	if m.follows != "" {
		fmt.Fprintf(&b, "[follow]\ncluster = %q\nname = %q\ndata = \"gate-%d.db\"\ncerts = \"certs\"\n", clusterName, m.follows, m.id)
		for j, o := range c.members {
			fmt.Fprintf(&b, "[[follow.member]]\nnumber = %d\nstream = %q\n", o.id, c.streams[[2]int{i - len(c.members), j}].addr())
		}
		return b.String()
	}
	fmt.Fprintf(&b, "[cluster]\nname = %q\nnumber = %d\ndata = \"gate-%d.db\"\ncerts = \"certs\"\ntick = %q\n", clusterName, m.id, m.id, memberTick)
	if c.w.opt.KeysAnywhere {
		b.WriteString("keys = \"anywhere\"\n")
	}
	if len(c.follow) > 0 {
		fmt.Fprintf(&b, "stream = %q\n", m.stream)
	}
	if i == len(c.members)-1 && !c.w.scenario.sites {
		fmt.Fprintf(&b, "stale_after = %q\nwhen_stale = \"refuse\"\n", shortStale)
	}
	if c.w.scenario.sites {
		fmt.Fprintf(&b, "[cluster.link]\nlisten = %q\n", m.site)
		for j, o := range c.members {
			if way := c.ways[[2]int{i, j}]; way != nil {
				fmt.Fprintf(&b, "[[cluster.link.far]]\nhall = %q\nmember = %d\naddress = %q\n", hallName(j%2), o.id, way.addr())
			}
		}
	}
	for j, o := range c.members {
		raft := o.raft
		if l := c.links[[2]int{i, j}]; l != nil {
			raft = l.addr()
		}
		fmt.Fprintf(&b, "[[cluster.member]]\nnumber = %d\nraft = %q\nadmin = %q\n", o.id, raft, o.admin)
	}
	return b.String()
}

// command is gateway with arguments.
func (c *clusterRun) command(args ...string) *exec.Cmd {
	cmd := exec.Command(c.w.opt.Program, args...)
	cmd.Env = append(os.Environ(), c.w.opt.Env...)
	return cmd
}

func (c *clusterRun) start(m *member) error {
	args := []string{"run", "--config", filepath.Join(c.dir, m.file())}
	if m.runs++; c.chaos {
		args = append(args, "--chaos", strconv.FormatUint(c.w.opt.Seed*1000+uint64(m.runs), 10))
	}
	m.cmd = c.command(args...)
	m.cmd.Stdout, m.cmd.Stderr = io.Discard, c.w.opt.Log
	// The instance must not outlive the lab.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.setDown()
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan error, 1)
	cmd, ended := m.cmd, m.ended
	go func() {
		err := cmd.Wait()
		m.endedAt(time.Now())
		ended <- err
	}()
	return nil
}

// endedAt notes that a member has ended. One that did so by itself closed its door a while
// before: it drained.
func (m *member) endedAt(at time.Time) {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n == 0 || !m.down[n-1].to.IsZero() {
		m.down = append(m.down, span{from: at.Add(-drainMost)})
	}
}

// setDown and up note when a member can't be expected to answer.
func (m *member) setDown() {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	if n := len(m.down); n == 0 || !m.down[n-1].to.IsZero() {
		m.down = append(m.down, span{from: time.Now()})
	}
}

func (m *member) up() {
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
	return slices.ContainsFunc(m.down, func(s span) bool { return s.from.Before(to) && (s.to.IsZero() || from.Before(s.to)) })
}

// kill ends a member with SIGKILL.
func (c *clusterRun) kill(m *member) {
	m.setDown()
	m.downMu.Lock()
	m.killed = append(m.killed, time.Now())
	m.downMu.Unlock()
	m.cmd.Process.Kill()
	<-m.ended
	c.mu.Lock()
	c.kills++
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
				m.up()
			}
			return err
		}
	}
}

var errEnded = errors.New("the instance has ended")

// ready asks a member's /health/ready.
func ready(ctx context.Context, m *member) bool {
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

func (c *clusterRun) awaitReady(ctx context.Context, m *member) error {
	for end := time.Now().Add(startMost); time.Now().Before(end); {
		select {
		case err := <-m.ended:
			m.ended <- err
			return fmt.Errorf("member %d: %w: %w", m.id, errEnded, err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if ready(ctx, m) {
			return nil
		}
	}
	return fmt.Errorf("member %d does not become ready", m.id)
}

// close ends all processes.
func (c *clusterRun) close() {
	for _, m := range c.instances() {
		if m.cmd != nil && m.cmd.Process != nil {
			m.cmd.Process.Kill()
			<-m.ended
		}
	}
	for _, l := range c.links {
		l.close()
	}
	for _, l := range c.ways {
		l.close()
	}
	for _, l := range c.streams {
		l.close()
	}
	for _, cl := range c.clients {
		cl.Close()
	}
}

// agree has the instances agree on what they serve at first.
func (c *clusterRun) agree(ctx context.Context, halls []gateway.Site) error {
	p := &clusterconfig.Proposal{ID: "begin", Reason: variantWhy(1)}
	for _, k := range classes() {
		p.Changes = append(p.Changes, clusterconfig.NewPutChange("class", k.Name, clusterconfig.Class{PriorityWeight: k.PriorityWeight, LateFraction: k.LateFraction, LatencyObjectiveMs: k.LatencyObjective.Milliseconds(), DeadlineMs: k.Deadline.Milliseconds()}))
	}
	for _, pl := range settings(0).Plans {
		p.Changes = append(p.Changes, clusterconfig.NewPutChange("plan", pl.Name, clusterconfig.Plan{Rate: pl.Rate, Burst: pl.Burst, HardLimitRate: pl.HardLimitRate, HardLimitBurst: pl.HardLimitBurst,
			HardLimitSlack: pl.HardLimitSlack, PriorityFactor: pl.PriorityFactor, OverQuotaFraction: pl.OverQuotaFraction, OverQuotaCost: pl.OverQuotaCost}))
	}
	for _, l := range licensees() {
		p.Changes = append(p.Changes, clusterconfig.NewPutChange("licensee", l.Name, clusterconfig.Licensee{Plan: l.Plan}))
	}
	for _, m := range c.follow {
		p.Changes = append(p.Changes, clusterconfig.NewPutChange("follower", m.follows, clusterconfig.Follower{}))
	}
	for _, h := range halls {
		p.Changes = append(p.Changes, clusterconfig.NewPutChange("hall", h.Name, clusterconfig.Site{DiscoveryAddress: h.Discovery.String()}))
	}
	p.Changes = append(p.Changes, clusterconfig.NewPutChange("description", "booking", clusterconfig.Description{File: "booking.yaml", Text: string(variant(1, false))}))
	ctx, cancel := context.WithTimeout(ctx, startMost)
	defer cancel()
	for {
		o, err := c.clients[0].Propose(ctx, p)
		if err == nil && !o.IsApplied {
			err = errors.New(o.RejectionReason)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the first configuration: %w", err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func variantWhy(n int) string { return "variant " + strconv.Itoa(n) }

// variantOf is the variant of the description that is in force from a record on, or 0.
func variantOf(r clusterconfig.HistoryRecord) int {
	if text, ok := strings.CutPrefix(r.Reason, "variant "); ok {
		n, _ := strconv.Atoi(text)
		return n
	}
	return 0
}

// operate is one operator: it changes descriptions, plans and licensees at random moments,
// some against the version it has read, some bad, and reads.
func (c *clusterRun) operate(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(c.w.opt.Seed, uint64(100+i)))
	cl, gap := c.clients[i], operatorGap
	if c.w.scenario.small {
		gap *= 10
	}
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(gap))):
		}
		o := order{id: fmt.Sprintf("op%d-%d", i, n), call: time.Now()}
		p := &clusterconfig.Proposal{ID: o.id}
		one, cancel := context.WithTimeout(ctx, 4*time.Second)
		var err error
		switch x := rng.Float64(); {
		case x < 0.1:
			var objects cluster.Objects
			objects, err = cl.Objects(one, false)
			o.version, o.read = objects.Version, true
		case x < 0.2: // a description: three prices, and a class that is new
			v := 2 + rng.IntN(20)
			p.Reason = variantWhy(v)
			p.Changes = []clusterconfig.Change{clusterconfig.NewPutChange("description", "booking", clusterconfig.Description{File: "booking.yaml", Text: string(variant(v, false))})}
		case x < 0.3: // bad: refused by all alike
			p.Changes = []clusterconfig.Change{clusterconfig.NewPutChange("licensee", "bad", clusterconfig.Licensee{Plan: "none"})}
		case x < 0.5: // a plan that comes and goes
			p.Changes = []clusterconfig.Change{clusterconfig.NewPutChange("plan", fmt.Sprint("trial-", rng.IntN(5)), clusterconfig.Plan{Rate: 1, Burst: 5, PriorityFactor: 1})}
		case x < 0.6:
			p.Changes = []clusterconfig.Change{{Op: "remove", Kind: "plan", Name: fmt.Sprint("trial-", rng.IntN(5))}}
		case x < 0.8:
			p.Changes = []clusterconfig.Change{clusterconfig.NewPutChange("plan", "msingi", clusterconfig.Plan{Rate: 6, Burst: 20 + float64(rng.IntN(8)), PriorityFactor: 0.88, OverQuotaFraction: 0.3})}
		default: // against what it has read
			var objects cluster.Objects
			if objects, err = cl.Objects(one, false); err == nil {
				p.BaseVersion = &objects.Version
				p.Changes = []clusterconfig.Change{clusterconfig.NewPutChange("licensee", fmt.Sprint("new-", i), clusterconfig.Licensee{Plan: "kati"})}
			}
		}
		if err == nil && !o.read {
			for { // until its answer is known: the same id, so that it takes place once
				var out clusterconfig.Outcome
				out, err = cl.Propose(one, p)
				o.version, o.applied = out.Version, out.IsApplied
				if a, ok := errors.AsType[*cluster.ResponseError](err); err == nil || ok && a.Status == http.StatusConflict || one.Err() != nil {
					break
				}
				select {
				case <-one.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		}
		cancel()
		o.ret, o.known = time.Now(), err == nil
		c.mu.Lock()
		c.orders = append(c.orders, o)
		c.mu.Unlock()
	}
}

// applied counts the changes that operators know to be applied, and the last of them.
func (c *clusterRun) applied() (n int, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.orders {
		if o.applied {
			n++
			if o.ret.After(last) {
				last = o.ret
			}
		}
	}
	return n, last
}

func (c *clusterRun) note(format string, args ...any) {
	c.w.mu.Lock()
	c.w.notes = append(c.w.notes, fmt.Sprintf(format, args...))
	c.w.mu.Unlock()
}

// leader finds the member that leads, by its own word.
func (c *clusterRun) leader(ctx context.Context) *member {
	for ctx.Err() == nil {
		for _, m := range c.members {
			if s, err := c.status(ctx, m); err == nil && s.Leader == m.id {
				return m
			}
		}
		pause(ctx, 10*time.Millisecond)
	}
	return nil
}

func (c *clusterRun) status(ctx context.Context, m *member) (cluster.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.clients[0].StatusAt(ctx, m.admin)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// cutOff cuts a member off from all others, or heals its links.
func (c *clusterRun) cutOff(m *member, cut bool) {
	for way, l := range c.links {
		if way[0] == int(m.id-1) || way[1] == int(m.id-1) {
			l.setCut(cut)
		}
	}
}

// leaderLost kills the leader in the middle of changes, three times, and restarts it.
func leaderLost(ctx context.Context, c *clusterRun) {
	for range 3 {
		pause(ctx, c.w.opt.For/6)
		m := c.leader(ctx)
		if m == nil || ctx.Err() != nil {
			return
		}
		before, _ := c.applied()
		c.kill(m)
		at := time.Now()
		for n, last := c.applied(); n <= before || !last.After(at); n, last = c.applied() {
			if pause(ctx, 2*time.Millisecond); ctx.Err() != nil || time.Since(at) > 5*time.Second {
				c.note("no change was applied within %v of the leader's kill", time.Since(at))
				return
			}
		}
		c.mu.Lock()
		c.gaps = append(c.gaps, time.Since(at))
		c.mu.Unlock()
		pause(ctx, c.w.opt.For/12)
		if err := c.restart(context.WithoutCancel(ctx), m); err != nil {
			c.note("%v", err)
			return
		}
	}
}

// minorityCut cuts off a member that then serves on and one that then refuses.
func minorityCut(ctx context.Context, c *clusterRun) {
	for _, i := range []int{0, len(c.members) - 1} {
		m := c.members[i]
		pause(ctx, c.w.opt.For/10)
		c.cutOff(m, true)
		if i == 0 {
			pause(ctx, shortStale+500*time.Millisecond)
			if age := c.toldAge(ctx, m); ctx.Err() == nil && age < shortStale.Seconds() {
				c.note("member %d is cut off for %v and tells an age of %v s", m.id, shortStale, age)
			}
			if !ready(ctx, m) && ctx.Err() == nil {
				c.note("member %d is cut off, may serve on and does not", m.id)
			}
		} else {
			if !ready(ctx, m) && ctx.Err() == nil {
				c.note("member %d refuses before its bound", m.id)
			}
			pause(ctx, shortStale+500*time.Millisecond)
			if ready(ctx, m) && ctx.Err() == nil {
				c.note("member %d serves past its bound", m.id)
			}
		}
		c.cutOff(m, false)
		healed := time.Now()
		for ctx.Err() == nil {
			if s, err := c.status(ctx, m); err == nil && s.IsServing && s.ConfirmedAgeMs < 500 {
				break
			}
			if pause(ctx, 5*time.Millisecond); time.Since(healed) > 3*time.Second {
				c.note("member %d does not catch up after its links healed", m.id)
				return
			}
		}
	}
}

// toldAge asks a member for a slot and returns the configuration's age that it tells.
func (c *clusterRun) toldAge(ctx context.Context, m *member) float64 {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if h, err := m.told(ctx); err == nil {
			if age, err := strconv.ParseFloat(h.Get("X-Mulleinmux-Config-Age"), 64); err == nil {
				return age
			}
		}
		pause(ctx, 50*time.Millisecond)
	}
	return -1
}

// rollingRestart restarts each member in turn, as for an update.
func rollingRestart(ctx context.Context, c *clusterRun) {
	for _, m := range c.members {
		pause(ctx, c.w.opt.For/12)
		m.setDown()
		m.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-m.ended:
			if m.ended <- err; err != nil {
				c.note("member %d: %v", m.id, err)
			}
		case <-time.After(10 * time.Second):
			c.note("member %d does not end", m.id)
			return
		}
		if err := c.restart(context.WithoutCancel(ctx), m); err != nil {
			c.note("%v", err)
			return
		}
	}
}

// stubbornMix is calmMix with clients that repeat a booking after any failure, at any instance.
func stubbornMix() []testserver.Ask {
	asks := calmMix()
	for i := range asks {
		asks[i].Repeat = true
	}
	return asks
}

// killedHoldingKeys is hallCloses with an instance killed as each hall closes: what it has sent
// and not told dies with it.
func killedHoldingKeys(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	strike, cancel := context.WithDeadline(ctx, until.Add(-c.w.opt.For/6))
	defer cancel()
	c.closing = func() {
		m := c.members[c.rng.IntN(len(c.members))]
		c.kill(m)
		pause(strike, time.Duration(c.rng.IntN(600))*time.Millisecond)
		if err := c.restart(context.WithoutCancel(ctx), m); err != nil {
			c.note("%v", err)
		}
	}
	hallCloses(strike, c)
}

// hallCloses closes one hall after the other for keys, and opens it again.
func hallCloses(ctx context.Context, c *clusterRun) {
	for n := 0; ctx.Err() == nil; n++ {
		h := c.w.halls[n%2]
		for _, closed := range []bool{true, false} {
			pause(ctx, time.Duration(300+c.rng.IntN(900))*time.Millisecond)
			if ctx.Err() != nil {
				return
			}
			p := &clusterconfig.Proposal{ID: fmt.Sprintf("hall-%d-%v", n, closed), Changes: []clusterconfig.Change{clusterconfig.NewPutChange("hall", h.Name, clusterconfig.Site{DiscoveryAddress: h.Register.Addr().String(), IsClosed: closed})}}
			one, cancel := context.WithTimeout(context.WithoutCancel(ctx), 4*time.Second)
			_, err := c.clients[0].Propose(one, p)
			if cancel(); err != nil {
				c.note("%s: %v", p.ID, err)
			}
			if closed && c.closing != nil {
				c.closing()
			}
		}
	}
}

// hallLost has one hall fall silent after the other. The instances must find out, agree on it and
// move its keys, and take it back once it answers again.
func hallLost(ctx context.Context, c *clusterRun) {
	c.loseHalls(ctx, func(int) int { return []int{-1, perHall}[c.rng.IntN(2)] })
}

// hallReturnsEmpty is hallLost with halls that come back with cold servers alone: one, all, half of
// them, and twice in a row.
func hallReturnsEmpty(ctx context.Context, c *clusterRun) {
	c.loseHalls(ctx, func(n int) int { return []int{1, perHall, perHall / 2}[n%3] })
}

// serversReplaced has the warm servers of a hall end a moment after a cold one has come, with the crowd that they served.
func serversReplaced(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	h := c.w.halls[c.rng.IntN(2)]
	pause(ctx, c.w.opt.For/2)
	if _, err := h.Start("cold", true); err != nil {
		c.note("%v", err)
	}
	pause(ctx, time.Duration(300+c.rng.IntN(700))*time.Millisecond)
	for n := range c.w.servers() {
		h.Kill(fmt.Sprintf("s%d", n))
	}
	pause(ctx, time.Until(until))
}

// flapping has one hall fall silent and come back by the seed, for as long as the scenario lasts.
func flapping(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.w.opt.For / 4)
	h := c.w.halls[c.rng.IntN(2)]
	for cut := true; time.Now().Before(until) && ctx.Err() == nil; cut = !cut {
		h.Cut(cut)
		pause(ctx, time.Duration(100+c.rng.IntN(1400))*time.Millisecond)
		c.flaps++
	}
	h.Cut(false)
}

// loseHalls has halls fall silent in turn and come back with as many cold servers as back tells,
// or as they were where that is below 0.
func (c *clusterRun) loseHalls(ctx context.Context, back func(n int) int) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.w.opt.For / 8)
	var last *testserver.Hall
	for n := 0; ; n++ {
		pause(ctx, time.Duration(1500+c.rng.IntN(1000))*time.Millisecond)
		if time.Until(until) < 4*time.Second+time.Second<<n || ctx.Err() != nil { // the hold doubles
			return
		}
		h := c.w.halls[c.rng.IntN(2)]
		if n > 0 && c.rng.IntN(2) == 0 {
			h = last // twice in a row
		}
		last = h
		began := time.Now()
		h.Cut(true)
		gone, ok := c.awaitLost(ctx, h.Name, true, began)
		pause(ctx, time.Duration(300+c.rng.IntN(1200))*time.Millisecond)
		if servers := back(n); servers >= 0 {
			ids := []string{}
			for k := range servers {
				ids = append(ids, fmt.Sprintf("r%d-%d", n, k))
			}
			if err := h.Empty(ids...); err != nil {
				c.note("%v", err)
			}
		}
		began = time.Now()
		h.Cut(false)
		returned, ok2 := c.awaitLost(ctx, h.Name, false, began)
		if ctx.Err() != nil {
			return
		}
		if !ok || !ok2 {
			c.note("loss %d: %s was not agreed to be lost and back: %v, %v", n+1, h.Name, ok, ok2)
			return
		}
		c.mu.Lock()
		c.losses = append(c.losses, [2]time.Duration{gone, returned})
		c.mu.Unlock()
	}
}

// linkDrops has the ways between the sites fall silent and break, each for itself, until the end is near.
func linkDrops(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.w.opt.For / 6)
	for time.Now().Before(until) && ctx.Err() == nil {
		for _, way := range c.ways {
			if c.rng.IntN(2) == 0 {
				way.setCut(true)
			}
		}
		pause(ctx, time.Duration(20+c.rng.IntN(200))*time.Millisecond)
		for _, way := range c.ways {
			way.setCut(false)
		}
		c.flaps++
		pause(ctx, time.Duration(100+c.rng.IntN(500))*time.Millisecond)
	}
}

// bothCut cuts the sites from each other, for clients' requests and for the members' own messages, in the middle third.
// Each must go on with the bookings whose home is its own hall.
func bothCut(ctx context.Context, c *clusterRun) {
	pause(ctx, c.w.opt.For/2)
	c.cutSites(true)
	pause(ctx, cutSettles)
	from := time.Now()
	pause(ctx, c.w.opt.For/3-cutSettles)
	c.alone = append(c.alone, span{from, time.Now()})
	c.cutSites(false)
}

// startsWithout is for how long instances that have just started take no bookings.
const startsWithout = 4 * time.Second

// cutSettles is how long after a cut nobody can be confirmed by a majority any more.
const cutSettles = 1500 * time.Millisecond

func (c *clusterRun) cutSites(cut bool) {
	for way, l := range c.links {
		if way[0]%2 != way[1]%2 {
			l.setCut(cut)
		}
	}
	for _, way := range c.ways {
		way.setCut(cut)
	}
}

// lossMost is the longest that a loss, or a return, may stay unknown in the lab, with the hold of the third loss.
const lossMost = 6 * time.Second

// awaitLost waits until it is agreed whether a hall is lost.
func (c *clusterRun) awaitLost(ctx context.Context, hall string, lost bool, began time.Time) (time.Duration, bool) {
	for time.Since(began) < lossMost && ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, time.Second)
		o, err := c.clients[0].Objects(one, false)
		cancel()
		text, is := o.Objects["lost"][hall]
		var l clusterconfig.LostSite
		if is && json.Unmarshal(text, &l) == nil && l.RecoveredEighths > 0 {
			is = false // it takes a part of its keys again
		}
		if err == nil && is == lost {
			return time.Since(began), true
		}
		pause(ctx, 10*time.Millisecond)
	}
	return 0, false
}

// chaosConfig kills, cuts and heals by the seed until the time is over.
func chaosConfig(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.w.opt.For / 6)
	after := context.WithoutCancel(ctx)
	for time.Now().Before(until) && ctx.Err() == nil {
		for _, m := range c.members { // one whose disk failed has ended
			select {
			case err := <-m.ended:
				m.ended <- err
				c.failed++
				m.setDown()
				if err := c.restart(after, m); err != nil {
					c.note("%v", err)
					return
				}
			default:
			}
		}
		m := c.members[c.rng.IntN(len(c.members))]
		other := (int(m.id) + c.rng.IntN(len(c.members)-1)) % len(c.members)
		switch c.rng.IntN(4) {
		case 0:
			c.kill(m)
			pause(ctx, time.Duration(c.rng.IntN(400))*time.Millisecond)
			if err := c.restart(after, m); err != nil {
				c.note("%v", err)
				return
			}
		case 1: // one-way
			c.links[[2]int{int(m.id - 1), other}].setCut(true)
			pause(ctx, time.Duration(300+c.rng.IntN(700))*time.Millisecond)
			c.links[[2]int{int(m.id - 1), other}].setCut(false)
		case 2:
			c.cutOff(m, true)
			pause(ctx, time.Duration(300+c.rng.IntN(700))*time.Millisecond)
			c.cutOff(m, false)
		default: // a kill while the others are cut from each other
			l := c.links[[2]int{other, int(m.id - 1)}]
			l.setCut(true)
			pause(ctx, 200*time.Millisecond)
			c.kill(c.members[other])
			l.setCut(false)
			if err := c.restart(after, c.members[other]); err != nil {
				c.note("%v", err)
				return
			}
		}
		pause(ctx, time.Duration(100+c.rng.IntN(300))*time.Millisecond)
	}
}

func (c *clusterRun) progress(ctx context.Context) {
	for n := 1; ; n++ {
		if pause(ctx, time.Second); ctx.Err() != nil {
			return
		}
		if c.w.opt.Progress == nil {
			continue
		}
		applied, _ := c.applied()
		c.mu.Lock()
		kills := c.kills
		c.mu.Unlock()
		c.w.opt.Progress(fmt.Sprintf("%s %ds of %v: %d changes agreed on, %d kills, %d requests at the halls", c.w.scenario.Name, n, c.w.opt.For, applied, kills, len(c.w.ledger.Arrivals())))
	}
}

// judge waits until all members are of one mind and judges the run.
func (c *clusterRun) judge(ctx context.Context, tries []testserver.Try, began time.Time) *Verdict {
	w := c.w
	v := &Verdict{Scenario: w.scenario.Name, Seed: w.opt.Seed, Figures: map[string]float64{}, Rules: map[string]int{
		"one_answer": 0, "no_effect_twice": 0, "drains": 0, "cold_servers": 0, "ceilings": 0,
		"units": 0, "operations": 0, "versions": 0, "one_mind": 0, "changes": 0, "scenario": 0}}
	j := &judge{v}
	history := c.oneMind(ctx, j)
	c.followed(ctx, j)
	arrivals := w.ledger.Arrivals()
	slices.SortStableFunc(arrivals, func(a, b testserver.Arrival) int { return a.At.Compare(b.At) })
	byTrace := map[string][]testserver.Arrival{}
	for _, a := range arrivals {
		byTrace[a.Trace] = append(byTrace[a.Trace], a)
	}
	at := map[string]*member{}
	for _, m := range c.instances() {
		at[m.listen] = m
	}
	excused := 0
	j.answers(tries, func(t testserver.Try) bool {
		down := at[t.Instance].wasDown(t.At, t.Ended)
		if down {
			excused++
		}
		return down
	})
	j.effects(arrivals, byTrace)
	for _, s := range w.ledger.Strays() {
		j.broken("operations", "the halls know no operation for %s", s)
	}
	for _, s := range w.ledger.Fallen() {
		j.broken("cold_servers", "%s was pushed over", s)
	}
	j.ceilings(byTrace)
	c.charged(j, byTrace, tries, at, history)
	versionOrder(j, tries, byTrace)
	c.judgeOrders(j, history)
	for _, n := range w.notes {
		j.broken("scenario", "%s", n)
	}
	j.figures(tries, len(arrivals), time.Since(began))
	n, _ := c.applied()
	v.Figures["changes"], v.Figures["kills"], v.Figures["no_answer_while_down"] = float64(n), float64(c.kills), float64(excused)
	v.Figures["disks_failed"] = float64(c.failed)
	for i, g := range c.gaps {
		v.Figures[fmt.Sprint("kill_to_change_ms_", i+1)] = math.Round(g.Seconds() * 1000)
	}
	for i, l := range c.losses {
		v.Figures[fmt.Sprint("hall_lost_ms_", i+1)] = math.Round(l[0].Seconds() * 1000)
		v.Figures[fmt.Sprint("hall_back_ms_", i+1)] = math.Round(l[1].Seconds() * 1000)
	}
	if c.surge != nil {
		c.surge.figures(j, tries, arrivals, byTrace, w.servers(), w.cores())
	}
	for _, s := range c.alone {
		c.judgeAlone(j, s, arrivals)
	}
	if c.flaps > 0 && w.scenario.Name == "flapping" {
		// A loss takes half a second of silence, a return a hold that doubles.
		lost, most := 0, 0
		for _, r := range history {
			if slices.ContainsFunc(r.Changes, func(s string) bool { return strings.HasPrefix(s, "put lost") }) && strings.Contains(r.Reason, "silence") {
				lost++
			}
		}
		for spent := time.Duration(0); spent < w.opt.For; most++ {
			spent += 500*time.Millisecond + time.Second<<min(most, 5)
		}
		if v.Figures["flaps"], v.Figures["losses_agreed"], v.Figures["losses_at_most"] = float64(c.flaps), float64(lost), float64(most); lost > most {
			j.broken("scenario", "the halls were agreed to be lost %d times; their holds allow %d", lost, most)
		}
	}
	v.OK = true
	for _, n := range v.Rules {
		v.OK = v.OK && n == 0
	}
	return v
}

// judgeAlone wants bookings served at both halls while the sites were cut from each other.
func (c *clusterRun) judgeAlone(j *judge, s span, arrivals []testserver.Arrival) {
	booked := map[string]int{}
	for _, a := range arrivals {
		if a.Effected && a.Effect == "keyed" && a.At.After(s.from) && a.At.Before(s.to) {
			booked[a.Hall]++
		}
	}
	for _, h := range c.w.halls {
		if j.v.Figures["booked_alone_"+h.Name] = float64(booked[h.Name]); booked[h.Name] == 0 {
			j.broken("scenario", "%s took no bookings while the sites were cut from each other", h.Name)
		}
	}
}

// oneMind waits until all members have the same version and chain, and returns the history.
func (c *clusterRun) oneMind(ctx context.Context, j *judge) []clusterconfig.HistoryRecord {
	for _, l := range c.links {
		l.setCut(false)
	}
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	for {
		seen, same := "", 0
		for _, m := range c.members {
			select {
			case err := <-m.ended: // its disk failed of late
				if m.ended <- err; c.chaos {
					c.failed++
					m.setDown()
					if err := c.start(m); err != nil {
						j.broken("one_mind", "%v", err)
					}
				}
			default:
			}
			s, err := c.status(ctx, m)
			if err != nil || s.InstalledVersion != s.Version {
				break
			}
			mind := fmt.Sprintf("%d %s", s.Version, s.Hash)
			if same == 0 || mind == seen {
				seen = mind
				same++
			}
		}
		if same == len(c.members) {
			break
		}
		if pause(ctx, 20*time.Millisecond); ctx.Err() != nil {
			j.broken("one_mind", "the members are not of one mind %v after the last change: the last seen is %s", settle, seen)
			return nil
		}
	}
	h, err := c.clients[0].History(ctx)
	if err != nil {
		j.broken("one_mind", "history: %v", err)
	}
	return h
}

// followed waits until every member says of every follower that it runs the newest version, and holds that against what the
// follower itself answers.
func (c *clusterRun) followed(ctx context.Context, j *judge) {
	for _, l := range c.streams {
		l.setCut(false)
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	for len(c.follow) > 0 {
		said := ""
		for _, cl := range c.clients { // each asks another member first
			fs, err := cl.Followers(ctx)
			if err != nil {
				said += err.Error() + "; "
			}
			for _, f := range c.follow {
				i := slices.IndexFunc(fs.Followers, func(s configstream.StreamStatus) bool { return s.Name == f.follows })
				if i < 0 || fs.Followers[i].State != "running" || fs.Followers[i].Running.Number != fs.NewestVersion {
					said += fmt.Sprintf("member %d has version %d, and %s: %+v; ", fs.MemberID, fs.NewestVersion, f.follows, fs.Followers)
				} else if v, err := versionAt(ctx, f); err != nil || v != fs.NewestVersion {
					said += fmt.Sprintf("member %d says that %s runs %d, and it runs %d: %v; ", fs.MemberID, f.follows, fs.NewestVersion, v, err)
				}
			}
		}
		if said == "" {
			j.v.Figures["followed_s"] = math.Round(time.Since(began).Seconds()*10) / 10
			return
		}
		if pause(ctx, 50*time.Millisecond); ctx.Err() != nil {
			j.broken("one_mind", "the followers do not run what the members agree on %v after the last fault: %s", settle, said)
			return
		}
	}
}

// versionAt asks an instance which version it serves on.
func versionAt(ctx context.Context, m *member) (uint64, error) {
	h, err := m.told(ctx)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(h.Get("X-Mulleinmux-Version"), 10, 64)
}

// told asks an instance for an installer and returns what its answer tells of the configuration.
func (m *member) told(ctx context.Context) (http.Header, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.listen+"/v1/installers/i1", nil)
	if err != nil {
		return nil, err
	}
	r.Close = true
	r.Header.Set("X-Licensee", "kati-0")
	r.Header.Set("X-Mulleinmux-Explain", "1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	resp.Body.Close()
	return resp.Header, nil
}

// streamBreaks has the ways from followers to members fall silent, each for itself.
func streamBreaks(ctx context.Context, c *clusterRun) {
	for until := c.quietFrom(ctx); time.Now().Before(until) && ctx.Err() == nil; {
		for _, l := range c.streams {
			l.setCut(c.rng.IntN(3) == 0)
		}
		pause(ctx, time.Duration(100+c.rng.IntN(500))*time.Millisecond)
	}
}

// quietFrom is when the faults of a scenario end.
func (c *clusterRun) quietFrom(ctx context.Context) time.Time {
	until, _ := ctx.Deadline()
	return until.Add(-c.w.opt.For / 4)
}

// killing kills one of some instances after the other, and starts it again.
func killing(of func(c *clusterRun) []*member) func(context.Context, *clusterRun) {
	return func(ctx context.Context, c *clusterRun) {
		for until := c.quietFrom(ctx); time.Now().Before(until) && ctx.Err() == nil; {
			pause(ctx, time.Duration(200+c.rng.IntN(800))*time.Millisecond)
			all := of(c)
			m := all[c.rng.IntN(len(all))]
			c.kill(m)
			pause(ctx, time.Duration(c.rng.IntN(1000))*time.Millisecond)
			if err := c.restart(context.WithoutCancel(ctx), m); err != nil {
				c.note("%v", err)
				return
			}
		}
	}
}

// charged holds the instances' records against the halls and the history: each request that
// reached a hall was charged once, at the price of the version that it was matched with.
// Records that a killed instance did not get to write are missed.
func (c *clusterRun) charged(j *judge, byTrace map[string][]testserver.Arrival, tries []testserver.Try, at map[string]*member, history []clusterconfig.HistoryRecord) {
	variants := map[uint64]int{}
	now := 1
	for _, r := range history {
		if v := variantOf(r); v > 0 {
			now = v
		}
		variants[r.Version] = now
	}
	records := map[string]gateway.RequestRecord{}
	for _, m := range c.instances() {
		f, err := os.Open(filepath.Join(c.dir, fmt.Sprintf("access-%d.jsonl", m.id)))
		if err != nil {
			j.broken("scenario", "%v", err)
			continue
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			var r gateway.RequestRecord
			if json.Unmarshal(lines.Bytes(), &r) != nil || r.Trace == "" {
				continue // the half of a line, of an instance that was killed
			}
			if _, twice := records[r.Trace]; twice {
				j.broken("one_answer", "%s was answered twice by the instances", r.Trace)
			}
			records[r.Trace] = r
		}
		f.Close()
	}
	by := map[string]testserver.Try{}
	for _, t := range tries {
		by[t.Trace] = t
	}
	keyed, forKey := 0, 0
	for _, t := range tries {
		if t.Operation == "bookVisit" && t.At.Sub(tries[0].At) > startsWithout {
			if keyed++; records[t.Trace].KeyRejection != "" {
				forKey++
			}
		}
	}
	if keyed > 0 {
		j.v.Figures["refused_for_key_share"] = math.Round(float64(forKey)/float64(keyed)*10000) / 10000
	}
	missed := 0
	for trace, as := range byTrace {
		first := as[0]
		r, ok := records[trace]
		if t, asked := by[trace]; !ok && asked {
			m := at[t.Instance]
			m.downMu.Lock()
			lost := slices.ContainsFunc(m.killed, func(k time.Time) bool { return t.At.Before(k) && k.Sub(t.Ended) < lostLog })
			m.downMu.Unlock()
			if missed++; !lost && time.Since(t.Ended) > lostLog {
				j.broken("units", "%s (%s) reached %s and was charged by no instance", trace, first.Operation, first.Hall)
			}
			continue
		} else if !asked {
			continue // the lab's own
		}
		variant, known := variants[r.Version]
		want := changingPrice(variant, first.Operation, first.Units)
		j.v.UnitsDeclared += want
		j.v.UnitsCounted += r.Units
		switch {
		case !known:
			j.broken("versions", "%s was matched with version %d, which is not in the history", trace, r.Version)
		case !r.Sent || r.Operation != first.Operation:
			j.broken("operations", "%s was charged as %s (sent: %v) and reached %s as %s", trace, r.Operation, r.Sent, first.Hall, first.Operation)
		case r.Units != want:
			j.broken("units", "%s (%s, version %d, variant %d) was charged %d units; %d are right", trace, r.Operation, r.Version, variant, r.Units, want)
		}
		for _, a := range as {
			if uint64(a.Version) != r.Version {
				j.broken("versions", "%s was matched with version %d and sent on with %d", trace, r.Version, a.Version)
			}
		}
	}
	j.v.Figures["records_lost_with_kills"] = float64(missed)
}

// versionOrder checks, on the halls' record, that no instance routes a request with an older
// version than one that it had answered a client on before the request began.
func versionOrder(j *judge, tries []testserver.Try, byTrace map[string][]testserver.Arrival) {
	type event struct {
		at      time.Time
		trace   string
		version int
		ended   bool
	}
	byInstance := map[string][]event{}
	for _, t := range tries {
		as := byTrace[t.Trace]
		if len(as) == 0 {
			continue
		}
		for _, a := range as {
			byInstance[t.Instance] = append(byInstance[t.Instance], event{t.At, t.Trace, a.Version, false})
		}
		if t.Served {
			byInstance[t.Instance] = append(byInstance[t.Instance], event{t.Ended, t.Trace, as[len(as)-1].Version, true})
		}
	}
	for name, es := range byInstance {
		slices.SortStableFunc(es, func(a, b event) int { return a.at.Compare(b.at) })
		newest := 0
		for _, e := range es {
			if e.ended {
				newest = max(newest, e.version)
			} else if e.version < newest {
				j.broken("versions", "%s was routed with version %d at %s, which had answered on %d", e.trace, e.version, name, newest)
			}
		}
	}
}

// judgeOrders checks operators' asks: what was answered as applied is in the history, once
// and as the version told; asks are in the order of real time.
func (c *clusterRun) judgeOrders(j *judge, history []clusterconfig.HistoryRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(history) == 0 {
		return
	}
	version := map[string]uint64{}
	for _, r := range history {
		if _, twice := version[r.ID]; twice {
			j.broken("changes", "%s stands twice in the history", r.ID)
		}
		version[r.ID] = r.Version
	}
	type event struct {
		at  time.Time
		o   order
		ret bool
	}
	var es []event
	for _, o := range c.orders {
		if !o.known {
			continue
		}
		if o.applied && version[o.id] != o.version && o.version >= history[0].Version {
			j.broken("changes", "%s was answered as version %d; the history has it as %d (0: lost)", o.id, o.version, version[o.id])
		}
		es = append(es, event{o.call, o, false}, event{o.ret, o, true})
	}
	slices.SortStableFunc(es, func(a, b event) int { return a.at.Compare(b.at) })
	newest := uint64(0)
	floor := map[string]uint64{}
	for _, e := range es {
		if !e.ret {
			floor[e.o.id] = newest
			continue
		}
		if e.o.version < floor[e.o.id] || e.o.applied && e.o.version == floor[e.o.id] {
			j.broken("changes", "%s was answered version %d after another ask had ended on %d", e.o.id, e.o.version, floor[e.o.id])
		}
		newest = max(newest, e.o.version)
	}
}
