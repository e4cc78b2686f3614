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
	Member   uint64
	Silence  time.Duration // without a word from a follower, after which its stream is ended and its state unknown
	Answer   time.Duration // for which a push may go without a reply
	Unsure   time.Duration // for which a sign of life waits for a quorum's word
	Held     int           // versions that deltas are made from
	Most     int           // followers at a time
	PerS     float64       // followers that may come in a second
	Burst    float64       // and at once
	FullOnly bool          // no deltas: for comparison
}

// Hello is what a follower says of itself as its stream begins. Name is the one in its certificate.
type Hello struct {
	Name    string
	Process uint64 // drawn by the process at its start
	Start   uint64 // of its file: counts processes
	Dial    uint64 // of the process: counts streams
	Running *Ref   // nil: it has none, and nothing kept: it takes a version alone that a quorum confirms from here on
	Since   time.Duration
	Refused []Refusal
	Format  int // the newest that it knows
}

// Result is what became of a push.
type Result int

// Results.
const (
	Stated      Result = iota // no reply to a push: the follower tells what it runs
	Applied                   // it is in force, and kept
	Refused                   // it is not, and never will be; why is told
	NeedsFull                 // the base of the delta is not there, or does not make what was said
	NotNewer                  // what runs is as new or newer
	Unconfirmed               // the follower has nothing kept, and no quorum has confirmed the version since it came
	Foreign                   // the epoch is that of two services
)

func (r Result) String() string {
	return [...]string{"stated", "applied", "refused", "needs-full", "not-newer", "unconfirmed", "foreign"}[r]
}

// Report is a follower's reply to a push, or what it states unasked.
type Report struct {
	Nonce    uint64 // of the push; 0: none
	Result   Result
	Ref      Ref // that was pushed
	Running  *Ref
	Problems []Problem
	Unread   bool // of a refusal: see [Refusal]
}

// Push offers a version to a follower.
type Push struct {
	Nonce     uint64
	Body      *Body
	Confirmed bool // a quorum has confirmed, since the stream began, that nothing newer was agreed on
}

// Pong answers a sign of life.
type Pong struct {
	Seq       uint64
	Newest    Ref // at this member
	Homes     uint64
	Confirmed bool   // a quorum has confirmed, since the sign of life came, that nothing newer was agreed on
	Twin      string // why this follower is told nothing new: another process has its name
}

// Out is something that a publisher's host sends on a stream, or the end of one.
type Out struct {
	Session uint64
	Push    *Push
	Pong    *Pong
	Close   string // why; empty: it goes on
}

// session is a stream to a follower.
type session struct {
	id      uint64
	hello   Hello
	began   time.Duration
	heard   time.Duration
	running *Ref
	since   time.Duration
	refused []Refusal
	nonce   uint64 // of the push under way; 0: none
	offered *Ref   // with it
	pushed  time.Duration
	whole   bool // the next push is no delta
	ping    uint64
	pinged  time.Duration
	waits   bool // for a pong
	twin    string
}

// Word is what a member tells the others of the followers that it serves. Ages are durations.
type Word struct {
	Member    uint64
	Followers []Served
}

// Served is one follower in a word.
type Served struct {
	Name    string
	Process uint64
	Start   uint64
	Dial    uint64
	Began   time.Duration // ago
	Heard   time.Duration // ago
	Running *Ref
	Since   time.Duration // ago
	Offered *Ref
	Refused *Refusal // of the newest version that it refused
}

// told is what another member said of one name, and when.
type told struct {
	at     time.Duration
	served []Served
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
	last      map[string]Served // of followers that have gone; ages as of seen
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
	return &Publisher{cfg: cfg, sessions: map[uint64]*session{}, named: map[string][]*session{}, others: map[uint64]map[string]told{}, last: map[string]Served{}, seen: map[string]time.Duration{},
		stirred: map[string]bool{}, bodies: map[[2]Ref]*Body{}, pins: map[string]uint64{}, credit: cfg.Burst, nonces: seed &^ (1<<20 - 1)}
}

// Newest is the newest version published here; nil: none.
func (p *Publisher) Newest() *Version { return p.newest }

// Publish takes over a version that is agreed on. One that is not newer is left.
func (p *Publisher) Publish(now time.Duration, v *Version) (outs []Out) {
	if p.newest != nil && v.Order(p.newest.Ref) != Newer {
		return nil
	}
	p.newest, p.sure = v, false
	p.held = append(p.held, v)
	p.held = slices.Clone(p.held[max(len(p.held)-max(p.cfg.Held, 1), 0):])
	clear(p.bodies)
	clear(p.pins)
	v.Tree.Root().WalkPrefix([]byte("follower/"), func(k []byte, text json.RawMessage) bool {
		var f clusterconfig.Follower
		if json.Unmarshal(text, &f) == nil && f.Pin > 0 {
			p.pins[string(k[len("follower/"):])] = f.Pin
		}
		return false
	})
	for name := range p.last {
		if !p.agreed(name) {
			delete(p.last, name)
			delete(p.seen, name)
		}
	}
	return p.each(func(s *session) []Out {
		if !p.agreed(s.hello.Name) {
			return p.end(now, s, "is no longer agreed on as a follower")
		}
		return p.offer(now, s)
	})
}

// Confirm says that a quorum has confirmed that, as of asked, nothing newer than ref was agreed on.
func (p *Publisher) Confirm(now, asked time.Duration, ref Ref) []Out {
	if p.newest == nil || p.newest.Ref != ref {
		return nil
	}
	if !p.sure || asked > p.confirmed {
		p.confirmed, p.sure = asked, true
	}
	return p.each(func(s *session) (outs []Out) {
		if s.waits && s.pinged <= p.confirmed {
			outs = append(outs, p.pong(s, true))
		}
		return append(outs, p.offer(now, s)...)
	})
}

// each calls f for all streams in one order.
func (p *Publisher) each(f func(*session) []Out) (outs []Out) {
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
	p.credit = math.Min(p.credit+p.cfg.PerS*(now-p.credited).Seconds(), p.cfg.Burst)
	p.credited = now
	if p.credit < 1 || len(p.sessions) >= p.cfg.Most {
		return false
	}
	p.credit--
	return true
}

// Hello begins a stream. Sessions have ascending numbers.
func (p *Publisher) Hello(now time.Duration, id uint64, h Hello) (outs []Out) {
	if !p.agreed(h.Name) {
		return []Out{{Session: id, Close: fmt.Sprintf("%q is not agreed on as a follower", h.Name)}}
	}
	if len(p.sessions) >= p.cfg.Most {
		return []Out{{Session: id, Close: "too many followers here"}}
	}
	for _, o := range slices.Clone(p.named[h.Name]) {
		if o.hello.Process == h.Process && o.hello.Dial < h.Dial {
			outs = append(outs, p.end(now, o, "the follower has begun another stream")...)
		}
	}
	s := &session{id: id, hello: h, began: now, heard: now, running: h.Running, since: now - h.Since}
	for _, r := range h.Refused {
		s.refused = addRefusal(s.refused, r)
	}
	p.sessions[id] = s
	p.order = append(p.order, id)
	p.named[h.Name] = append(p.named[h.Name], s)
	p.stirred[h.Name] = true
	return append(outs, p.offer(now, s)...)
}

// end ends a stream and remembers what was last known of its follower.
func (p *Publisher) end(now time.Duration, s *session, why string) []Out {
	p.Gone(now, s.id)
	return []Out{{Session: s.id, Close: why}}
}

// Gone says that a stream has ended.
func (p *Publisher) Gone(now time.Duration, id uint64) {
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
	if was, ok := p.last[s.hello.Name]; p.agreed(s.hello.Name) && (!ok || s.heard >= p.seen[s.hello.Name]-was.Heard) {
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
func (p *Publisher) offer(now time.Duration, s *session) []Out {
	v := p.target(s.hello.Name)
	if v == nil || s.nonce != 0 || s.twin != "" {
		return nil
	}
	fresh := p.sure && p.confirmed >= s.began
	if s.running == nil && !fresh {
		return nil // it can't tell what is old
	}
	if s.running != nil && v.Order(*s.running) != Newer || refusalOf(s.refused, v.Ref) != nil {
		return nil
	}
	p.nonces++
	ref := v.Ref
	s.nonce, s.offered, s.pushed = p.nonces, &ref, now
	return []Out{{Session: s.id, Push: &Push{Nonce: s.nonce, Body: p.body(s, v), Confirmed: fresh}}}
}

// body is a version for a follower: what differs from what it runs, if that is held here and the smaller. It is made once
// for all followers with the same base.
func (p *Publisher) body(s *session, v *Version) *Body {
	var base Ref // none
	if s.running != nil && !s.whole && !p.cfg.FullOnly {
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

// Hear takes in a follower's report.
func (p *Publisher) Hear(now time.Duration, id uint64, r Report) []Out {
	s := p.sessions[id]
	if s == nil {
		return nil
	}
	s.heard = now
	if r.Running != nil && (s.running == nil || *s.running != *r.Running) {
		s.running, s.since = r.Running, now
		p.stirred[s.hello.Name] = true
	}
	if r.Result == Refused {
		p.stirred[s.hello.Name] = true
		s.refused = addRefusal(s.refused, Refusal{Ref: r.Ref, Problems: r.Problems, Unread: r.Unread})
	}
	if r.Nonce == 0 || r.Nonce != s.nonce {
		return nil // a statement, or the reply to a push of another stream
	}
	again := false
	switch s.nonce = 0; r.Result {
	case Applied, Refused:
		s.whole, again = false, true
	case NeedsFull:
		if s.whole {
			return p.end(now, s, "the whole version did not reach it as it is")
		}
		s.whole, again = true, true
	case NotNewer:
		again = r.Running != nil && p.newest.Order(*r.Running) == Newer && s.offered != nil && p.newest.Ref != *s.offered
	}
	if !again {
		return nil // the next version or confirmation goes out as it comes
	}
	return p.offer(now, s)
}

// Ping takes in a sign of life. It is answered once a quorum's word tells more, or after a while without.
func (p *Publisher) Ping(now time.Duration, id, seq uint64) []Out {
	if s := p.sessions[id]; s != nil {
		s.heard, s.ping, s.pinged, s.waits = now, seq, now, true
	}
	return nil
}

func (p *Publisher) pong(s *session, confirmed bool) Out {
	s.waits = false
	return Out{Session: s.id, Pong: &Pong{Seq: s.ping, Newest: p.newest.Ref, Homes: p.newest.Homes, Confirmed: confirmed && s.twin == "", Twin: s.twin}}
}

// Tick ends streams that are silent or don't take what is pushed, answers signs of life that wait, and finds twins.
func (p *Publisher) Tick(now time.Duration) []Out {
	for _, names := range p.others {
		maps.DeleteFunc(names, func(name string, t told) bool { return now-t.at > 10*p.cfg.Silence || !p.agreed(name) })
	}
	return p.each(func(s *session) (outs []Out) {
		switch {
		case now-s.heard > p.cfg.Silence:
			return p.end(now, s, "silent")
		case s.nonce != 0 && now-s.pushed > p.cfg.Answer:
			return p.end(now, s, "does not reply to a push")
		}
		if before := s.twin; p.findTwin(now, s) && before == "" || s.waits && now-s.pinged > p.cfg.Unsure {
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
	p.everywhere(now, s.hello.Name, func(member uint64, o Served) {
		if o.Process != me.Process && max(o.Heard, me.Heard) < min(o.Began, me.Began) && o.Heard < p.cfg.Silence {
			s.twin = fmt.Sprintf("processes %x and %x, at members %d and %d, are both called %s: end one, and give it a name and a file of its own",
				min(me.Process, o.Process), max(me.Process, o.Process), min(p.cfg.Member, member), max(p.cfg.Member, member), me.Name)
		}
	})
	return s.twin != ""
}

// everywhere calls f for all that is known of a follower's streams, here and at other members.
func (p *Publisher) everywhere(now time.Duration, name string, f func(member uint64, o Served)) {
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

func (o Served) aged(by time.Duration) Served {
	o.Began, o.Heard, o.Since = o.Began+by, o.Heard+by, o.Since+by
	return o
}

func (p *Publisher) served(now time.Duration, s *session) Served {
	return Served{Name: s.hello.Name, Process: s.hello.Process, Start: s.hello.Start, Dial: s.hello.Dial, Began: now - s.began, Heard: now - s.heard,
		Running: s.running, Since: now - s.since, Offered: s.offered, Refused: newestOf(s.refused)}
}

// Tell is what the other members are to be told, in words of about so many followers: of all that this member knows, or of
// those alone that are not as they were told last.
func (p *Publisher) Tell(now time.Duration, most int, whole bool) (words []Word) {
	var all []Served
	p.each(func(s *session) []Out {
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
	slices.SortFunc(all, func(a, b Served) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Heard, b.Heard)) })
	for i := 0; i < len(all); {
		end := min(i+most, len(all))
		for end < len(all) && all[end].Name == all[end-1].Name { // what is said of one name goes together
			end++
		}
		words = append(words, Word{p.cfg.Member, all[i:end]})
		i = end
	}
	return words
}

// HearWord takes in what another member tells.
func (p *Publisher) HearWord(now time.Duration, w Word) {
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

// Standing is how a follower stands, as far as the members know.
type Standing struct {
	Name    string        `json:"name"`
	State   string        `json:"state"` // "running", "waiting" (connected, nothing in force), "unknown" or "never"
	Running *Ref          `json:"running,omitempty"`
	Since   time.Duration `json:"since_ns,omitempty"` // it runs that, or its state is unknown, for so long
	Offered *Ref          `json:"offered,omitempty"`  // the newest push to it
	Refused *Refusal      `json:"refused,omitempty"`  // the newest refusal
	Member  uint64        `json:"member,omitempty"`   // that served it last
	Behind  bool          `json:"behind,omitempty"`   // what it runs is not the newest
	Pinned  uint64        `json:"pinned,omitempty"`   // the version that it is to stay at
	Twin    string        `json:"twin,omitempty"`
}

// Standings are those of all followers that are agreed on, by name.
func (p *Publisher) Standings(now time.Duration) (all []Standing) {
	if p.newest == nil {
		return nil
	}
	p.newest.Tree.Root().WalkPrefix([]byte("follower/"), func(k []byte, _ json.RawMessage) bool {
		all = append(all, p.standing(now, string(k[len("follower/"):])))
		return false
	})
	return all
}

func (p *Publisher) standing(now time.Duration, name string) Standing {
	st := Standing{Name: name, State: "never", Pinned: p.pins[name]}
	var best Served
	found := false
	p.everywhere(now, name, func(member uint64, o Served) {
		if !found || cmp.Or(cmp.Compare(best.Heard, o.Heard), cmp.Compare(o.Dial, best.Dial)) > 0 {
			best, st.Member, found = o, member, true
		}
	})
	for _, s := range p.named[name] {
		st.Twin = cmp.Or(s.twin, st.Twin)
	}
	if !found {
		return st
	}
	st.Running, st.Since, st.Offered, st.Refused = best.Running, best.Since, best.Offered, best.Refused
	switch {
	case best.Heard > p.cfg.Silence:
		st.State, st.Since = "unknown", best.Heard
	case best.Running == nil:
		st.State, st.Since = "waiting", best.Began
	default:
		st.State = "running"
	}
	st.Behind = st.State == "running" && p.newest.Order(*st.Running) != Same
	return st
}

// Plain words a standing for operators.
func (s *Standing) Plain() string {
	text := s.State
	since := s.Since.Round(100 * time.Millisecond)
	switch {
	case s.Twin != "":
		text = s.Twin
	case s.State == "running":
		text = fmt.Sprintf("runs %v since %v", *s.Running, since)
	case s.State == "unknown" && s.Running != nil:
		text = fmt.Sprintf("is unknown since %v; it ran %v", since, *s.Running)
	case s.State == "unknown", s.State == "waiting":
		text = fmt.Sprintf("is %s since %v", s.State, since)
	case s.State == "never":
		text = "was never heard of"
	}
	if s.Pinned > 0 {
		text += fmt.Sprintf(", pinned to %d", s.Pinned)
	}
	if s.Refused != nil && (s.Running == nil || s.Refused.Order(*s.Running) == Newer) {
		text += fmt.Sprintf(", refused %v: %v", s.Refused.Ref, s.Refused.Problems)
	}
	return text
}

// Explain words why a follower does not run the newest version.
func (s *Standing) Explain(newest uint64) string {
	text := s.Name + " " + s.Plain()
	switch {
	case s.State == "running" && s.Running.Number == newest && s.Twin == "":
		text += ": that is the newest"
	case s.Pinned > 0 && s.State == "running" && s.Running.Number >= s.Pinned:
		text += ": it takes nothing newer until it is unpinned; what is older than what it runs it never takes"
	case s.State == "running" && s.Running.Number > newest:
		text += fmt.Sprintf(": the members' newest is %d, which is older. A service that was restored needs a new epoch before followers take its versions", newest)
	case s.Refused != nil && s.Refused.Number == newest:
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
