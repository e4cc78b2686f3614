// Package gatefile reads the operators' file of a gateway instance (TOML). An error names
// the file, the line and the field, and nothing of a file that has one is used.
package gatewayconfig

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gateway"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// File is a file that was read.
type File struct {
	Config      gateway.Config
	Description string // file name of the description, as written
	AccessLog   string // file name of the access log, as written; empty: none
	Member      *MemberConfig
	Follower    *FollowerConfig
}

// FollowerConfig is the place of an instance that is no member of a cluster and is told what its members agree on.
type FollowerConfig struct {
	Cluster, Name       string
	DataFile, CertDir   string            // file and folder, as written
	MemberStreamAddrs   map[uint64]string // addresses of their streams
	DisableKeyOwnership bool
}

// MemberConfig is an instance's place among those that agree on what they serve. Without it the
// file itself says that.
type MemberConfig struct {
	Cluster           string
	MemberID          uint64
	DataFile, CertDir string // file and folder, as written
	TickInterval      time.Duration
	Members           map[uint64]clusterconfig.Member
	StreamListenAddr  string // address for followers; empty: none are served

	DisableKeyOwnership bool
}

// duration is a struct so that a bare number is no duration.
type duration struct{ d time.Duration }

func (d *duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	if err != nil || t < 0 {
		return fmt.Errorf("%q is no duration: write it with a unit, such as \"400ms\"", text)
	}
	d.d = t
	return nil
}

// raw is the form of the file.
type raw struct {
	Name       string   `toml:"name"`
	Listen     string   `toml:"listen"`
	Zone       string   `toml:"zone"`
	Instance   int      `toml:"instance"`
	PeerListen string   `toml:"peer_listen"`
	Peers      []string `toml:"peers"`
	Validate   string   `toml:"validate"`
	AccessLog  string   `toml:"access_log"`
	Seed       uint64   `toml:"seed"`
	Limits     struct {
		Clients        int      `toml:"clients"`
		Servers        int      `toml:"servers"`
		ConnectTimeout duration `toml:"connect_timeout"`
		ConnIdle       duration `toml:"conn_idle"`
		DrainFor       duration `toml:"drain_for"`
		MostUnits      int      `toml:"most_units"`
		MaxAttempts    int      `toml:"max_attempts"`
		InboxPerS      float64  `toml:"inbox_per_s"`
		MaxRetryAfter  duration `toml:"max_retry_after"`
		AnswerSlack    duration `toml:"answer_slack"`
	} `toml:"limits"`
	Servers struct {
		DrainGrace   duration `toml:"drain_grace"`
		ColdFrom     float64  `toml:"cold_from"`
		RampTime     duration `toml:"ramp_time"`
		FallMultiple float64  `toml:"fall_multiple"`
		OverloadFor  duration `toml:"overload_for"`
	} `toml:"servers"`
	Cluster *struct {
		Name       string   `toml:"name"`
		Number     uint64   `toml:"number"`
		Data       string   `toml:"data"`
		Certs      string   `toml:"certs"`
		Tick       duration `toml:"tick"`
		StaleAfter duration `toml:"stale_after"`
		WhenStale  string   `toml:"when_stale"`
		Keys       string   `toml:"keys"`
		Stream     string   `toml:"stream"`
		Link       *struct {
			Listen string `toml:"listen"`
			Most   int    `toml:"most"`
			Far    []struct {
				Hall    string `toml:"hall"`
				Member  uint64 `toml:"member"`
				Address string `toml:"address"`
			} `toml:"far"`
		} `toml:"link"`
		Members []struct {
			Number uint64 `toml:"number"`
			Raft   string `toml:"raft"`
			Admin  string `toml:"admin"`
		} `toml:"member"`
	} `toml:"cluster"`
	Follow *struct {
		Cluster    string   `toml:"cluster"`
		Name       string   `toml:"name"`
		Data       string   `toml:"data"`
		Certs      string   `toml:"certs"`
		StaleAfter duration `toml:"stale_after"`
		WhenStale  string   `toml:"when_stale"`
		Keys       string   `toml:"keys"`
		Members    []struct {
			Number uint64 `toml:"number"`
			Stream string `toml:"stream"`
		} `toml:"member"`
	} `toml:"follow"`
	shared
}

// shared is what instances may agree on instead.
type shared struct {
	Description string `toml:"description"`
	Halls       []struct {
		Name     string `toml:"name"`
		Register string `toml:"register"`
		Closed   bool   `toml:"closed"`
	} `toml:"hall"`
	Classes []struct {
		Name     string   `toml:"name"`
		Worth    float64  `toml:"worth"`
		Late     float64  `toml:"late"`
		Aim      duration `toml:"aim"`
		Deadline duration `toml:"deadline"`
	} `toml:"class"`
	Plans []struct {
		Name         string  `toml:"name"`
		Rate         float64 `toml:"rate"`
		Burst        float64 `toml:"burst"`
		CeilingRate  float64 `toml:"ceiling_rate"`
		CeilingBurst float64 `toml:"ceiling_burst"`
		CeilingSlack float64 `toml:"ceiling_slack"`
		Open         int     `toml:"open"`
		Price        float64 `toml:"price"`
		OverWorth    float64 `toml:"over_worth"`
		OverCost     float64 `toml:"over_cost"`
	} `toml:"plan"`
	Licensees []struct {
		Name string `toml:"name"`
		Plan string `toml:"plan"`
	} `toml:"licensee"`
}

// reader collects what is wrong with a file.
type reader struct {
	file     string
	text     []byte
	problems routing.Problems
}

// Parse reads a file's text. The error is [routing.Problems].
func Parse(file string, text []byte) (*File, error) {
	r := &reader{file: file, text: text}
	var in raw
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		r.decoding(err)
		return nil, r.problems
	}
	out := r.convert(&in)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return out, nil
}

// decoding takes over what the library found.
func (r *reader) decoding(err error) {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		for _, e := range strict.Errors {
			row, col := e.Position()
			r.problems = append(r.problems, routing.Problem{File: r.file, Pos: routing.Pos{Line: row, Column: col},
				Field: strings.Join(e.Key(), "."), Text: "is no field of this file"})
		}
		return
	}
	p := routing.Problem{File: r.file, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		row, col := e.Position()
		p.Pos, p.Field = routing.Pos{Line: row, Column: col}, strings.Join(e.Key(), ".")
	}
	r.problems = append(r.problems, p)
}

// bad adds a problem of a field such as "plan[2].rate".
func (r *reader) bad(field, format string, args ...any) {
	r.problems = append(r.problems, routing.Problem{File: r.file, Pos: routing.Pos{Line: locate(r.text, field)}, Field: field,
		Text: fmt.Sprintf(format, args...)})
}

// locate finds the line of a field: of the key, else of its table, else 1.
func locate(text []byte, field string) int {
	table, key := "", field
	if i := strings.LastIndexByte(field, '.'); i >= 0 {
		table, key = field[:i], field[i+1:]
	}
	name, nth := table, 0
	if i := strings.IndexByte(table, '['); i >= 0 {
		name = table[:i]
		fmt.Sscanf(table[i:], "[%d]", &nth)
	}
	key, _, _ = strings.Cut(key, "[")
	at, current, count := 1, "", -1
	for n, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			if current = strings.Trim(line, "[] "); current == name {
				if count++; count == nth {
					at = n + 1
				}
			}
		case strings.HasPrefix(line, "["):
			if current = strings.Trim(line, "[] "); current == name {
				count, at = nth, n+1
			}
		case current == name && (name == "" || count == nth):
			if k, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(k) == key {
				return n + 1
			}
		}
	}
	return at
}

func (r *reader) address(field, v string) netip.AddrPort {
	a, err := discovery.Address(field, v)
	if err != nil {
		r.bad(field, "%q is no address with a port, such as \"127.0.0.1:8080\"", v)
	}
	return a
}

// convert checks all fields and turns them into what an instance is told.
func (r *reader) convert(in *raw) *File {
	out := &File{Description: in.Description, AccessLog: in.AccessLog}
	c := &out.Config
	c.Name, c.Seed = in.Name, in.Seed
	if c.Name == "" {
		r.bad("name", "is missing")
	}
	c.Listen = r.address("listen", in.Listen)
	switch in.Validate {
	case "", "cost":
	case "full":
		c.FullValidation = true
	default:
		r.bad("validate", "%q is unknown: \"cost\" or \"full\" is wanted", in.Validate)
	}
	n := max(len(in.Peers), 1)
	if in.Instance < 0 || in.Instance >= n {
		r.bad("instance", "%d is no number of %d peers, counted from 0", in.Instance, n)
	}
	for i, p := range in.Peers {
		c.Peers = append(c.Peers, r.address(fmt.Sprintf("peers[%d]", i), p))
	}
	if n > 1 {
		c.PeerListen = r.address("peer_listen", in.PeerListen)
	}
	r.limits(in, c, n)
	if in.Cluster != nil && in.Follow != nil {
		r.bad("follow", "a member of a cluster follows none: cluster or follow is wanted")
	}
	if in.Cluster != nil || in.Follow != nil {
		r.agreedOn(in)
	}
	if in.Cluster != nil {
		r.cluster(in, out)
		return out
	}
	if in.Follow != nil {
		r.follow(in, out)
		return out
	}
	if in.Description == "" {
		r.bad("description", "is missing: the file name of an OpenAPI description")
	}
	r.halls(&in.shared, c)
	if len(in.Halls) > 0 && !slices.ContainsFunc(c.Halls, func(h gateway.Hall) bool { return h.Name == in.Zone }) {
		r.bad("zone", "%q is no hall's name", in.Zone)
	}
	r.classes(&in.shared, c)
	r.plans(&in.shared, c)
	return out
}

// agreedOn turns down what the members of a cluster agree on in an instance's file.
func (r *reader) agreedOn(in *raw) {
	for _, f := range []struct {
		field string
		there bool
	}{{"description", in.Description != ""}, {"hall", len(in.Halls) > 0}, {"class", len(in.Classes) > 0}, {"plan", len(in.Plans) > 0},
		{"licensee", len(in.Licensees) > 0}, {"limits.most_units", in.Limits.MostUnits != 0}} {
		if f.there {
			r.bad(f.field, "is agreed on by the cluster: it belongs into the file of gateway config apply")
		}
	}
	if in.Zone == "" {
		r.bad("zone", "is missing: the hall of this instance's own site")
	}
}

// need turns down names of a section that have no value.
func (r *reader) need(section string, named [][2]string) {
	for _, f := range named {
		if f[1] == "" {
			r.bad(section+"."+f[0], "is missing")
		}
	}
}

// stale reads what an instance does whose configuration was not confirmed of late.
func (r *reader) stale(section string, after duration, when string) *gateway.Agreed {
	agreed := &gateway.Agreed{StaleAfter: after.d}
	switch when {
	case "", "serve":
	case "refuse":
		agreed.Refuse = true
	default:
		r.bad(section+".when_stale", "%q is unknown: \"serve\" or \"refuse\" is wanted", when)
	}
	return agreed
}

// keys reads whether keyed requests may go anywhere.
func (r *reader) keys(section, v string) (anywhere bool) {
	if v != "" && v != "home" && v != "anywhere" {
		r.bad(section+".keys", "%q is unknown: \"home\" or \"anywhere\" is wanted", v)
	}
	return v == "anywhere"
}

// follow reads the place of an instance that is told what a cluster agrees on.
func (r *reader) follow(in *raw, out *File) {
	c := in.Follow
	k := &FollowerConfig{Cluster: c.Cluster, Name: c.Name, DataFile: c.Data, CertDir: c.Certs, MemberStreamAddrs: map[uint64]string{}}
	out.Follower = k
	r.need("follow", [][2]string{{"cluster", c.Cluster}, {"name", c.Name}, {"data", c.Data}, {"certs", c.Certs}})
	if strings.Contains(c.Cluster+c.Name, "/") {
		r.bad("follow.name", "%q or the cluster's has a slash", c.Name)
	}
	for i, m := range c.Members {
		at := fmt.Sprintf("follow.member[%d]", i)
		if _, twice := k.MemberStreamAddrs[m.Number]; m.Number == 0 || twice {
			r.bad(at+".number", "%d is 0 or stands twice", m.Number)
		}
		k.MemberStreamAddrs[m.Number] = r.address(at+".stream", m.Stream).String()
	}
	if len(c.Members) == 0 {
		r.bad("follow.member", "none is named: add a [[follow.member]] with number and stream")
	}
	out.Config.Agreed = r.stale("follow", c.StaleAfter, c.WhenStale)
	k.DisableKeyOwnership = r.keys("follow", c.Keys)
}

// cluster reads an instance's place in a cluster, which agrees on the rest.
func (r *reader) cluster(in *raw, out *File) {
	c := in.Cluster
	k := &MemberConfig{Cluster: c.Name, MemberID: c.Number, DataFile: c.Data, CertDir: c.Certs, TickInterval: c.Tick.d, Members: map[uint64]clusterconfig.Member{}}
	out.Member = k
	r.need("cluster", [][2]string{{"name", c.Name}, {"data", c.Data}, {"certs", c.Certs}})
	if strings.Contains(c.Name, "/") {
		r.bad("cluster.name", "%q has a slash", c.Name)
	}
	for i, m := range c.Members {
		at := fmt.Sprintf("cluster.member[%d]", i)
		if _, twice := k.Members[m.Number]; m.Number == 0 || twice {
			r.bad(at+".number", "%d is 0 or stands twice", m.Number)
		}
		k.Members[m.Number] = clusterconfig.Member{Raft: r.address(at+".raft", m.Raft).String(), Admin: r.address(at+".admin", m.Admin).String()}
	}
	if _, ok := k.Members[c.Number]; !ok {
		r.bad("cluster.number", "%d is no [[cluster.member]] of this file", c.Number)
	}
	if c.Tick.d != 0 && (c.Tick.d < time.Millisecond || c.Tick.d > time.Second) {
		r.bad("cluster.tick", "%v is outside 1ms to 1s", c.Tick.d)
	}
	out.Config.Agreed = r.stale("cluster", c.StaleAfter, c.WhenStale)
	k.DisableKeyOwnership = r.keys("cluster", c.Keys)
	if c.Stream != "" {
		k.StreamListenAddr = r.address("cluster.stream", c.Stream).String()
	}
	if c.Link == nil {
		return
	}
	l := &gateway.LinkConfig{Own: []string{in.Zone}, Listen: r.address("cluster.link.listen", c.Link.Listen), Most: c.Link.Most, Far: map[string][]gateway.LinkPeer{}}
	if l.Most < 0 || l.Most == 1 || l.Most > 1<<16 {
		r.bad("cluster.link.most", "%d is outside 2 to %d", l.Most, 1<<16)
	}
	if len(c.Link.Far) == 0 {
		r.bad("cluster.link.far", "is missing: at least one instance of another site is wanted")
	}
	for i, f := range c.Link.Far {
		at := fmt.Sprintf("cluster.link.far[%d]", i)
		if f.Hall == "" || f.Hall == in.Zone {
			r.bad(at+".hall", "%q is no hall of another site", f.Hall)
		}
		if _, known := k.Members[f.Member]; !known || f.Member == c.Number {
			r.bad(at+".member", "%d is no other [[cluster.member]] of this file", f.Member)
		}
		if slices.ContainsFunc(l.Far[f.Hall], func(p gateway.LinkPeer) bool { return p.Member == f.Member }) {
			r.bad(at+".member", "%d stands twice for %s", f.Member, f.Hall)
		}
		l.Far[f.Hall] = append(l.Far[f.Hall], gateway.LinkPeer{Member: f.Member, Addr: r.address(at+".address", f.Address)})
	}
	out.Config.Link = l
}

func (r *reader) halls(in *shared, c *gateway.Config) {
	zones := map[string]bool{}
	for i, h := range in.Halls {
		at := fmt.Sprintf("hall[%d]", i)
		if h.Name == "" || zones[h.Name] || strings.Contains(h.Name, "/") {
			r.bad(at+".name", "%q is empty, stands twice or has a slash", h.Name)
		}
		zones[h.Name] = true
		c.Halls = append(c.Halls, gateway.Hall{Name: h.Name, Register: r.address(at+".register", h.Register)})
	}
	if len(in.Halls) == 0 {
		r.bad("hall", "none is described: add a [[hall]] with name and register")
	}
}

func (r *reader) limits(in *raw, c *gateway.Config, n int) {
	l, s := &in.Limits, &in.Servers
	for _, f := range []struct {
		name  string
		v     float64
		least float64
		most  float64
	}{{"limits.clients", float64(l.Clients), 0, 1 << 20}, {"limits.servers", float64(l.Servers), 0, 1 << 20}, {"limits.most_units", float64(l.MostUnits), 0, 1e6},
		{"limits.max_attempts", float64(l.MaxAttempts), 0, 100}, {"limits.inbox_per_s", l.InboxPerS, 0, 1e6},
		{"servers.cold_from", s.ColdFrom, 0, 1}, {"servers.fall_multiple", s.FallMultiple, 0, 1000}} {
		if !(f.v >= f.least && f.v <= f.most) {
			r.bad(f.name, "%v is outside %v to %v", f.v, f.least, f.most)
		}
	}
	c.MaxClients, c.MaxServers = l.Clients, l.Servers
	c.ConnectTimeout, c.ConnIdle, c.DrainFor = l.ConnectTimeout.d, l.ConnIdle.d, l.DrainFor.d
	c.Settings = policy.Settings{InstanceIndex: in.Instance, InstanceCount: n, Zone: in.Zone,
		ResponseSlack: l.AnswerSlack.d, DrainGracePeriod: s.DrainGrace.d, SlowStartMinFraction: s.ColdFrom, SlowStartWindow: s.RampTime.d,
		ColdOverloadMultiple: s.FallMultiple, ColdOverloadWindow: s.OverloadFor.d, MaxAttempts: l.MaxAttempts, AllowsCancel: true, AllowsGossip: n > 1, AllowsHealthChecks: true,
		SendsRetryAfter: true, MaxRetryAfter: l.MaxRetryAfter.d, LoadReports: policy.LoadReportsInHealthChecks, GossipInboxRate: l.InboxPerS,
		MaxUnits: float64(l.MostUnits), MinEventInterval: 2 * time.Millisecond, CrossZonePrice: 0.01, GossipPrice: 0.03, HealthCheckPrice: 0.01, WastedWorkPrice: 0.05}
	if c.Settings.MaxRetryAfter == 0 {
		c.Settings.MaxRetryAfter = 2 * time.Second
	}
	if c.Settings.GossipInboxRate == 0 {
		c.Settings.GossipInboxRate = 40
	}
}

func (r *reader) classes(in *shared, c *gateway.Config) {
	if len(in.Classes) == 0 {
		r.bad("class", "none is described: add a [[class]] with name, worth, aim and deadline")
	}
	names := map[string]bool{}
	for i, k := range in.Classes {
		at := fmt.Sprintf("class[%d]", i)
		switch {
		case k.Name == "" || names[k.Name]:
			r.bad(at+".name", "%q is empty or stands twice", k.Name)
		case !(k.Worth > 0 && k.Worth < 1e9):
			r.bad(at+".worth", "%v is not above 0", k.Worth)
		case !(k.Late >= 0 && k.Late <= 1):
			r.bad(at+".late", "%v is outside 0 to 1", k.Late)
		case k.Aim.d <= 0 || k.Deadline.d <= 0:
			r.bad(at+".deadline", "aim and deadline are wanted")
		case k.Aim.d > k.Deadline.d:
			r.bad(at+".aim", "%v is past the deadline %v", k.Aim.d, k.Deadline.d)
		}
		names[k.Name] = true
		c.Classes = append(c.Classes, routing.Class{Name: k.Name, Worth: k.Worth, Late: k.Late, Aim: k.Aim.d, Deadline: k.Deadline.d})
	}
}

func (r *reader) plans(in *shared, c *gateway.Config) {
	plans := map[string]bool{}
	for i, p := range in.Plans {
		at := fmt.Sprintf("plan[%d]", i)
		if p.Name == "" || plans[p.Name] {
			r.bad(at+".name", "%q is empty or stands twice", p.Name)
		}
		plans[p.Name] = true
		for _, f := range []struct {
			name string
			v    float64
		}{{"rate", p.Rate}, {"burst", p.Burst}, {"ceiling_rate", p.CeilingRate}, {"ceiling_burst", p.CeilingBurst}, {"ceiling_slack", p.CeilingSlack},
			{"price", p.Price}, {"over_worth", p.OverWorth}, {"over_cost", p.OverCost}, {"open", float64(p.Open)}} {
			if !(f.v >= 0 && f.v < 1e12) {
				r.bad(at+"."+f.name, "%v is out of range", f.v)
			}
		}
		if p.Rate > 0 && p.Burst <= 0 {
			r.bad(at+".burst", "a rate needs a burst, or nothing is ever inside the quota")
		}
		if p.CeilingRate > 0 && (p.CeilingBurst <= 0 || p.CeilingRate < p.Rate) {
			r.bad(at+".ceiling_rate", "a ceiling needs a burst and lies above the rate")
		}
		c.Settings.Plans = append(c.Settings.Plans, policy.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.Open, HardLimitRate: p.CeilingRate,
			HardLimitBurst: p.CeilingBurst, HardLimitSlack: p.CeilingSlack, PriorityFactor: p.Price, OverQuotaFraction: p.OverWorth, OverQuotaCost: p.OverCost})
	}
	c.Licensees = map[string]gateway.Licensee{}
	for i, l := range in.Licensees {
		at := fmt.Sprintf("licensee[%d]", i)
		if _, twice := c.Licensees[l.Name]; l.Name == "" || twice {
			r.bad(at+".name", "%q is empty or stands twice", l.Name)
		}
		if !plans[l.Plan] {
			r.bad(at+".plan", "%q is no [[plan]] of this file", l.Plan)
		}
		c.Licensees[l.Name] = gateway.Licensee{Plan: l.Plan, Customer: gateway.CustomerOf(l.Name)}
	}
}
