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

// KeyConfig is what an instance is told at its start.
type KeyConfig struct {
	InstanceID          uint64        // number of this instance
	Incarnation         uint64        // of this process: above those of the processes before it
	LeaseTTL            time.Duration // for which an epoch may be sent on after it was confirmed
	KeyTTL              time.Duration // from a client's first try with a key until nothing of it can arrive any more; see [KeyTable.SetLifetimes]
	DeduplicationWindow time.Duration // for which a hall drops repeats, from the first send that may have run; likewise
	MaxKeys             int           // keys that are remembered
}

// OwnershipEpoch is an agreed epoch of homes.
type OwnershipEpoch struct {
	Number    uint64 // a later epoch has a higher number
	Sites     []Site // in any order
	Instances []uint64
}

// Site is one that keys may live at.
type Site struct {
	Name       string
	IsOpen     bool // it takes keys
	KeyEighths int  // of eight of the keys that would live there, those that do; 0: all
}

// RoutingDecision is what may become of a request.
type RoutingDecision struct {
	Site       string        // where it may go; empty: nowhere
	RetryAfter time.Duration // after which trying again may help, without a hall
	Reason     string
}

// Message is what an instance tells all others, each in its turn.
type Message struct {
	From              uint64
	Incarnation       uint64
	SequenceNumber    uint64               // counts from 1
	Uptime            time.Duration        // of the sender's process
	Epoch             uint64               // it sends by no older one from here on
	SentKeys          []SentKey            // since the message before
	HasUnrecordedKeys bool                 // it has sent keys that it could not remember
	KeyTTL            time.Duration        // of the keys that it has sent of late
	Views             []SiteView           `json:",omitempty"` // of the halls: see [HealthMonitor]; nil: as before
	Ramp              *RampMessage         `json:",omitempty"` // nil: as before
	Confirmation      *ConfirmationMessage `json:",omitempty"` // likewise
}

// SentKey is a key that may have run.
type SentKey struct {
	Key            uint64
	Site           string
	SinceFirstSend time.Duration // since its first send
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
	homes *OwnershipEpoch // nil: any that there may have been before this process began
	ended time.Duration
}

// KeyTable is one instance's view. It is not safe for concurrent use.
type KeyTable struct {
	cfg       KeyConfig
	began     time.Duration
	homes     *OwnershipEpoch
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

// NewKeyTable returns an instance's view. An error names the figure that can't be.
func NewKeyTable(cfg KeyConfig, now time.Duration) (*KeyTable, error) {
	switch {
	case cfg.LeaseTTL <= 0 || cfg.KeyTTL <= 0 || cfg.MaxKeys <= 0:
		return nil, errors.New("sites: Lease, Life and Most must be above 0")
	case cfg.DeduplicationWindow <= 0:
		return nil, errors.New("sites: Memory must be above 0")
	}
	return &KeyTable{cfg: cfg, began: now, past: []past{{nil, now}}, keys: map[uint64]entry{}, peers: map[uint64]*peer{}}, nil
}

// SetLifetimes tells that clients repeat keys for another time, or halls remember them for another, from now on. A longer life
// and a shorter memory count at once; the life before this one counts until nothing that was sent by it can arrive
// any more. Other instances may still go by it for longer: each tells its own, and the longest counts.
func (k *KeyTable) SetLifetimes(now, life, memory time.Duration) {
	if life <= 0 || memory <= 0 || life == k.cfg.KeyTTL && memory == k.cfg.DeduplicationWindow {
		return
	}
	k.spans = append(k.spans, span{k.cfg.KeyTTL, k.cfg.DeduplicationWindow, now + k.cfg.LeaseTTL + k.cfg.KeyTTL})
	k.cfg.KeyTTL, k.cfg.DeduplicationWindow = life, memory
}

// life is how long the keys may live that this instance has sent of late.
func (k *KeyTable) life(now time.Duration) (life time.Duration) {
	k.spans = slices.DeleteFunc(k.spans, func(s span) bool { return now >= s.until })
	life = k.cfg.KeyTTL
	for _, s := range k.spans {
		life = max(life, s.life)
	}
	return life
}

// longest is that over all instances, as far as they are known.
func (k *KeyTable) longest(now time.Duration) time.Duration {
	life := k.life(now)
	for _, p := range k.peers {
		life = max(life, p.life)
	}
	return life
}

// memory is how long a hall can be trusted to remember a key.
func (k *KeyTable) memory() time.Duration {
	memory := k.cfg.DeduplicationWindow
	for _, s := range k.spans {
		memory = min(memory, s.memory)
	}
	return memory
}

// kept is how long a key is remembered here: while its hall remembers it and, after that, as long as it may come again.
func (k *KeyTable) kept(now time.Duration) time.Duration {
	kept := k.cfg.DeduplicationWindow
	for _, s := range k.spans {
		kept = max(kept, s.memory)
	}
	return kept + k.longest(now)
}

// InstallEpoch takes over an agreed epoch. Older ones than that in force are dropped.
func (k *KeyTable) InstallEpoch(now time.Duration, h OwnershipEpoch) {
	if k.homes != nil {
		if h.Number <= k.homes.Number {
			return
		}
		k.past = append(k.past, past{k.homes, now})
	}
	k.homes = &OwnershipEpoch{h.Number, slices.Clone(h.Sites), slices.Clone(h.Instances)}
}

// ConfirmEpoch tells that a quorum, asked at a time, has confirmed that no epoch behind the one in
// force was agreed on by then.
func (k *KeyTable) ConfirmEpoch(asked time.Duration) {
	k.confirmed, k.known = max(k.confirmed, asked), true
}

// home is the open hall with the highest weight for a key, of those that take it. A hall that
// comes back takes a part of its keys, the same ones as with a smaller part and more; what it does not take
// yet goes to the next by weight. The arithmetic is exact: all instances must find the same.
func (h *OwnershipEpoch) home(key uint64) string {
	best, most, took := "", uint64(0), false
	for i := range h.Sites {
		hall := &h.Sites[i]
		if !hall.IsOpen {
			continue
		}
		w := weigh(hall.Name, key)
		takes := hall.KeyEighths == 0 || int(weigh(hall.Name, ^key)>>61) < hall.KeyEighths
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

func (h *OwnershipEpoch) open(name string) bool {
	return slices.ContainsFunc(h.Sites, func(hall Site) bool { return hall.Name == name && hall.IsOpen })
}

// Route tells where a request with a key may go now. It must be asked again before each
// attempt: see [KeyTable.BeginAttempt].
func (k *KeyTable) Route(now time.Duration, key uint64) RoutingDecision {
	switch {
	case k.homes == nil || !slices.Contains(k.homes.Instances, k.cfg.InstanceID):
		return RoutingDecision{RetryAfter: k.cfg.LeaseTTL, Reason: "this instance has no part in the homes"}
	case !k.known || now-k.confirmed > k.cfg.LeaseTTL:
		return RoutingDecision{RetryAfter: retryIn, Reason: "the homes are not confirmed"}
	}
	if e, ok := k.keys[key]; ok {
		name := k.names[e.hall]
		switch {
		case now-e.first > k.memory():
			return RoutingDecision{Reason: "it may have run so long ago that its hall no longer knows it"}
		case !k.homes.open(name):
			return RoutingDecision{RetryAfter: k.cfg.LeaseTTL, Reason: "it may have run at " + name + ", which takes no keys"}
		}
		return RoutingDecision{Site: name}
	}
	home := k.homes.home(key)
	if home == "" {
		return RoutingDecision{RetryAfter: k.cfg.LeaseTTL, Reason: "no hall takes keys"}
	}
	k.forgetPast(now)
	for _, p := range k.past {
		if p.homes != nil && p.homes.home(key) == home {
			continue // it has not moved
		}
		if !k.lifted(now, p.homes) {
			return RoutingDecision{RetryAfter: min(retryIn, p.ended+k.cfg.LeaseTTL+k.longest(now)-now), Reason: "its home has moved, and it may have been sent to the old one"}
		}
	}
	return RoutingDecision{Site: home}
}

// forgetPast drops the epochs that nobody can have sent by for so long that no client repeats
// what was sent by them.
func (k *KeyTable) forgetPast(now time.Duration) {
	life := k.longest(now)
	k.past = slices.DeleteFunc(k.past, func(p past) bool { return now-p.ended > k.cfg.LeaseTTL+life })
}

// lifted tells whether all other instances, those of an old epoch and those of the one in
// force, send by the latter and have told all that they sent before.
func (k *KeyTable) lifted(now time.Duration, old *OwnershipEpoch) bool {
	life := k.longest(now)
	says := func(id uint64) bool {
		if id == k.cfg.InstanceID {
			return now-k.began > life && now >= k.fullTill // what the process before this one sent is forgotten
		}
		p := k.peers[id]
		return p != nil && p.epoch >= k.homes.Number && !p.full && now-p.whole > life
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

// BeginAttempt notes that an attempt is about to be written to a hall; if it returns false, it must
// not be.
func (k *KeyTable) BeginAttempt(now time.Duration, key uint64, hall string) bool {
	if v := k.Route(now, key); v.Site == "" || v.Site != hall {
		return false
	}
	k.forget(now)
	e, ok := k.keys[key]
	if !ok {
		if len(k.keys) >= k.cfg.MaxKeys {
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

// EndAttempt tells the outcome of an attempt that [KeyTable.BeginAttempt] let through. One that never ran
// leaves no trace, unless another may have run.
func (k *KeyTable) EndAttempt(key uint64, neverRan bool) {
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
func (k *KeyTable) forget(now time.Duration) {
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

func (k *KeyTable) name(hall string) uint16 {
	if i := slices.Index(k.names, hall); i >= 0 {
		return uint16(i)
	}
	k.names = append(k.names, hall)
	return uint16(len(k.names) - 1)
}

// NextBroadcast returns the next message to all other instances, with most keys at the most, and
// whether there is more to tell at once. It must go out now and then even with nothing sent: a
// barrier lifts by what is told.
func (k *KeyTable) NextBroadcast(now time.Duration, most int) (m Message, more bool) {
	k.forget(now)
	k.seq++
	n := min(len(k.untold), most)
	m = Message{From: k.cfg.InstanceID, Incarnation: k.cfg.Incarnation, SequenceNumber: k.seq, Uptime: now - k.began, HasUnrecordedKeys: now < k.fullTill, KeyTTL: k.life(now)}
	if more = n < len(k.untold); !more && k.homes != nil { // an epoch is told behind all that was sent before it
		k.told = k.homes.Number
	}
	m.Epoch = k.told
	for _, key := range k.untold[:n] {
		if e, ok := k.keys[key]; ok {
			m.SentKeys = append(m.SentKeys, SentKey{key, k.names[e.hall], now - e.first})
		}
	}
	k.untold = append([]uint64(nil), k.untold[n:]...)
	return m, more
}

// Receive takes in another instance's message. One that is late, repeated or from an older
// process is dropped; one behind a gap counts as the first.
func (k *KeyTable) Receive(now time.Duration, m Message) {
	if m.From == k.cfg.InstanceID {
		return
	}
	p := k.peers[m.From]
	switch {
	case p == nil || m.Incarnation > p.incarnation:
		p = &peer{incarnation: m.Incarnation, whole: now}
		if m.SequenceNumber == 1 { // what the process before it sent may be missing
			p.whole = now - m.Uptime
		}
		k.peers[m.From] = p
	case m.Incarnation < p.incarnation || m.SequenceNumber <= p.seq:
		return
	case m.SequenceNumber != p.seq+1:
		p.whole = now
	}
	p.seq, p.epoch, p.full, p.life = m.SequenceNumber, max(p.epoch, m.Epoch), m.HasUnrecordedKeys, m.KeyTTL
	k.forget(now)
	for _, s := range m.SentKeys {
		e, ok := k.keys[s.Key]
		if ok || len(k.keys) >= k.cfg.MaxKeys {
			if !ok {
				p.whole = now // it can't be remembered: as if it had been missed
			}
			e.ran = true
			if ok {
				k.keys[s.Key] = e
			}
			continue
		}
		first := now - s.SinceFirstSend
		k.keys[s.Key] = entry{hall: k.name(s.Site), first: first, ran: true}
		k.ages = append(k.ages, aged{now + k.kept(now), s.Key})
	}
}

// Len is the number of keys remembered.
func (k *KeyTable) Len() int { return len(k.keys) }
