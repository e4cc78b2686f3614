package policy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// The protocol of tells: packing, numbering and decoding. What is told, how often and what it does to a
// store is decided in choice.go.
// A tell holds the sender's epoch, its number, a count of
// entries and the entries, then the same of the tell before. All are varints.
// An entry holds the customer, a code of plan, spread and first, the units as
// a signed delta, for a plan with Open the attempts out as a level, and for a plan with a ceiling
// the units lent to the peer and the units that the sender lacks.

// entryMost is the longest encoding of an entry: a key, a code, units, a level, a loan and a lack.
const entryMost = 10 + 5 + 4 + 4 + 4 + 4

// The first byte of a message says what it is.
const (
	kindOldTell = iota // without loans: no gateway sends it any more
	kindAsk
	kindAnswer
	kindBack
	kindTell
	kindSpent // an ask again, of units that were sent without its answer
	kindLate  // an ask for a try that comes too late for its aim
)

// messageMost is the longest message that the wire takes.
const messageMost = 256

// encodeTell returns a tell. The entries of the tell before are left out where they don't fit.
func encodeTell(epoch, seq uint64, n int, body []byte, lastN int, last []byte) []byte {
	msg := binary.AppendUvarint([]byte{kindTell}, epoch)
	msg = binary.AppendUvarint(msg, seq)
	msg = binary.AppendUvarint(msg, uint64(n))
	msg = append(msg, body...)
	if len(msg)+1+len(last) > messageMost {
		lastN, last = 0, nil
	}
	msg = binary.AppendUvarint(msg, uint64(lastN))
	return append(msg, last...)
}

// appendEntry words what is told of a store to a peer.
func (g *Engine) appendEntry(b []byte, st *store, peer int) []byte {
	b = binary.AppendUvarint(b, st.key)
	b = binary.AppendUvarint(b, g.code(st))
	b = binary.AppendVarint(b, int64(math.Round(st.untold)))
	if g.set.Plans[st.plan].MaxInFlight > 0 {
		b = binary.AppendUvarint(b, uint64(st.out))
	}
	if g.set.Plans[st.plan].HardLimitRate > 0 {
		b = binary.AppendUvarint(b, uint64(g.lend(st, peer)))
		b = binary.AppendUvarint(b, uint64(g.lack(st)))
	}
	return b
}

// entry is one decoded entry of a tell.
type entry struct {
	key                 uint64
	plan, spread, first int
	units               float64
	out                 int
	lent, lacks         float64 // units of the ceiling
}

// decodeTell decodes a tell; ok is false for one that is malformed in any part.
func (g *Engine) decodeTell(b []byte) (epoch, seq uint64, cur, prev []entry, ok bool) {
	r := reader{b: b[1:]}
	part := func() (es []entry) {
		for n := r.uint(); n > 0 && !r.bad; n-- {
			e := entry{key: r.uint()}
			if !g.decode(r.uint(), &e.plan, &e.spread, &e.first) {
				r.bad = true
				return nil
			}
			e.units = float64(r.int())
			if g.set.Plans[e.plan].MaxInFlight > 0 {
				e.out = int(min(r.uint(), 1<<20))
			}
			if b[0] == kindTell && g.set.Plans[e.plan].HardLimitRate > 0 {
				e.lent, e.lacks = float64(min(r.uint(), 1<<20)), float64(min(r.uint(), 1<<20))
			}
			es = append(es, e)
		}
		return es
	}
	epoch, seq = r.uint(), r.uint()
	cur = part()
	prev = part()
	return epoch, seq, cur, prev, !r.bad && len(r.b) == 0
}

// code packs a store's plan, spread and first.
func (g *Engine) code(st *store) uint64 {
	n := uint64(g.set.InstanceCount)
	return (uint64(st.plan)*n+uint64(st.spread-1))*n + uint64(st.first%g.set.InstanceCount)
}

// decode unpacks a code; it is false for one that names no plan.
func (g *Engine) decode(code uint64, plan, spread, first *int) bool {
	n := uint64(g.set.InstanceCount)
	if code/n/n >= uint64(len(g.set.Plans)) {
		return false
	}
	*first, *spread, *plan = int(code%n), int(code/n%n)+1, int(code/n/n)
	return true
}

// waitUnit is the unit in which an answer gives a wait.
const waitUnit = 10 * time.Millisecond

// passParts is the number of parts in which it gives the share of asks granted.
const passParts = 15

// ask is one decoded ask, answer or return.
type ask struct {
	kind                byte
	num, key            uint64
	plan, spread, first int
	units               float64
	late                bool
	granted             bool
	pass                float64
	wait                time.Duration
	pool                [poolSize]float64
	notes               []note
}

// encodeAsk returns an ask: kind, number, customer, code of plan, spread and first, units.
func (g *Engine) encodeAsk(r *request, kind byte) []byte {
	if kind == kindAsk && r.late {
		kind = kindLate
	}
	msg := binary.AppendUvarint([]byte{kind}, r.num)
	msg = binary.AppendUvarint(msg, r.store.key)
	msg = binary.AppendUvarint(msg, g.code(r.store))
	return g.appendPool(binary.AppendVarint(msg, int64(math.Round(r.Units))))
}

// encodeAnswer returns an answer: kind, number, share of asks granted with 0 for granted or else 1 + the wait.
func (g *Engine) encodeAnswer(num uint64, granted bool, wait time.Duration, pass float64) []byte {
	x := uint64(math.Round(pass * passParts))
	if !granted {
		x += (1 + uint64(max(wait, 0)/waitUnit)) * (passParts + 1)
	}
	return g.appendPool(binary.AppendUvarint(binary.AppendUvarint([]byte{kindAnswer}, num), x))
}

// encodeBack returns units or a place to the holder: kind, number, customer, units.
func encodeBack(key, num uint64, units float64) []byte {
	msg := binary.AppendUvarint(binary.AppendUvarint([]byte{kindBack}, num), key)
	return binary.AppendVarint(msg, int64(math.Round(units)))
}

// decodeAsk decodes an ask, an answer or a return; ok is false for one that is malformed in any part.
func (g *Engine) decodeAsk(b []byte) (m ask, ok bool) {
	r := reader{b: b[1:]}
	m.kind, m.num = b[0], r.uint()
	switch m.kind {
	case kindAsk, kindSpent, kindLate:
		if m.kind == kindLate {
			m.kind, m.late = kindAsk, true
		}
		m.key = r.uint()
		ok = g.decode(r.uint(), &m.plan, &m.spread, &m.first)
		m.units = float64(r.int())
		r.bad = r.bad || !ok || m.units < 0
	case kindAnswer:
		x := r.uint()
		m.pass = float64(x%(passParts+1)) / passParts
		x /= passParts + 1
		m.granted = x == 0
		m.wait = time.Duration(min(max(x, 1)-1, 6000)) * waitUnit
	case kindBack:
		m.key, m.units = r.uint(), float64(r.int())
	default:
		r.bad = true
	}
	for i := range m.pool {
		if m.kind != kindBack {
			m.pool[i] = float64(r.int()) / poolParts
		}
	}
	// Notes of servers, if any, end the message; a gateway of the version before takes none with them.
	if len(r.b) > 0 && !r.bad && m.kind != kindBack {
		n := r.uint()
		r.bad = r.bad || n == 0 || n > notesMost
		for ; n > 0 && !r.bad; n-- {
			x := r.uint()
			r.bad = r.bad || x>>17 != 0
			m.notes = append(m.notes, note{tag: uint16(x >> 1), up: x&1 == 1})
		}
	}
	return m, !r.bad && len(r.b) == 0
}

// poolParts is the number of parts in which the figures of the pool are given.
const poolParts = 256

// appendPool ends a message with the pool and what the gateway found out of servers of late.
func (g *Engine) appendPool(b []byte) []byte {
	for _, x := range g.aro.pool {
		if !g.aro.knows() {
			x = 0
		}
		b = binary.AppendVarint(b, int64(math.Round(math.Min(x*poolParts, 1e6))))
	}
	g.notes = slices.DeleteFunc(g.notes, func(n note) bool { return g.now-n.at >= noteLasts })
	if len(g.notes) > 0 {
		b = binary.AppendUvarint(b, uint64(len(g.notes)))
		for _, n := range g.notes {
			b = binary.AppendUvarint(b, uint64(n.tag)<<1|uint64(b2i(n.up)))
		}
	}
	return b
}

// reader takes varints off a message.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) uint() uint64 {
	x, n := binary.Uvarint(r.b)
	r.skip(n)
	return x
}

// int takes a signed number of at most a million, either way.
func (r *reader) int() int64 {
	x, n := binary.Varint(r.b)
	r.skip(n)
	r.bad = r.bad || x < -1e6 || x > 1e6
	return x
}

func (r *reader) skip(n int) {
	if n <= 0 {
		r.b, r.bad = nil, true
		return
	}
	r.b = r.b[n:]
}

// tellMost is the bytes of new entries in a tell; the repeat follows if it fits.
const tellMost = 180

// tellPeer packs the stores to tell that about chooses, in as many messages as it takes, and returns their number.
func (g *Engine) tellPeer(peer int, about func(*store) bool) (sent int) {
	p, n := &g.peers[peer], 0
	var body []byte
	flush := func() {
		if n > 0 || p.lastN > 0 {
			p.seq++
			g.out.SendGossip(peer, encodeTell(g.epoch, p.seq, n, body, p.lastN, p.last))
			p.last, p.lastN, body, n = body, n, nil, 0
			sent++
		}
	}
	for _, st := range g.dirty {
		if about(st) {
			n++
			if body = g.appendEntry(body, st, peer); len(body) > tellMost-entryMost {
				flush()
			}
		}
	}
	if n > 0 || sent == 0 {
		flush()
	}
	return sent
}
