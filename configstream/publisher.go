package configstream

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
)

// PublisherConfig is what a member's side goes by.
type PublisherConfig struct {
	Member              uint64
	SilenceTimeout      time.Duration // without a word from a follower, after which its stream is ended and its state unknown
	PushReplyTimeout    time.Duration // for which a push may go without a reply
	ConfirmationTimeout time.Duration // for which a sign of life waits for a quorum's word
	MaxRetainedVersions int           // versions that deltas are made from
	MaxFollowers        int           // followers at a time
	AdmissionRate       float64       // followers that may come in a second
	AdmissionBurst      float64       // and at once
	DisableDeltas       bool          // no deltas: for comparison
}

// Hello is what a follower says of itself as its stream begins. Name is the one in its certificate.
type Hello struct {
	Name         string
	ProcessID    uint64 // drawn by the process at its start
	StartCount   uint64 // of its file: counts processes
	StreamNumber uint64 // of the process: counts streams
	Running      *Ref   // nil: it has none, and nothing kept: it takes a version alone that a quorum confirms from here on
	RunningFor   time.Duration
	Rejections   []Rejection
	MaxFormat    int // the newest that it knows
}

// Result is what became of a push.
type Result int

// Results.
const (
	ResultStatusOnly  Result = iota // no reply to a push: the follower tells what it runs
	ResultApplied                   // it is in force, and kept
	ResultRejected                  // it is not, and never will be; why is told
	ResultNeedsFull                 // the base of the delta is not there, or does not make what was said
	ResultNotNewer                  // what runs is as new or newer
	ResultUnconfirmed               // the follower has nothing kept, and no quorum has confirmed the version since it came
	ResultDiverged                  // the epoch is that of two services
)

func (r Result) String() string {
	return [...]string{"stated", "applied", "refused", "needs-full", "not-newer", "unconfirmed", "foreign"}[r]
}

// Report is a follower's reply to a push, or what it states unasked.
type Report struct {
	Nonce               uint64 // of the push; 0: none
	Result              Result
	Ref                 Ref // that was pushed
	Running             *Ref
	Problems            []Problem
	IsUnsupportedFormat bool // of a refusal: see [Rejection]
}

// Push offers a version to a follower.
type Push struct {
	Nonce       uint64
	Body        *Body
	IsConfirmed bool // a quorum has confirmed, since the stream began, that nothing newer was agreed on
}

// Pong answers a sign of life.
type Pong struct {
	Sequence         uint64
	Newest           Ref // at this member
	PlacementVersion uint64
	IsConfirmed      bool   // a quorum has confirmed, since the sign of life came, that nothing newer was agreed on
	NameConflict     string // why this follower is told nothing new: another process has its name
}

// StreamAction is something that a publisher's host sends on a stream, or the end of one.
type StreamAction struct {
	SessionID   uint64
	Push        *Push
	Pong        *Pong
	CloseReason string // why; empty: it goes on
}

// session is a stream to a follower.
type session struct {
	id      uint64
	hello   Hello
	began   time.Duration
	heard   time.Duration
	running *Ref
	since   time.Duration
	refused []Rejection
	nonce   uint64 // of the push under way; 0: none
	offered *Ref   // with it
	pushed  time.Duration
	whole   bool // the next push is no delta
	ping    uint64
	pinged  time.Duration
	waits   bool // for a pong
	twin    string
}

// GossipMessage is what a member tells the others of the followers that it serves. Ages are durations.
type GossipMessage struct {
	Member    uint64
	Followers []ObservedStream
}

// ObservedStream is one follower in a word.
type ObservedStream struct {
	Name            string
	ProcessID       uint64
	StartCount      uint64
	StreamNumber    uint64
	StreamAge       time.Duration // ago
	SilentFor       time.Duration // ago
	Running         *Ref
	RunningFor      time.Duration // ago
	Offered         *Ref
	LatestRejection *Rejection // of the newest version that it refused
}

// told is what another member said of one name, and when.
type told struct {
	at     time.Duration
	served []ObservedStream
}

// Publisher is a member's side.
type Publisher struct {
	cfg       PublisherConfig
	newest    *Version
	held      []*Version // the oldest first, the newest among them
	confirmed time.Duration
	sure      bool // of newest, as of confirmed
	sessions  map[uint64]*session
	order     []uint64              // their numbers, ascending
	named     map[string][]*session // in the same order
	others    map[uint64]map[string]told
	last      map[string]ObservedStream // of followers that have gone; ages as of seen
	seen      map[string]time.Duration
	stirred   map[string]bool  // names whose followers are not as they were told last
	bodies    map[[2]Ref]*Body // of the pushes since the newest came: by what the follower runs (the zero Ref: whole) and version
	pins      map[string]uint64
	credit    float64
	credited  time.Duration
	nonces    uint64
}

// NewPublisher returns a member's side. seed makes its nonces unlike those of its other processes.
func NewPublisher(cfg PublisherConfig, seed uint64) *Publisher {
	return &Publisher{cfg: cfg, sessions: map[uint64]*session{}, named: map[string][]*session{}, others: map[uint64]map[string]told{}, last: map[string]ObservedStream{}, seen: map[string]time.Duration{},
		stirred: map[string]bool{}, bodies: map[[2]Ref]*Body{}, pins: map[string]uint64{}, credit: cfg.AdmissionBurst, nonces: seed &^ (1<<20 - 1)}
}

// Newest is the newest version published here; nil: none.
func (p *Publisher) Newest() *Version { return p.newest }

// Publish takes over a version that is agreed on. One that is not newer is left.
func (p *Publisher) Publish(now time.Duration, v *Version) (outs []StreamAction) {
	if p.newest != nil && v.Compare(p.newest.Ref) != OrderNewer {
		return nil
	}
	p.newest, p.sure = v, false
	p.held = append(p.held, v)
	p.held = slices.Clone(p.held[max(len(p.held)-max(p.cfg.MaxRetainedVersions, 1), 0):])
	clear(p.bodies)
	clear(p.pins)
	v.Tree.Root().WalkPrefix([]byte("follower/"), func(k []byte, text json.RawMessage) bool {
		var f clusterconfig.Follower
		if json.Unmarshal(text, &f) == nil && f.PinnedVersion > 0 {
			p.pins[string(k[len("follower/"):])] = f.PinnedVersion
		}
		return false
	})
	for name := range p.last {
		if !p.agreed(name) {
			delete(p.last, name)
			delete(p.seen, name)
		}
	}
	return p.each(func(s *session) []StreamAction {
		if !p.agreed(s.hello.Name) {
			return p.end(now, s, "is no longer agreed on as a follower")
		}
		return p.offer(now, s)
	})
}

// Confirm says that a quorum has confirmed that, as of asked, nothing newer than ref was agreed on.
func (p *Publisher) Confirm(now, asked time.Duration, ref Ref) []StreamAction {
	if p.newest == nil || p.newest.Ref != ref {
		return nil
	}
	if !p.sure || asked > p.confirmed {
		p.confirmed, p.sure = asked, true
	}
	return p.each(func(s *session) (outs []StreamAction) {
		if s.waits && s.pinged <= p.confirmed {
			outs = append(outs, p.pong(s, true))
		}
		return append(outs, p.offer(now, s)...)
	})
}

// each calls f for all streams in one order.
func (p *Publisher) each(f func(*session) []StreamAction) (outs []StreamAction) {
	for _, id := range slices.Clone(p.order) { // f may end streams
		if s := p.sessions[id]; s != nil {
			outs = append(outs, f(s)...)
		}
	}
	return outs
}

func (p *Publisher) agreed(name string) bool {
	if p.newest == nil {
		return false
	}
	_, ok := p.newest.Tree.Get([]byte("follower/" + name))
	return ok
}

// Admit tells whether a further connection may come now: their handshakes are dear, and after a member has died all of its
// followers come at once.
func (p *Publisher) Admit(now time.Duration) bool {
	p.credit = math.Min(p.credit+p.cfg.AdmissionRate*(now-p.credited).Seconds(), p.cfg.AdmissionBurst)
	p.credited = now
	if p.credit < 1 || len(p.sessions) >= p.cfg.MaxFollowers {
		return false
	}
	p.credit--
	return true
}

// OpenStream begins a stream. Sessions have ascending numbers.
func (p *Publisher) OpenStream(now time.Duration, id uint64, h Hello) (outs []StreamAction) {
	if !p.agreed(h.Name) {
		return []StreamAction{{SessionID: id, CloseReason: fmt.Sprintf("%q is not agreed on as a follower", h.Name)}}
	}
	if len(p.sessions) >= p.cfg.MaxFollowers {
		return []StreamAction{{SessionID: id, CloseReason: "too many followers here"}}
	}
	for _, o := range slices.Clone(p.named[h.Name]) {
		if o.hello.ProcessID == h.ProcessID && o.hello.StreamNumber < h.StreamNumber {
			outs = append(outs, p.end(now, o, "the follower has begun another stream")...)
		}
	}
	s := &session{id: id, hello: h, began: now, heard: now, running: h.Running, since: now - h.RunningFor}
	for _, r := range h.Rejections {
		s.refused = addRefusal(s.refused, r)
	}
	p.sessions[id] = s
	p.order = append(p.order, id)
	p.named[h.Name] = append(p.named[h.Name], s)
	p.stirred[h.Name] = true
	return append(outs, p.offer(now, s)...)
}

// end ends a stream and remembers what was last known of its follower.
func (p *Publisher) end(now time.Duration, s *session, why string) []StreamAction {
	p.StreamClosed(now, s.id)
	return []StreamAction{{SessionID: s.id, CloseReason: why}}
}

// StreamClosed says that a stream has ended.
func (p *Publisher) StreamClosed(now time.Duration, id uint64) {
	s := p.sessions[id]
	if s == nil {
		return
	}
	delete(p.sessions, id)
	if i, ok := slices.BinarySearch(p.order, id); ok {
		p.order = slices.Delete(p.order, i, i+1)
	}
	if p.named[s.hello.Name] = slices.DeleteFunc(p.named[s.hello.Name], func(o *session) bool { return o == s }); len(p.named[s.hello.Name]) == 0 {
		delete(p.named, s.hello.Name)
	}
	p.stirred[s.hello.Name] = true
	if was, ok := p.last[s.hello.Name]; p.agreed(s.hello.Name) && (!ok || s.heard >= p.seen[s.hello.Name]-was.SilentFor) {
		p.last[s.hello.Name], p.seen[s.hello.Name] = p.served(now, s), now
	}
}

// target is the version that a follower should have: the newest, or that which it is pinned to; nil: that is not held here.
func (p *Publisher) target(name string) *Version {
	pin, ok := p.pins[name]
	if !ok || p.newest == nil || pin >= p.newest.Number {
		return p.newest
	}
	if i := slices.IndexFunc(p.held, func(v *Version) bool { return v.Number == pin && v.Epoch == p.newest.Epoch }); i >= 0 {
		return p.held[i]
	}
	return nil
}

// offer pushes a follower's version to it. One push is under way at a time: what comes meanwhile is not queued, the newest
// goes out with the reply.
func (p *Publisher) offer(now time.Duration, s *session) []StreamAction {
	v := p.target(s.hello.Name)
	if v == nil || s.nonce != 0 || s.twin != "" {
		return nil
	}
	fresh := p.sure && p.confirmed >= s.began
	if s.running == nil && !fresh {
		return nil // it can't tell what is old
	}
	if s.running != nil && v.Compare(*s.running) != OrderNewer || refusalOf(s.refused, v.Ref) != nil {
		return nil
	}
	p.nonces++
	ref := v.Ref
	s.nonce, s.offered, s.pushed = p.nonces, &ref, now
	return []StreamAction{{SessionID: s.id, Push: &Push{Nonce: s.nonce, Body: p.body(s, v), IsConfirmed: fresh}}}
}

// body is a version for a follower: what differs from what it runs, if that is held here and the smaller. It is made once
// for all followers with the same base.
func (p *Publisher) body(s *session, v *Version) *Body {
	var base Ref // none
	if s.running != nil && !s.whole && !p.cfg.DisableDeltas {
		base = *s.running
	}
	key := [2]Ref{base, v.Ref}
	if b, ok := p.bodies[key]; ok {
		return b
	}
	full := [2]Ref{{}, v.Ref}
	whole := p.bodies[full]
	if whole == nil {
		whole = v.Body(nil)
		p.bodies[full] = whole
	}
	i := slices.IndexFunc(p.held, func(h *Version) bool { return h.Ref == base })
	if i < 0 {
		return whole // not remembered: a follower may say that it runs anything
	}
	delta := v.Body(p.held[i])
	if delta.Size() >= whole.Size() {
		delta = whole
	}
	p.bodies[key] = delta
	return delta
}

// ReportReceived takes in a follower's report.
func (p *Publisher) ReportReceived(now time.Duration, id uint64, r Report) []StreamAction {
	s := p.sessions[id]
	if s == nil {
		return nil
	}
	s.heard = now
	if r.Running != nil && (s.running == nil || *s.running != *r.Running) {
		s.running, s.since = r.Running, now
		p.stirred[s.hello.Name] = true
	}
	if r.Result == ResultRejected {
		p.stirred[s.hello.Name] = true
		s.refused = addRefusal(s.refused, Rejection{Ref: r.Ref, Problems: r.Problems, IsUnsupportedFormat: r.IsUnsupportedFormat})
	}
	if r.Nonce == 0 || r.Nonce != s.nonce {
		return nil // a statement, or the reply to a push of another stream
	}
	again := false
	switch s.nonce = 0; r.Result {
	case ResultApplied, ResultRejected:
		s.whole, again = false, true
	case ResultNeedsFull:
		if s.whole {
			return p.end(now, s, "the whole version did not reach it as it is")
		}
		s.whole, again = true, true
	case ResultNotNewer:
		again = r.Running != nil && p.newest.Compare(*r.Running) == OrderNewer && s.offered != nil && p.newest.Ref != *s.offered
	}
	if !again {
		return nil // the next version or confirmation goes out as it comes
	}
	return p.offer(now, s)
}

// PingReceived takes in a sign of life. It is answered once a quorum's word tells more, or after a while without.
func (p *Publisher) PingReceived(now time.Duration, id, seq uint64) []StreamAction {
	if s := p.sessions[id]; s != nil {
		s.heard, s.ping, s.pinged, s.waits = now, seq, now, true
	}
	return nil
}

func (p *Publisher) pong(s *session, confirmed bool) StreamAction {
	s.waits = false
	return StreamAction{SessionID: s.id, Pong: &Pong{Sequence: s.ping, Newest: p.newest.Ref, PlacementVersion: p.newest.PlacementVersion, IsConfirmed: confirmed && s.twin == "", NameConflict: s.twin}}
}

// Tick ends streams that are silent or don't take what is pushed, answers signs of life that wait, and finds twins.
func (p *Publisher) Tick(now time.Duration) []StreamAction {
	for _, names := range p.others {
		maps.DeleteFunc(names, func(name string, t told) bool { return now-t.at > 10*p.cfg.SilenceTimeout || !p.agreed(name) })
	}
	return p.each(func(s *session) (outs []StreamAction) {
		switch {
		case now-s.heard > p.cfg.SilenceTimeout:
			return p.end(now, s, "silent")
		case s.nonce != 0 && now-s.pushed > p.cfg.PushReplyTimeout:
			return p.end(now, s, "does not reply to a push")
		}
		if before := s.twin; p.findTwin(now, s) && before == "" || s.waits && now-s.pinged > p.cfg.ConfirmationTimeout {
			outs = append(outs, p.pong(s, false))
		} else if before != "" && s.twin == "" {
			outs = append(outs, p.offer(now, s)...)
		}
		return outs
	})
}

// findTwin looks for another process under a follower's name. Two streams that overlap may be one follower that was
// restarted, or has lost the older one without our knowing: twins are two processes that were both heard after the later
// one had come. Both stay with what they run.
func (p *Publisher) findTwin(now time.Duration, s *session) bool {
	s.twin = ""
	me := p.served(now, s)
	p.everywhere(now, s.hello.Name, func(member uint64, o ObservedStream) {
		if o.ProcessID != me.ProcessID && max(o.SilentFor, me.SilentFor) < min(o.StreamAge, me.StreamAge) && o.SilentFor < p.cfg.SilenceTimeout {
			s.twin = fmt.Sprintf("processes %x and %x, at members %d and %d, are both called %s: end one, and give it a name and a file of its own",
				min(me.ProcessID, o.ProcessID), max(me.ProcessID, o.ProcessID), min(p.cfg.Member, member), max(p.cfg.Member, member), me.Name)
		}
	})
	return s.twin != ""
}

// everywhere calls f for all that is known of a follower's streams, here and at other members.
func (p *Publisher) everywhere(now time.Duration, name string, f func(member uint64, o ObservedStream)) {
	for _, s := range p.named[name] {
		f(p.cfg.Member, p.served(now, s))
	}
	if o, ok := p.last[name]; ok {
		f(p.cfg.Member, o.aged(now-p.seen[name]))
	}
	for _, member := range slices.Sorted(maps.Keys(p.others)) {
		t := p.others[member][name]
		for _, o := range t.served {
			f(member, o.aged(now-t.at))
		}
	}
}

func (o ObservedStream) aged(by time.Duration) ObservedStream {
	o.StreamAge, o.SilentFor, o.RunningFor = o.StreamAge+by, o.SilentFor+by, o.RunningFor+by
	return o
}

func (p *Publisher) served(now time.Duration, s *session) ObservedStream {
	return ObservedStream{Name: s.hello.Name, ProcessID: s.hello.ProcessID, StartCount: s.hello.StartCount, StreamNumber: s.hello.StreamNumber, StreamAge: now - s.began, SilentFor: now - s.heard,
		Running: s.running, RunningFor: now - s.since, Offered: s.offered, LatestRejection: newestOf(s.refused)}
}

// GossipMessages is what the other members are to be told, in words of about so many followers: of all that this member knows, or of
// those alone that are not as they were told last.
func (p *Publisher) GossipMessages(now time.Duration, most int, whole bool) (words []GossipMessage) {
	var all []ObservedStream
	p.each(func(s *session) []StreamAction {
		if whole || p.stirred[s.hello.Name] {
			all = append(all, p.served(now, s))
		}
		return nil
	})
	for name, o := range p.last {
		if whole || p.stirred[name] {
			all = append(all, o.aged(now-p.seen[name]))
		}
	}
	clear(p.stirred)
	slices.SortFunc(all, func(a, b ObservedStream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.SilentFor, b.SilentFor))
	})
	for i := 0; i < len(all); {
		end := min(i+most, len(all))
		for end < len(all) && all[end].Name == all[end-1].Name { // what is said of one name goes together
			end++
		}
		words = append(words, GossipMessage{p.cfg.Member, all[i:end]})
		i = end
	}
	return words
}

// GossipReceived takes in what another member tells.
func (p *Publisher) GossipReceived(now time.Duration, w GossipMessage) {
	if w.Member == p.cfg.Member {
		return
	}
	names := p.others[w.Member]
	if names == nil {
		names = map[string]told{}
		p.others[w.Member] = names
	}
	for i := 0; i < len(w.Followers); {
		end, name := i+1, w.Followers[i].Name
		for end < len(w.Followers) && w.Followers[end].Name == name {
			end++
		}
		if p.agreed(name) {
			names[name] = told{now, w.Followers[i:end]}
		}
		i = end
	}
}

// StreamStatus is how a follower stands, as far as the members know.
type StreamStatus struct {
	Name            string        `json:"name"`
	State           string        `json:"state"` // "running", "waiting" (connected, nothing in force), "unknown" or "never"
	Running         *Ref          `json:"running,omitempty"`
	StateAge        time.Duration `json:"since_ns,omitempty"` // it runs that, or its state is unknown, for so long
	Offered         *Ref          `json:"offered,omitempty"`  // the newest push to it
	LatestRejection *Rejection    `json:"refused,omitempty"`  // the newest refusal
	LastMember      uint64        `json:"member,omitempty"`   // that served it last
	IsBehind        bool          `json:"behind,omitempty"`   // what it runs is not the newest
	PinnedVersion   uint64        `json:"pinned,omitempty"`   // the version that it is to stay at
	NameConflict    string        `json:"twin,omitempty"`
}

// Statuses are those of all followers that are agreed on, by name.
func (p *Publisher) Statuses(now time.Duration) (all []StreamStatus) {
	if p.newest == nil {
		return nil
	}
	p.newest.Tree.Root().WalkPrefix([]byte("follower/"), func(k []byte, _ json.RawMessage) bool {
		all = append(all, p.standing(now, string(k[len("follower/"):])))
		return false
	})
	return all
}

func (p *Publisher) standing(now time.Duration, name string) StreamStatus {
	st := StreamStatus{Name: name, State: "never", PinnedVersion: p.pins[name]}
	var best ObservedStream
	found := false
	p.everywhere(now, name, func(member uint64, o ObservedStream) {
		if !found || cmp.Or(cmp.Compare(best.SilentFor, o.SilentFor), cmp.Compare(o.StreamNumber, best.StreamNumber)) > 0 {
			best, st.LastMember, found = o, member, true
		}
	})
	for _, s := range p.named[name] {
		st.NameConflict = cmp.Or(s.twin, st.NameConflict)
	}
	if !found {
		return st
	}
	st.Running, st.StateAge, st.Offered, st.LatestRejection = best.Running, best.RunningFor, best.Offered, best.LatestRejection
	switch {
	case best.SilentFor > p.cfg.SilenceTimeout:
		st.State, st.StateAge = "unknown", best.SilentFor
	case best.Running == nil:
		st.State, st.StateAge = "waiting", best.StreamAge
	default:
		st.State = "running"
	}
	st.IsBehind = st.State == "running" && p.newest.Compare(*st.Running) != OrderSame
	return st
}

// Summary words a standing for operators.
func (s *StreamStatus) Summary() string {
	text := s.State
	since := s.StateAge.Round(100 * time.Millisecond)
	switch {
	case s.NameConflict != "":
		text = s.NameConflict
	case s.State == "running":
		text = fmt.Sprintf("runs %v since %v", *s.Running, since)
	case s.State == "unknown" && s.Running != nil:
		text = fmt.Sprintf("is unknown since %v; it ran %v", since, *s.Running)
	case s.State == "unknown", s.State == "waiting":
		text = fmt.Sprintf("is %s since %v", s.State, since)
	case s.State == "never":
		text = "was never heard of"
	}
	if s.PinnedVersion > 0 {
		text += fmt.Sprintf(", pinned to %d", s.PinnedVersion)
	}
	if s.LatestRejection != nil && (s.Running == nil || s.LatestRejection.Compare(*s.Running) == OrderNewer) {
		text += fmt.Sprintf(", refused %v: %v", s.LatestRejection.Ref, s.LatestRejection.Problems)
	}
	return text
}

// Explain words why a follower does not run the newest version.
func (s *StreamStatus) Explain(newest uint64) string {
	text := s.Name + " " + s.Summary()
	switch {
	case s.State == "running" && s.Running.Number == newest && s.NameConflict == "":
		text += ": that is the newest"
	case s.PinnedVersion > 0 && s.State == "running" && s.Running.Number >= s.PinnedVersion:
		text += ": it takes nothing newer until it is unpinned; what is older than what it runs it never takes"
	case s.State == "running" && s.Running.Number > newest:
		text += fmt.Sprintf(": the members' newest is %d, which is older. A service that was restored needs a new epoch before followers take its versions", newest)
	case s.LatestRejection != nil && s.LatestRejection.Number == newest:
		text += ": it takes the next version that mends that"
	case s.State == "never":
		text += ": no member has had a stream from it. Does it run, with a certificate of that name and the members' stream addresses?"
	case s.State == "unknown":
		text += ": no member hears it. If it runs, it serves on what it had"
	case s.State == "waiting":
		text += ": it has kept nothing and waits for a version that a quorum confirms"
	case s.Offered != nil && s.Offered.Number == newest:
		text += ": it was offered the newest and has not replied yet"
	}
	return text
}
