// Package wire is the codec of the simulator's line protocol: it turns lines
// into typed events and the gateway's actions into lines. It decides nothing.
package simwire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"mulleinmux/policy"
)

// Events as they come off the wire, in order.
type (
	Clock           struct{ Now time.Duration }
	BatchEnd        struct{}
	InstanceStarted struct {
		Instance int
		Seed     uint64
		Settings policy.Settings
	}
	InstanceStopped struct{ Instance int }
	// EndpointsChanged is a FLEET event with the entries of its table resolved.
	EndpointsChanged struct {
		Instance int
		Kind     policy.EndpointUpdateKind
		Servers  []policy.Server
	}
	RequestArrived struct {
		Instance int
		Request  policy.Request
	}
	ResponseHeadersReceived struct {
		Instance int
		ID       string
		Attempt  int
	}
	AttemptCompleted struct {
		Instance int
		Outcome  policy.AttemptResult
	}
	ClientDisconnected struct {
		Instance int
		ID       string
	}
	TimerFired struct {
		Instance int
		Token    uint64
	}
	HealthCheckCompleted struct {
		Instance   int
		Server     string
		Result     policy.Result
		Latency    time.Duration
		LoadReport *policy.LoadReport
	}
	GossipReceived struct {
		Instance, Peer int
		Payload        []byte
	}
	TotalReceived struct{ Instance int }
)

// maxLine bounds one line; settings and lists of entries are the longest.
const maxLine = 1 << 24

// Reader reads events. It keeps the numbered tables of the process.
type Reader struct {
	s      *bufio.Scanner
	line   int
	tables map[int][]policy.Server
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 1<<16), maxLine)
	return &Reader{s: s, tables: map[int][]policy.Server{}}
}

// Line returns the number of the line read last.
func (r *Reader) Line() int { return r.line }

// Next returns the next event, io.EOF at the end of input between messages, or an
// error that names the line.
func (r *Reader) Next() (any, error) {
	for {
		text, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if text == "" {
			continue
		}
		ev, err := r.parse(text)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		if ev != nil {
			return ev, nil
		}
	}
}

func (r *Reader) readLine() (string, error) {
	if !r.s.Scan() {
		if err := r.s.Err(); err != nil {
			return "", fmt.Errorf("line %d: %w", r.line+1, err)
		}
		return "", io.EOF
	}
	r.line++
	return r.s.Text(), nil
}

func (r *Reader) parse(text string) (any, error) {
	name, rest, _ := strings.Cut(text, " ")
	if name == "LAUNCH" {
		return parseLaunch(rest)
	}
	f := fields{name: name}
	if rest != "" {
		f.vals = strings.Split(rest, " ")
	}
	ev, err := r.event(&f)
	if err != nil {
		return nil, err
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s: %w", name, f.err)
	}
	if len(f.vals) > f.next {
		return nil, fmt.Errorf("%s: %d values more than expected", name, len(f.vals)-f.next)
	}
	return ev, nil
}

func (r *Reader) event(f *fields) (any, error) {
	switch f.name {
	case "CLOCK":
		return Clock{f.dur("clock")}, nil
	case "COMMIT":
		return BatchEnd{}, nil
	case "HALT":
		return InstanceStopped{f.int("i")}, nil
	case "PAGE":
		return nil, r.page(f)
	case "FLEET":
		return r.fleet(f)
	case "ACCEPT":
		e := RequestArrived{Instance: f.int("i")}
		q := &e.Request
		q.ID, q.Class, q.Plan = f.str("ref"), f.str("tierClass"), f.str("tier")
		q.Customer, q.Timeout, q.Units = f.uint("holder"), f.dur("grace"), f.num("weight")
		q.InstanceCount, q.FirstInstance = f.int("entryPoints"), f.int("fromNo")
		f.uint("bits")
		return e, nil
	case "HEADERS":
		e := ResponseHeadersReceived{Instance: f.int("i"), ID: f.str("ref"), Attempt: f.int("roundNo")}
		f.str("server")
		f.dur("spent")
		return e, nil
	case "COMPLETED":
		e := AttemptCompleted{Instance: f.int("i")}
		o := &e.Outcome
		o.ID, o.RequestAnswered, o.Result, o.Server = f.str("ref"), f.bool("closed"), f.result("reason"), f.str("server")
		o.Latency, o.Attempt = f.dur("spent"), f.int("roundNo")
		f.num("fleetUse")
		o.Units, o.LoadReport = f.num("actual"), f.load("feedback")
		return e, nil
	case "LEFT":
		return ClientDisconnected{f.int("i"), f.str("ref")}, nil
	case "TIMEOUT_FIRED":
		return TimerFired{f.int("i"), f.uint("ctx")}, nil
	case "PROBE_DONE":
		e := HealthCheckCompleted{Instance: f.int("i"), Result: f.result("reason"), Server: f.str("server")}
		e.Latency, e.LoadReport = f.dur("spent"), f.load("feedback")
		return e, nil
	case "WHISPER":
		return GossipReceived{f.int("i"), f.int("neighbour"), f.bytes("payload")}, nil
	case "TOTAL":
		e := TotalReceived{f.int("i")}
		f.num("level")
		f.result("reason")
		f.dur("spent")
		f.uint("slotName")
		return e, nil
	}
	return nil, fmt.Errorf("unknown message %q", f.name)
}

func (r *Reader) page(f *fields) error {
	table, rows := f.int("table"), f.int("rows")
	if f.err != nil {
		return nil // reported by the caller
	}
	if table < 0 || table > 15 || rows < 0 {
		return fmt.Errorf("PAGE: table %d or row count %d out of range", table, rows)
	}
	var list []policy.Server
	for i := 0; i < rows; i++ {
		text, err := r.readLine()
		if err != nil {
			return fmt.Errorf("PAGE: %d of %d entries: %w", i, rows, noEOF(err))
		}
		e := fields{name: "ITEM", vals: strings.Split(text, " "), next: 1}
		if e.vals[0] != "ITEM" {
			return fmt.Errorf("expected ITEM, got %q", e.vals[0])
		}
		s := policy.Server{ID: e.str("server"), State: e.state("mode"), Weight: e.num("rating"), Kind: e.str("machine")}
		s.Zone, s.Cell, s.StartedAt = e.str("regionPart"), e.int("pod"), e.dur("bootTime")
		if e.err == nil && len(e.vals) > e.next {
			e.err = errors.New("too many values")
		}
		if e.err != nil {
			return fmt.Errorf("ITEM: %w", e.err)
		}
		list = append(list, s)
	}
	r.tables[table] = list
	return nil
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) fleet(f *fields) (any, error) {
	e := EndpointsChanged{Instance: f.int("i")}
	f.num("seqNo")
	ref, form := f.str("table"), f.str("form")
	if f.err != nil {
		return nil, nil // reported by the caller
	}
	forms := map[string]policy.EndpointUpdateKind{"Partial": policy.EndpointsDelta, "Complete": policy.EndpointsComplete,
		"Persisted": policy.EndpointsSaved, "Error": policy.EndpointsUnavailable}
	var ok bool
	if e.Kind, ok = forms[form]; !ok {
		return nil, fmt.Errorf("FLEET: unknown form %q", form)
	}
	if e.Kind != policy.EndpointsUnavailable {
		table, err := strconv.Atoi(ref)
		if err != nil {
			return nil, fmt.Errorf("FLEET: bad table %q", ref)
		}
		if e.Servers, ok = r.tables[table]; !ok {
			return nil, fmt.Errorf("FLEET: unknown table %d", table)
		}
	}
	return e, nil
}

// fields takes the values of one line in order and keeps the first error.
type fields struct {
	name string
	vals []string
	next int
	err  error
}

// str returns the next value; an absent one, written "-", is "".
func (f *fields) str(what string) string {
	if f.next >= len(f.vals) {
		if f.err == nil {
			f.err = fmt.Errorf("%s is missing", what)
		}
		return ""
	}
	v := f.vals[f.next]
	f.next++
	if v == "-" {
		return ""
	}
	if v == "" && f.err == nil {
		f.err = fmt.Errorf("%s is empty", what)
	}
	return v
}

func (f *fields) bad(what, v string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s %q", what, v)
	}
}

func (f *fields) num(what string) float64 {
	v := f.str(what)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.bad(what, v)
	}
	return x
}

func (f *fields) dur(what string) time.Duration {
	x := f.num(what)
	if math.Abs(x) > 1e9 {
		f.bad(what, strconv.FormatFloat(x, 'g', -1, 64))
		return 0
	}
	return seconds(x)
}

func (f *fields) int(what string) int {
	v := f.str(what)
	x, err := strconv.Atoi(v)
	if err != nil {
		f.bad(what, v)
	}
	return x
}

func (f *fields) uint(what string) uint64 {
	v := f.str(what)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.bad(what, v)
	}
	return x
}

func (f *fields) bool(what string) bool {
	v := f.str(what)
	if v != "0" && v != "1" {
		f.bad(what, v)
	}
	return v == "1"
}

func (f *fields) bytes(what string) []byte {
	v := f.str(what)
	b, err := base64.StdEncoding.DecodeString(v)
	if err != nil {
		f.bad(what, v)
	}
	return b
}

func (f *fields) state(what string) policy.ServerState {
	switch v := f.str(what); v {
	case "IN":
		return policy.Up
	case "LAME":
		return policy.Draining
	case "OUT":
		return policy.Removed
	default:
		f.bad(what, v)
		return policy.Up
	}
}

func (f *fields) result(what string) policy.Result {
	switch v := f.str(what); v {
	case "0":
		return policy.OK
	case "255":
		return policy.ErrorResponse
	case "254":
		return policy.RejectedByServer
	case "253":
		return policy.TimedOut
	case "252":
		return policy.ConnectFailed
	case "251":
		return policy.ConnectionReset
	case "250":
		return policy.Cancelled
	case "249":
		return policy.NotSent
	default:
		f.bad(what, v)
		return policy.NotSent
	}
}

// load parses a load report. Unknown names are skipped.
func (f *fields) load(what string) *policy.LoadReport {
	v := f.str(what)
	if v == "" {
		return nil
	}
	l := policy.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1}
	for _, pair := range strings.Split(v, ",") {
		name, val, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(val, 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			f.bad(what, v)
			return nil
		}
		switch name {
		case "outstanding":
			l.InFlight = x
		case "backlog":
			l.QueueLength = x
		case "utilization":
			l.Utilization = x
		}
	}
	return &l
}

func seconds(x float64) time.Duration {
	return time.Duration(math.Round(x*1e6)) * time.Microsecond
}

// info mirrors the settings object; keys that are not named here are skipped.
type info struct {
	Instances, Me int
	Zone          string
	Tick          float64
	RegistryMode  string
	FamilyInfo    struct {
		InboxPerS, UnitsTop float64
		PostPaid            bool
	}
	Feedback struct{ How string }
	Lanes    []struct {
		Name, Idempotency, KeyScope             string
		Deadline, OnTime, LateWorth, MemorySpan float64
		Worth                                   float64
		Streamed                                bool
	}
	Penalties    struct{ CrossZone, Peer, Probe, Waste float64 }
	PolicyLimits struct {
		Cancel, ParallelTries, Peers, Probes, RetryAfter bool
		MostTries                                        int
		MaxRetryAfter, ConnIdle, ConnectTimeout          float64
	}
	Rules struct {
		AnswerSlack, AskWithin, ColdFrom, DrainGrace, FallMultiple, OverloadFor, RampTime float64
	}
	Tariffs []struct {
		Name                                                     string
		QuotaRate, PeakUnits, NeverOverRate, HardBurst, CapSlack float64
		WorthFactor, ExtraWorth, OverCost                        float64
		MaxOut                                                   int
	}
}

func parseLaunch(rest string) (any, error) {
	inst, rest, _ := strings.Cut(rest, " ")
	seed, text, _ := strings.Cut(rest, " ")
	f := fields{name: "LAUNCH", vals: []string{inst, seed}}
	e := InstanceStarted{Instance: f.int("i"), Seed: f.uint("prng")}
	if f.err != nil {
		return nil, fmt.Errorf("LAUNCH: %w", f.err)
	}
	s, _, err := ParseSettings([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("LAUNCH: info: %w", err)
	}
	e.Settings = s
	return e, nil
}

// ConnectionSettings is the part of the settings that concerns connections: the host's
// business, not the module's.
type ConnectionSettings struct {
	ConnIdleTimeout time.Duration // a server closes a connection that has stood idle this long
	ConnectTimeout  time.Duration // a connection that is not made within this has failed
}

// ParseSettings parses the settings object, in the form in which both the
// simulator and a real edge node's configuration give it.
func ParseSettings(text []byte) (policy.Settings, ConnectionSettings, error) {
	var in info
	if err := json.Unmarshal(text, &in); err != nil {
		return policy.Settings{}, ConnectionSettings{}, err
	}
	s, err := in.settings()
	l := &in.PolicyLimits
	return s, ConnectionSettings{ConnIdleTimeout: seconds(l.ConnIdle), ConnectTimeout: seconds(l.ConnectTimeout)}, err
}

func (in *info) settings() (policy.Settings, error) {
	l, r := &in.PolicyLimits, &in.Rules
	s := policy.Settings{
		InstanceIndex: in.Me, InstanceCount: in.Instances, Zone: in.Zone,
		ResponseSlack: seconds(r.AnswerSlack), DrainGracePeriod: seconds(r.DrainGrace),
		SlowStartMinFraction: r.ColdFrom, SlowStartWindow: seconds(r.RampTime),
		ColdOverloadMultiple: r.FallMultiple, ColdOverloadWindow: seconds(r.OverloadFor),
		MaxAttempts: l.MostTries, AllowsHedging: l.ParallelTries, AllowsCancel: l.Cancel, AllowsGossip: l.Peers, AllowsHealthChecks: l.Probes,
		SendsRetryAfter: l.RetryAfter, MaxRetryAfter: seconds(l.MaxRetryAfter),
		PollsEndpoints: in.RegistryMode == "subscribe", EndpointPollInterval: seconds(r.AskWithin),
		GossipInboxRate: in.FamilyInfo.InboxPerS, SettlesUnits: in.FamilyInfo.PostPaid, MaxUnits: in.FamilyInfo.UnitsTop, MinEventInterval: seconds(in.Tick),
		ConnectTimeout: seconds(l.ConnectTimeout),
		CrossZonePrice: in.Penalties.CrossZone, GossipPrice: in.Penalties.Peer,
		HealthCheckPrice: in.Penalties.Probe, WastedWorkPrice: in.Penalties.Waste,
	}
	switch in.Feedback.How {
	case "answers":
		s.LoadReports = policy.LoadReportsInResponses
	case "probe":
		s.LoadReports = policy.LoadReportsInHealthChecks
	case "none", "":
	default:
		return s, fmt.Errorf("feedback.how: unknown word %q", in.Feedback.How)
	}
	for _, c := range in.Lanes {
		k := policy.Class{Name: c.Name, DedupWindow: seconds(c.MemorySpan), LatencyObjective: seconds(c.OnTime),
			Deadline: seconds(c.Deadline), PriorityWeight: c.Worth, LateFraction: c.LateWorth, IsStreaming: c.Streamed}
		effects := map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.IdempotentWithKey, "fragile": policy.NonIdempotent}
		groups := map[string]policy.DedupScope{"all": policy.DedupAllServers, "zone": policy.DedupZone, "cell": policy.DedupCell}
		var ok bool
		if k.Idempotency, ok = effects[c.Idempotency]; !ok {
			return s, fmt.Errorf("lanes: unknown idempotency %q", c.Idempotency)
		}
		if k.DedupScope, ok = groups[c.KeyScope]; !ok && k.Idempotency == policy.IdempotentWithKey {
			return s, fmt.Errorf("lanes: unknown keyScope %q", c.KeyScope)
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range in.Tariffs {
		s.Plans = append(s.Plans, policy.Plan{Name: t.Name, Rate: t.QuotaRate, Burst: t.PeakUnits, MaxInFlight: t.MaxOut,
			HardLimitRate: t.NeverOverRate, HardLimitBurst: t.HardBurst, HardLimitSlack: t.CapSlack,
			PriorityFactor: t.WorthFactor, OverQuotaFraction: t.ExtraWorth, OverQuotaCost: t.OverCost})
	}
	return s, nil
}
