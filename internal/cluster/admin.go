package cluster

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
)

// Operators are answered over HTTP/1.1 and TLS, in JSON. Who asks is known by the
// certificate: an operator's or a member's of this cluster.
//
//	GET  /v1/status   this member's view                        Status
//	GET  /v1/config   the objects; ?local=1: as applied here     Objects
//	GET  /v1/stream   how the followers stand                   []confstream.Standing
//	GET  /v1/history  the versions kept                          []fleetconfig.Record
//	POST /v1/check    a Proposal: would it be applied?           Outcome
//	POST /v1/propose  a Proposal                                 Outcome
//	POST /v1/members  a MembersChange                            Status
//	GET  /metrics     in the Prometheus text format
//
// Errors are {"error": text}: 400 bad input, 403 not of this cluster, 409 refused, 503 no
// leader or no quorum within the asker's time (X-Timeout-Ms).

const (
	adminTimeout = 10 * time.Second
	adminMost    = 2 * time.Minute
	caughtUp     = 64 // entries: a learner that lacks no more may vote
	maxAsked     = 16 // at a time
)

// Status is a member's view, as operators see it.
type Status struct {
	raftnode.Status
	Cluster          string                          `json:"cluster"`
	InstalledVersion uint64                          `json:"installed"` // version in force at the instance
	ConfirmedAgeMs   int64                           `json:"age_ms"`    // since a quorum last confirmed it; -1: not since the start
	IsServing        bool                            `json:"serves"`
	InstallError     string                          `json:"note,omitempty"`  // why what is agreed is not in force
	SiteStates       map[string]string               `json:"halls,omitempty"` // what this instance makes of each
	Members          map[uint64]clusterconfig.Member `json:"members"`
}

// Objects are the agreed objects of a version, by kind and name.
type Objects struct {
	Version uint64                                `json:"version"`
	Hash    string                                `json:"hash"`
	Objects map[string]map[string]json.RawMessage `json:"objects"`
}

// MembershipChange changes the members.
type MembershipChange struct {
	Op            string                `json:"op"` // "add", "remove", "replace" or "transfer"
	MemberID      uint64                `json:"member"`
	ReplacementID uint64                `json:"with,omitempty"` // of replace: the new member
	Addrs         *clusterconfig.Member `json:"at,omitempty"`   // of add and replace: where the new member is reached
}

type errorResponse struct {
	Error string `json:"error"`
}

// kinds are those of the objects.
var kinds = []string{"class", "description", "epoch", "follower", "hall", "licensee", "limit", "lost", "member", "plan"}

func (f *Member) serveAdmin(ln net.Listener, side *sync.WaitGroup) *http.Server {
	mux := http.NewServeMux()
	handle := func(pattern string, do func(ctx context.Context, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { f.answer(w, r, do) })
	}
	handle("GET /v1/status", func(ctx context.Context, _ *http.Request) (any, error) { return f.status(ctx) })
	handle("GET /v1/config", f.objects)
	handle("GET /v1/history", func(ctx context.Context, _ *http.Request) (h any, err error) {
		err = f.node.Read(ctx, func(s *clusterconfig.State) { h = s.History() })
		return h, err
	})
	handle("POST /v1/check", func(ctx context.Context, r *http.Request) (any, error) { return f.propose(ctx, r, true) })
	handle("POST /v1/propose", func(ctx context.Context, r *http.Request) (any, error) { return f.propose(ctx, r, false) })
	handle("POST /v1/members", f.changeMembers)
	handle("GET /v1/stream", f.standings)
	mux.HandleFunc("GET /metrics", f.metrics)
	asked := make(chan struct{}, maxAsked)
	srv := &http.Server{ErrorLog: f.log, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: time.Minute, WriteTimeout: adminMost + 10*time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10, TLSConfig: f.cfg.Credentials.TLS(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := f.asker(r); err != nil {
				writeJSON(w, http.StatusForbidden, errorResponse{err.Error()})
				return
			}
			select {
			case asked <- struct{}{}:
				defer func() { <-asked }()
				mux.ServeHTTP(w, r)
			default:
				writeJSON(w, http.StatusServiceUnavailable, errorResponse{"too many operators ask at a time"})
			}
		})}
	side.Go(func() { srv.Serve(tls.NewListener(ln, srv.TLSConfig)) }) // ends with Close
	return srv
}

// asker tells who asks.
func (f *Member) asker(r *http.Request) (h raftnode.Holder, err error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return h, errors.New("no certificate")
	}
	if h, err = raftnode.HolderOf(r.TLS.PeerCertificates[0]); err != nil {
		return h, err
	}
	if h.Cluster != f.cfg.Cluster {
		return h, fmt.Errorf("the certificate is of cluster %q: this is cluster %q", h.Cluster, f.cfg.Cluster)
	}
	if h.Follower != "" {
		return h, fmt.Errorf("follower %q is no operator", h.Follower)
	}
	return h, nil
}

// refusal is an answer with a status of its own.
type refusal struct {
	status int
	body   any
}

func (r *refusal) Error() string { return fmt.Sprint(r.body) }

func bad(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, errorResponse{fmt.Sprintf(format, args...)}}
}

func (f *Member) answer(w http.ResponseWriter, r *http.Request, do func(context.Context, *http.Request) (any, error)) {
	limit := adminTimeout
	if ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms")); err == nil && ms > 0 {
		limit = min(time.Duration(ms)*time.Millisecond, adminMost)
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	v, err := do(ctx, r)
	if refused, ok := errors.AsType[*refusal](err); ok {
		writeJSON(w, refused.status, refused.body)
		return
	}
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{f.plain(ctx, err)})
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// plain words an error for operators.
func (f *Member) plain(ctx context.Context, err error) string {
	if errors.Is(err, raftnode.ErrNoLeader) || errors.Is(err, raftnode.ErrLost) {
		short, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if s, e := f.node.Status(short); e == nil {
			return fmt.Sprintf("member %d: %v; voters are %v, leader %s", s.ID, err, s.Voters, leaderText(s.Leader))
		}
	}
	return err.Error()
}

func leaderText(id uint64) string {
	if id == 0 {
		return "none"
	}
	return fmt.Sprint(id)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"the answer can't be worded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}

func read(r *http.Request, to any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, 2*clusterconfig.MaxProposal))
	dec.DisallowUnknownFields()
	if err := dec.Decode(to); err != nil {
		return bad("body: %v", err)
	}
	return nil
}

func (f *Member) status(ctx context.Context) (*Status, error) {
	s, err := f.node.Status(ctx)
	if err != nil {
		return nil, err
	}
	out := &Status{Status: s, Cluster: f.cfg.Cluster, ConfirmedAgeMs: -1}
	f.mu.Lock()
	in := f.in
	out.InstallError, out.Members = f.note, map[uint64]clusterconfig.Member{}
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		out.Members[id] = f.members[id]
	}
	f.mu.Unlock()
	if in != nil {
		out.InstalledVersion = in.Version()
		out.SiteStates = in.HallStates()
		var age time.Duration
		if age, out.IsServing = in.Standing(time.Now()); age > 0 {
			out.ConfirmedAgeMs = age.Milliseconds()
		}
	}
	return out, nil
}

func (f *Member) objects(ctx context.Context, r *http.Request) (any, error) {
	var s *clusterconfig.State
	var err error
	if r.URL.Query().Get("local") != "" {
		s, err = f.node.Freeze(ctx)
	} else {
		err = f.node.Read(ctx, func(now *clusterconfig.State) { s = now.Freeze() })
	}
	if err != nil {
		return nil, err
	}
	out := &Objects{Version: s.Version(), Hash: s.Hash(), Objects: map[string]map[string]json.RawMessage{}}
	for _, kind := range kinds {
		s.Each(kind, func(name string, value json.RawMessage) {
			if out.Objects[kind] == nil {
				out.Objects[kind] = map[string]json.RawMessage{}
			}
			out.Objects[kind][name] = value
		})
	}
	return out, nil
}

func (f *Member) propose(ctx context.Context, r *http.Request, checkOnly bool) (any, error) {
	p := &clusterconfig.Proposal{}
	if err := read(r, p); err != nil {
		return nil, err
	}
	who, err := f.asker(r)
	if err != nil {
		return nil, err
	}
	if p.Author = who.Operator; p.Author == "" {
		p.Author = fmt.Sprint("member ", who.Member)
	}
	if p.AtMs == 0 {
		p.AtMs = time.Now().UnixMilli()
	}
	if len(p.ID) == 0 || len(p.ID) > 200 {
		return nil, bad("id: 1 to 200 bytes are wanted")
	}
	if checkOnly {
		var s *clusterconfig.State
		if err := f.node.Read(ctx, func(now *clusterconfig.State) { s = now.Freeze() }); err != nil {
			return nil, err
		}
		if err := s.Check(p); err != nil {
			return nil, &refusal{http.StatusConflict, clusterconfig.Outcome{Version: s.Version(), Refused: err.Error()}}
		}
		return clusterconfig.Outcome{Version: s.Version(), Applied: true}, nil
	}
	// What can't be is not sent to all members. Whether this member's state is the newest is
	// for the log to tell: a refusal here counts only if the quorum's state refuses as well.
	local, err := f.node.Freeze(ctx)
	if err != nil {
		return nil, err
	}
	if local.Check(p) != nil {
		var s *clusterconfig.State
		var before clusterconfig.Outcome
		var known bool
		if err := f.node.Read(ctx, func(now *clusterconfig.State) {
			s = now.Freeze()
			before, known = now.Outcome(p.ID)
		}); err != nil {
			return nil, err
		}
		if known {
			return outcome(before)
		}
		if err := s.Check(p); err != nil {
			return outcome(clusterconfig.Outcome{Version: s.Version(), Refused: err.Error()})
		}
	}
	o, err := f.node.Propose(ctx, p)
	if err != nil {
		return nil, err
	}
	return outcome(o)
}

func outcome(o clusterconfig.Outcome) (any, error) {
	if !o.Applied {
		return nil, &refusal{http.StatusConflict, o}
	}
	return o, nil
}

// changeMembers changes the members. A new one is a learner until it has caught up.
func (f *Member) changeMembers(ctx context.Context, r *http.Request) (any, error) {
	var c MembershipChange
	if err := read(r, &c); err != nil {
		return nil, err
	}
	s, err := f.node.Status(ctx)
	if err != nil {
		return nil, err
	}
	if s.Leader != 0 && s.Leader != s.ID { // only the leader knows how far a learner has come
		return f.pass(ctx, s.Leader, r, &c)
	}
	has := func(id uint64) bool { return slices.Contains(s.Voters, id) || slices.Contains(s.Learners, id) }
	switch {
	case s.Leader == 0:
		return nil, raftnode.ErrNoLeader
	case c.Op != "add" && !has(c.MemberID):
		return nil, bad("member: %d is none of voters %v and learners %v", c.MemberID, s.Voters, s.Learners)
	case c.Op == "transfer":
		if !slices.Contains(s.Voters, c.MemberID) {
			return nil, bad("member: %d is no voter", c.MemberID)
		}
		err = f.node.Transfer(ctx, c.MemberID)
	case c.Op == "remove":
		if len(s.Voters) == 1 && s.Voters[0] == c.MemberID {
			return nil, bad("member: %d is the only voter", c.MemberID)
		}
		if err = f.node.Members(ctx, remove(c.MemberID)); err == nil {
			err = f.place(ctx, c.MemberID, nil)
		}
	case c.Op == "add":
		err = f.add(ctx, c.MemberID, c.Addrs, func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
			if slices.Contains(voters, c.MemberID) {
				return nil
			}
			return []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeAddNode, c.MemberID)}
		})
	case c.Op == "replace":
		if c.ReplacementID == c.MemberID {
			return nil, bad("with: a new number is wanted: that of a member is never used again")
		}
		err = f.add(ctx, c.ReplacementID, c.Addrs, func(voters, learners []uint64) (cs []*raftpb.ConfChangeSingle) { // at once: a joint change
			if !slices.Contains(voters, c.ReplacementID) {
				cs = append(cs, single(raftpb.ConfChangeAddNode, c.ReplacementID))
			}
			return append(cs, remove(c.MemberID)(voters, learners)...)
		})
		if err == nil {
			err = f.place(ctx, c.MemberID, nil)
		}
	default:
		return nil, bad("op: add, remove, replace or transfer is wanted")
	}
	if err != nil {
		return nil, err
	}
	return f.status(ctx)
}

func single(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id}
}

func remove(id uint64) func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
	return func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
		if !slices.Contains(voters, id) && !slices.Contains(learners, id) {
			return nil
		}
		return []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeRemoveNode, id)}
	}
}

// add makes a member a learner, waits until it has caught up, and lets it vote.
func (f *Member) add(ctx context.Context, id uint64, at *clusterconfig.Member, vote func(voters, learners []uint64) []*raftpb.ConfChangeSingle) error {
	if id == 0 || at == nil {
		return bad("member and at: the number and the addresses of the new member are wanted")
	}
	if err := f.place(ctx, id, at); err != nil {
		return err
	}
	if err := f.node.Members(ctx, func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
		if slices.Contains(voters, id) || slices.Contains(learners, id) {
			return nil
		}
		return []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeAddLearnerNode, id)}
	}); err != nil {
		return err
	}
	for {
		behind, known, err := f.node.Behind(ctx, id)
		if err != nil {
			return err
		}
		if known && behind < caughtUp {
			return f.node.Members(ctx, vote)
		}
		select {
		case <-ctx.Done():
			return &refusal{http.StatusServiceUnavailable, errorResponse{fmt.Sprintf("member %d is a learner and has not caught up yet (does it run?): ask again for the same change", id)}}
		case <-time.After(2 * orTick(f.cfg.TickInterval)):
		}
	}
}

// place has all members know where a member is reached, or forget it.
func (f *Member) place(ctx context.Context, id uint64, at *clusterconfig.Member) error {
	name := fmt.Sprint(id)
	c := clusterconfig.Change{Op: "remove", Kind: "member", Name: name}
	if at != nil {
		c = clusterconfig.Put("member", name, at)
	}
	s, err := f.node.Freeze(ctx)
	if err != nil {
		return err
	}
	if before, ok := s.Get("member", name); at == nil && !ok || at != nil && ok && string(before) == string(c.Value) {
		return nil
	}
	o, err := f.node.Propose(ctx, &clusterconfig.Proposal{ID: fmt.Sprintf("member-%d-%d", id, time.Now().UnixNano()), Author: fmt.Sprint("member ", f.cfg.MemberID),
		Why: "change of members", AtMs: time.Now().UnixMilli(), Changes: []clusterconfig.Change{c}})
	if err == nil && !o.Applied {
		err = bad("%s", o.Refused)
	}
	return err
}

// pass asks the leader instead, once.
func (f *Member) pass(ctx context.Context, leader uint64, r *http.Request, c *MembershipChange) (any, error) {
	f.mu.Lock()
	at := f.members[leader].Admin
	f.mu.Unlock()
	if r.Header.Get("X-Passed") != "" || at == "" {
		return nil, fmt.Errorf("member %d leads, at %q: ask there", leader, at)
	}
	cl := NewClient(f.cfg.Cluster, f.cfg.Credentials, at)
	defer cl.Close()
	var s Status
	if err := cl.doAt(ctx, at, http.MethodPost, "/v1/members", c, &s, true); err != nil {
		if e, ok := errors.AsType[*ResponseError](err); ok {
			return nil, &refusal{e.Status, errorResponse{e.Message}}
		}
		return nil, err
	}
	return &s, nil
}

// metrics words figures in the Prometheus text format.
func (f *Member) metrics(w http.ResponseWriter, r *http.Request) {
	s, err := f.status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	gauge := func(name, help string, v any) {
		fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s gauge\n%s %v\n", name, help, name, name, v)
	}
	bit := map[bool]int{true: 1}
	gauge("mulleingate_config_version", "Version applied at this member.", s.Version)
	gauge("mulleingate_config_installed", "Version in force at this instance.", s.InstalledVersion)
	gauge("mulleingate_config_age_seconds", "Since a quorum last confirmed it; -1: not since the start.", float64(s.ConfirmedAgeMs)/1000)
	gauge("mulleingate_serves", "1 if requests are served.", bit[s.IsServing])
	gauge("mulleingate_raft_leader", "Number of the member that leads; 0: none is known.", s.Leader)
	gauge("mulleingate_raft_applied_index", "Index of the last entry applied.", s.Index)
	if f.streams != nil {
		f.streams.metrics(w)
	}
	f.mu.Lock()
	in := f.in
	f.mu.Unlock()
	if in == nil {
		return
	}
	gauge("mulleingate_requests_unconfirmed", "Requests refused because the configuration was not confirmed.", in.Unconfirmed())
	type figures struct{ served, refused, failed, units int64 }
	all := map[string]figures{}
	in.Count(func(op string, c *gateway.Counters) {
		all[op] = figures{c.Served.Load(), c.Refused.Load(), c.Failed.Load(), c.Units.Load()}
	})
	fmt.Fprintf(w, "# TYPE mulleingate_requests_total counter\n")
	for _, op := range slices.Sorted(maps.Keys(all)) {
		v := all[op]
		fmt.Fprintf(w, "mulleingate_requests_total{operation=%q,answer=\"served\"} %d\nmulleingate_requests_total{operation=%q,answer=\"refused\"} %d\nmulleingate_requests_total{operation=%q,answer=\"failed\"} %d\n",
			op, v.served, op, v.refused, op, v.failed)
	}
	fmt.Fprintf(w, "# TYPE mulleingate_units_total counter\n")
	for _, op := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(w, "mulleingate_units_total{operation=%q} %d\n", op, all[op].units)
	}
}
