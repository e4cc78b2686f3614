// Package sites decides which hall a keyed request may go to, so that no key is booked at two
// halls: a repeat that reaches the other hall is not dropped there.
//
// Every key has one home: the first by rendezvous hashing (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998) of the halls that are open in an agreed
// epoch of homes. While epochs don't change, that alone keeps a key at one hall, at whichever
// instance its client tries. When they change, a key whose home moves may have been sent to
// its old one, here or elsewhere. It goes to the new home only once no such attempt can be:
//
//   - each other instance has said that it sends by the new epoch and what it has sent before,
//     and no word of it is missing; then a key that none has sent is new; or
//   - so much time has passed that none can have sent by the old epoch (Lease: an instance
//     sends only on an epoch that was confirmed so recently), and that no client still repeats
//     what was sent by then (Life).
//
// A key that may have run somewhere goes there and nowhere else, or is refused at once.
//
// The package does no I/O and reads no clock. Times are readings of one clock of this instance
// that never goes back; what instances tell each other holds durations alone, so that their
// clocks may be hours apart.
package multisite

import (
	"errors"
	"slices"
	"time"

	"mulleinmux/internal/splitmix"
)

// Config is what an instance is told at its start.
type Config struct {
	Me          uint64        // number of this instance
	Incarnation uint64        // of this process: above those of the processes before it
	Lease       time.Duration // for which an epoch may be sent on after it was confirmed
	Life        time.Duration // from a client's first try with a key until nothing of it can arrive any more; see [Keys.SetLife]
	Memory      time.Duration // for which a hall drops repeats, from the first send that may have run; likewise
	Most        int           // keys that are remembered
}

// Homes is an agreed epoch of homes.
type Homes struct {
	Epoch     uint64 // a later epoch has a higher number
	Halls     []Hall // in any order
	Instances []uint64
}

// Hall is one that keys may live at.
type Hall struct {
	Name string
	Open bool // it takes keys
	Part int  // of eight of the keys that would live there, those that do; 0: all
}

// Verdict is what may become of a request.
type Verdict struct {
	Hall string        // where it may go; empty: nowhere
	Wait time.Duration // after which trying again may help, without a hall
	Why  string
}

// Message is what an instance tells all others, each in its turn.
type Message struct {
	From        uint64
	Incarnation uint64
	Seq         uint64        // counts from 1
	Age         time.Duration // of the sender's process
	Epoch       uint64        // it sends by no older one from here on
	Sent        []Sent        // since the message before
	Full        bool          // it has sent keys that it could not remember
	Life        time.Duration // of the keys that it has sent of late
	Views       []View        `json:",omitempty"` // of the halls: see [Health]; nil: as before
	Ramp        *RampWord     `json:",omitempty"` // nil: as before
	Consent     *ConsentWord  `json:",omitempty"` // likewise
}

// Sent is a key that may have run.
type Sent struct {
	Key  uint64
	Hall string
	Ago  time.Duration // since its first send
}

// entry is a key that may have run, or is out.
type entry struct {
	hall  uint16 // in Keys.names
	out   uint16 // attempts of this instance that are out
	first time.Duration
	ran   bool // an attempt that has ended may have run, or another instance's is known of
}

// peer is another instance, as heard.
type peer struct {
	incarnation uint64
	seq         uint64
	epoch       uint64
	whole       time.Duration // since when no word of it is missing
	full        bool
	life        time.Duration
}

// span is a life and a memory that were in force.
type span struct {
	life, memory time.Duration
	until        time.Duration // it counts until then
}

// past is an epoch that others may still send by.
type past struct {
	homes *Homes // nil: any that there may have been before this process began
	ended time.Duration
}

// Keys is one instance's view. It is not safe for concurrent use.
type Keys struct {
	cfg       Config
	began     time.Duration
	homes     *Homes
	past      []past
	confirmed time.Duration // when the epoch's confirmation was asked for
	known     bool          // it was, ever
	names     []string
	keys      map[uint64]entry
	ages      []aged        // keys by the time at which they are forgotten, the oldest first
	fullTill  time.Duration // until then, what it could not remember may still be repeated
	untold    []uint64
	seq       uint64
	told      uint64 // epoch
	peers     map[uint64]*peer
	spans     []span // that were in force of late
}

type aged struct {
	until time.Duration
	key   uint64
}

const retryIn = 100 * time.Millisecond // where a barrier may lift at any moment

// New returns an instance's view. An error names the figure that can't be.
func New(cfg Config, now time.Duration) (*Keys, error) {
	switch {
	case cfg.Lease <= 0 || cfg.Life <= 0 || cfg.Most <= 0:
		return nil, errors.New("sites: Lease, Life and Most must be above 0")
	case cfg.Memory <= 0:
		return nil, errors.New("sites: Memory must be above 0")
	}
	return &Keys{cfg: cfg, began: now, past: []past{{nil, now}}, keys: map[uint64]entry{}, peers: map[uint64]*peer{}}, nil
}

// SetLife tells that clients repeat keys for another time, or halls remember them for another, from now on. A longer life
// and a shorter memory count at once; the life before this one counts until nothing that was sent by it can arrive
// any more. Other instances may still go by it for longer: each tells its own, and the longest counts.
func (k *Keys) SetLife(now, life, memory time.Duration) {
	if life <= 0 || memory <= 0 || life == k.cfg.Life && memory == k.cfg.Memory {
		return
	}
	k.spans = append(k.spans, span{k.cfg.Life, k.cfg.Memory, now + k.cfg.Lease + k.cfg.Life})
	k.cfg.Life, k.cfg.Memory = life, memory
}

// life is how long the keys may live that this instance has sent of late.
func (k *Keys) life(now time.Duration) (life time.Duration) {
	k.spans = slices.DeleteFunc(k.spans, func(s span) bool { return now >= s.until })
	life = k.cfg.Life
	for _, s := range k.spans {
		life = max(life, s.life)
	}
	return life
}

// longest is that over all instances, as far as they are known.
func (k *Keys) longest(now time.Duration) time.Duration {
	life := k.life(now)
	for _, p := range k.peers {
		life = max(life, p.life)
	}
	return life
}

// memory is how long a hall can be trusted to remember a key.
func (k *Keys) memory() time.Duration {
	memory := k.cfg.Memory
	for _, s := range k.spans {
		memory = min(memory, s.memory)
	}
	return memory
}

// kept is how long a key is remembered here: while its hall remembers it and, after that, as long as it may come again.
func (k *Keys) kept(now time.Duration) time.Duration {
	kept := k.cfg.Memory
	for _, s := range k.spans {
		kept = max(kept, s.memory)
	}
	return kept + k.longest(now)
}

// Install takes over an agreed epoch. Older ones than that in force are dropped.
func (k *Keys) Install(now time.Duration, h Homes) {
	if k.homes != nil {
		if h.Epoch <= k.homes.Epoch {
			return
		}
		k.past = append(k.past, past{k.homes, now})
	}
	k.homes = &Homes{h.Epoch, slices.Clone(h.Halls), slices.Clone(h.Instances)}
}

// Confirm tells that a quorum, asked at a time, has confirmed that no epoch behind the one in
// force was agreed on by then.
func (k *Keys) Confirm(asked time.Duration) {
	k.confirmed, k.known = max(k.confirmed, asked), true
}

// home is the open hall with the highest weight for a key, of those that take it. A hall that
// comes back takes a part of its keys, the same ones as with a smaller part and more; what it does not take
// yet goes to the next by weight. The arithmetic is exact: all instances must find the same.
func (h *Homes) home(key uint64) string {
	best, most, took := "", uint64(0), false
	for i := range h.Halls {
		hall := &h.Halls[i]
		if !hall.Open {
			continue
		}
		w := weigh(hall.Name, key)
		takes := hall.Part == 0 || int(weigh(hall.Name, ^key)>>61) < hall.Part
		if best == "" || takes && !took || takes == took && (w > most || w == most && hall.Name < best) {
			best, most, took = hall.Name, w, takes
		}
	}
	return best
}

// weigh mixes a hall's name (FNV-1a) and a key.
func weigh(name string, key uint64) uint64 {
	x := uint64(14695981039346656037)
	for i := range len(name) {
		x = (x ^ uint64(name[i])) * 1099511628211
	}
	return splitmix.Mix(x ^ key)
}

func (h *Homes) open(name string) bool {
	return slices.ContainsFunc(h.Halls, func(hall Hall) bool { return hall.Name == name && hall.Open })
}

// Route tells where a request with a key may go now. It must be asked again before each
// attempt: see [Keys.Send].
func (k *Keys) Route(now time.Duration, key uint64) Verdict {
	switch {
	case k.homes == nil || !slices.Contains(k.homes.Instances, k.cfg.Me):
		return Verdict{Wait: k.cfg.Lease, Why: "this instance has no part in the homes"}
	case !k.known || now-k.confirmed > k.cfg.Lease:
		return Verdict{Wait: retryIn, Why: "the homes are not confirmed"}
	}
	if e, ok := k.keys[key]; ok {
		name := k.names[e.hall]
		switch {
		case now-e.first > k.memory():
			return Verdict{Why: "it may have run so long ago that its hall no longer knows it"}
		case !k.homes.open(name):
			return Verdict{Wait: k.cfg.Lease, Why: "it may have run at " + name + ", which takes no keys"}
		}
		return Verdict{Hall: name}
	}
	home := k.homes.home(key)
	if home == "" {
		return Verdict{Wait: k.cfg.Lease, Why: "no hall takes keys"}
	}
	k.forgetPast(now)
	for _, p := range k.past {
		if p.homes != nil && p.homes.home(key) == home {
			continue // it has not moved
		}
		if !k.lifted(now, p.homes) {
			return Verdict{Wait: min(retryIn, p.ended+k.cfg.Lease+k.longest(now)-now), Why: "its home has moved, and it may have been sent to the old one"}
		}
	}
	return Verdict{Hall: home}
}

// forgetPast drops the epochs that nobody can have sent by for so long that no client repeats
// what was sent by them.
func (k *Keys) forgetPast(now time.Duration) {
	life := k.longest(now)
	k.past = slices.DeleteFunc(k.past, func(p past) bool { return now-p.ended > k.cfg.Lease+life })
}

// lifted tells whether all other instances, those of an old epoch and those of the one in
// force, send by the latter and have told all that they sent before.
func (k *Keys) lifted(now time.Duration, old *Homes) bool {
	life := k.longest(now)
	says := func(id uint64) bool {
		if id == k.cfg.Me {
			return now-k.began > life && now >= k.fullTill // what the process before this one sent is forgotten
		}
		p := k.peers[id]
		return p != nil && p.epoch >= k.homes.Epoch && !p.full && now-p.whole > life
	}
	for _, id := range k.homes.Instances {
		if !says(id) {
			return false
		}
	}
	if old == nil {
		return true // who was no longer one of them then has sent nothing for a Lease: the fence of its own epoch holds
	}
	for _, id := range old.Instances {
		if !says(id) {
			return false
		}
	}
	return true
}

// Send notes that an attempt is about to be written to a hall; if it returns false, it must
// not be.
func (k *Keys) Send(now time.Duration, key uint64, hall string) bool {
	if v := k.Route(now, key); v.Hall == "" || v.Hall != hall {
		return false
	}
	k.forget(now)
	e, ok := k.keys[key]
	if !ok {
		if len(k.keys) >= k.cfg.Most {
			// It can't be remembered. Its home is safe as long as homes don't move; when they do,
			// the fence of time is all that counts. A hall that forgets it sooner than its client does must not have it.
			if k.memory() < k.longest(now) {
				return false
			}
			k.fullTill = now + k.longest(now)
			return true
		}
		e = entry{hall: k.name(hall), first: now}
		k.ages = append(k.ages, aged{now + k.kept(now), key})
		k.untold = append(k.untold, key)
	}
	e.out++
	k.keys[key] = e
	return true
}

// Ended tells the outcome of an attempt that [Keys.Send] let through. One that never ran
// leaves no trace, unless another may have run.
func (k *Keys) Ended(key uint64, neverRan bool) {
	e, ok := k.keys[key]
	if !ok || e.out == 0 {
		return
	}
	e.out--
	e.ran = e.ran || !neverRan
	if k.keys[key] = e; !e.ran && e.out == 0 && !slices.Contains(k.untold, key) {
		// Others have been told that it may have run. They will send it to that hall alone; so
		// must this one.
		e.ran = true
		k.keys[key] = e
	} else if !e.ran && e.out == 0 {
		delete(k.keys, key)
	}
}

// forget drops keys that no client repeats any more. Those whose life has grown are looked at again.
func (k *Keys) forget(now time.Duration) {
	n, kept := 0, k.kept(now)
	for end := len(k.ages); n < end && k.ages[n].until <= now; n++ {
		a := k.ages[n]
		if e, ok := k.keys[a.key]; !ok {
		} else if due := e.first + kept; now >= due {
			delete(k.keys, a.key)
		} else {
			k.ages = append(k.ages, aged{due, a.key})
		}
	}
	k.ages = k.ages[n:]
}

func (k *Keys) name(hall string) uint16 {
	if i := slices.Index(k.names, hall); i >= 0 {
		return uint16(i)
	}
	k.names = append(k.names, hall)
	return uint16(len(k.names) - 1)
}

// Tell returns the next message to all other instances, with most keys at the most, and
// whether there is more to tell at once. It must go out now and then even with nothing sent: a
// barrier lifts by what is told.
func (k *Keys) Tell(now time.Duration, most int) (m Message, more bool) {
	k.forget(now)
	k.seq++
	n := min(len(k.untold), most)
	m = Message{From: k.cfg.Me, Incarnation: k.cfg.Incarnation, Seq: k.seq, Age: now - k.began, Full: now < k.fullTill, Life: k.life(now)}
	if more = n < len(k.untold); !more && k.homes != nil { // an epoch is told behind all that was sent before it
		k.told = k.homes.Epoch
	}
	m.Epoch = k.told
	for _, key := range k.untold[:n] {
		if e, ok := k.keys[key]; ok {
			m.Sent = append(m.Sent, Sent{key, k.names[e.hall], now - e.first})
		}
	}
	k.untold = append([]uint64(nil), k.untold[n:]...)
	return m, more
}

// Hear takes in another instance's message. One that is late, repeated or from an older
// process is dropped; one behind a gap counts as the first.
func (k *Keys) Hear(now time.Duration, m Message) {
	if m.From == k.cfg.Me {
		return
	}
	p := k.peers[m.From]
	switch {
	case p == nil || m.Incarnation > p.incarnation:
		p = &peer{incarnation: m.Incarnation, whole: now}
		if m.Seq == 1 { // what the process before it sent may be missing
			p.whole = now - m.Age
		}
		k.peers[m.From] = p
	case m.Incarnation < p.incarnation || m.Seq <= p.seq:
		return
	case m.Seq != p.seq+1:
		p.whole = now
	}
	p.seq, p.epoch, p.full, p.life = m.Seq, max(p.epoch, m.Epoch), m.Full, m.Life
	k.forget(now)
	for _, s := range m.Sent {
		e, ok := k.keys[s.Key]
		if ok || len(k.keys) >= k.cfg.Most {
			if !ok {
				p.whole = now // it can't be remembered: as if it had been missed
			}
			e.ran = true
			if ok {
				k.keys[s.Key] = e
			}
			continue
		}
		first := now - s.Ago
		k.keys[s.Key] = entry{hall: k.name(s.Hall), first: first, ran: true}
		k.ages = append(k.ages, aged{now + k.kept(now), s.Key})
	}
}

// Len is the number of keys remembered.
func (k *Keys) Len() int { return len(k.keys) }
