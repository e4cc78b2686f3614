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

// maxEntrySize is the longest encoding of an entry: a key, a code, units, a level, a loan and a lack.
const maxEntrySize = 10 + 5 + 4 + 4 + 4 + 4

// The first byte of a message says what it is.
const (
	kindGossipV1 = iota // without loans: no gateway sends it any more
	kindQuotaRequest
	kindQuotaResponse
	kindQuotaReturn
	kindGossip
	kindQuotaSpent       // an ask again, of units that were sent without its answer
	kindLateQuotaRequest // an ask for a try that comes too late for its aim
)

// maxMessageSize is the longest message that the wire takes.
const maxMessageSize = 256

// encodeGossip returns a tell. The entries of the tell before are left out where they don't fit.
func encodeGossip(epoch, seq uint64, n int, body []byte, lastN int, last []byte) []byte {
	msg := binary.AppendUvarint([]byte{kindGossip}, epoch)
	msg = binary.AppendUvarint(msg, seq)
	msg = binary.AppendUvarint(msg, uint64(n))
	msg = append(msg, body...)
	if len(msg)+1+len(last) > maxMessageSize {
		lastN, last = 0, nil
	}
	msg = binary.AppendUvarint(msg, uint64(lastN))
	return append(msg, last...)
}

// appendEntry words what is told of a store to a peer.
func (g *Engine) appendEntry(b []byte, st *customerQuota, peer int) []byte {
	b = binary.AppendUvarint(b, st.key)
	b = binary.AppendUvarint(b, g.encodeScope(st))
	b = binary.AppendVarint(b, int64(math.Round(st.pendingUnits)))
	if g.settings.Plans[st.plan].MaxInFlight > 0 {
		b = binary.AppendUvarint(b, uint64(st.inFlight))
	}
	if g.settings.Plans[st.plan].HardLimitRate > 0 {
		b = binary.AppendUvarint(b, uint64(g.transferQuota(st, peer)))
		b = binary.AppendUvarint(b, uint64(g.quotaDeficit(st)))
	}
	return b
}

// gossipEntry is one decoded entry of a tell.
type gossipEntry struct {
	key                                uint64
	plan, instanceCount, firstInstance int
	units                              float64
	inFlight                           int
	transferred, deficit               float64 // units of the ceiling
}

// decodeGossip decodes a tell; ok is false for one that is malformed in any part.
func (g *Engine) decodeGossip(b []byte) (epoch, seq uint64, cur, prev []gossipEntry, ok bool) {
	r := varintReader{rest: b[1:]}
	part := func() (es []gossipEntry) {
		for n := r.uint(); n > 0 && !r.malformed; n-- {
			e := gossipEntry{key: r.uint()}
			if !g.decodeScope(r.uint(), &e.plan, &e.instanceCount, &e.firstInstance) {
				r.malformed = true
				return nil
			}
			e.units = float64(r.int())
			if g.settings.Plans[e.plan].MaxInFlight > 0 {
				e.inFlight = int(min(r.uint(), 1<<20))
			}
			if b[0] == kindGossip && g.settings.Plans[e.plan].HardLimitRate > 0 {
				e.transferred, e.deficit = float64(min(r.uint(), 1<<20)), float64(min(r.uint(), 1<<20))
			}
			es = append(es, e)
		}
		return es
	}
	epoch, seq = r.uint(), r.uint()
	cur = part()
	prev = part()
	return epoch, seq, cur, prev, !r.malformed && len(r.rest) == 0
}

// encodeScope packs a store's plan, spread and first.
func (g *Engine) encodeScope(st *customerQuota) uint64 {
	n := uint64(g.settings.InstanceCount)
	return (uint64(st.plan)*n+uint64(st.instanceCount-1))*n + uint64(st.firstInstance%g.settings.InstanceCount)
}

// decodeScope unpacks a code; it is false for one that names no plan.
func (g *Engine) decodeScope(code uint64, plan, spread, first *int) bool {
	n := uint64(g.settings.InstanceCount)
	if code/n/n >= uint64(len(g.settings.Plans)) {
		return false
	}
	*first, *spread, *plan = int(code%n), int(code/n%n)+1, int(code/n/n)
	return true
}

// retryAfterUnit is the unit in which an answer gives a wait.
const retryAfterUnit = 10 * time.Millisecond

// grantFractionSteps is the number of parts in which it gives the share of asks granted.
const grantFractionSteps = 15

// quotaMessage is one decoded ask, answer or return.
type quotaMessage struct {
	kind                               byte
	number, key                        uint64
	plan, instanceCount, firstInstance int
	units                              float64
	isLate                             bool
	isGranted                          bool
	grantFraction                      float64
	wait                               time.Duration
	fleetMeans                         [fleetMeanCount]float64
	findings                           []serverFinding
}

// encodeQuotaRequest returns an ask: kind, number, customer, code of plan, spread and first, units.
func (g *Engine) encodeQuotaRequest(r *request, kind byte) []byte {
	if kind == kindQuotaRequest && r.isLate {
		kind = kindLateQuotaRequest
	}
	msg := binary.AppendUvarint([]byte{kind}, r.number)
	msg = binary.AppendUvarint(msg, r.quota.key)
	msg = binary.AppendUvarint(msg, g.encodeScope(r.quota))
	return g.appendFleetMeans(binary.AppendVarint(msg, int64(math.Round(r.Units))))
}

// encodeQuotaResponse returns an answer: kind, number, share of asks granted with 0 for granted or else 1 + the wait.
func (g *Engine) encodeQuotaResponse(num uint64, granted bool, wait time.Duration, pass float64) []byte {
	x := uint64(math.Round(pass * grantFractionSteps))
	if !granted {
		x += (1 + uint64(max(wait, 0)/retryAfterUnit)) * (grantFractionSteps + 1)
	}
	return g.appendFleetMeans(binary.AppendUvarint(binary.AppendUvarint([]byte{kindQuotaResponse}, num), x))
}

// encodeQuotaReturn returns units or a place to the holder: kind, number, customer, units.
func encodeQuotaReturn(key, num uint64, units float64) []byte {
	msg := binary.AppendUvarint(binary.AppendUvarint([]byte{kindQuotaReturn}, num), key)
	return binary.AppendVarint(msg, int64(math.Round(units)))
}

// decodeQuotaMessage decodes an ask, an answer or a return; ok is false for one that is malformed in any part.
func (g *Engine) decodeQuotaMessage(b []byte) (m quotaMessage, ok bool) {
	r := varintReader{rest: b[1:]}
	m.kind, m.number = b[0], r.uint()
	switch m.kind {
	case kindQuotaRequest, kindQuotaSpent, kindLateQuotaRequest:
		if m.kind == kindLateQuotaRequest {
			m.kind, m.isLate = kindQuotaRequest, true
		}
		m.key = r.uint()
		ok = g.decodeScope(r.uint(), &m.plan, &m.instanceCount, &m.firstInstance)
		m.units = float64(r.int())
		r.malformed = r.malformed || !ok || m.units < 0
	case kindQuotaResponse:
		x := r.uint()
		m.grantFraction = float64(x%(grantFractionSteps+1)) / grantFractionSteps
		x /= grantFractionSteps + 1
		m.isGranted = x == 0
		m.wait = time.Duration(min(max(x, 1)-1, 6000)) * retryAfterUnit
	case kindQuotaReturn:
		m.key, m.units = r.uint(), float64(r.int())
	default:
		r.malformed = true
	}
	for i := range m.fleetMeans {
		if m.kind != kindQuotaReturn {
			m.fleetMeans[i] = float64(r.int()) / fleetMeanSteps
		}
	}
	// Notes of servers, if any, end the message; a gateway of the version before takes none with them.
	if len(r.rest) > 0 && !r.malformed && m.kind != kindQuotaReturn {
		n := r.uint()
		r.malformed = r.malformed || n == 0 || n > maxFindings
		for ; n > 0 && !r.malformed; n-- {
			x := r.uint()
			r.malformed = r.malformed || x>>17 != 0
			m.findings = append(m.findings, serverFinding{serverID: uint16(x >> 1), isUp: x&1 == 1})
		}
	}
	return m, !r.malformed && len(r.rest) == 0
}

// fleetMeanSteps is the number of parts in which the figures of the pool are given.
const fleetMeanSteps = 256

// appendFleetMeans ends a message with the pool and what the gateway found out of servers of late.
func (g *Engine) appendFleetMeans(b []byte) []byte {
	for _, x := range g.overload.fleetMeans {
		if !g.overload.hasMeans() {
			x = 0
		}
		b = binary.AppendVarint(b, int64(math.Round(math.Min(x*fleetMeanSteps, 1e6))))
	}
	g.findings = slices.DeleteFunc(g.findings, func(n serverFinding) bool { return g.now-n.foundAt >= findingTTL })
	if len(g.findings) > 0 {
		b = binary.AppendUvarint(b, uint64(len(g.findings)))
		for _, n := range g.findings {
			b = binary.AppendUvarint(b, uint64(n.serverID)<<1|uint64(boolToInt(n.isUp)))
		}
	}
	return b
}

// varintReader takes varints off a message.
type varintReader struct {
	rest      []byte
	malformed bool
}

func (r *varintReader) uint() uint64 {
	x, n := binary.Uvarint(r.rest)
	r.skip(n)
	return x
}

// int takes a signed number of at most a million, either way.
func (r *varintReader) int() int64 {
	x, n := binary.Varint(r.rest)
	r.skip(n)
	r.malformed = r.malformed || x < -1e6 || x > 1e6
	return x
}

func (r *varintReader) skip(n int) {
	if n <= 0 {
		r.rest, r.malformed = nil, true
		return
	}
	r.rest = r.rest[n:]
}

// maxNewEntriesSize is the bytes of new entries in a tell; the repeat follows if it fits.
const maxNewEntriesSize = 180

// broadcastTo packs the stores to tell that about chooses, in as many messages as it takes, and returns their number.
func (g *Engine) broadcastTo(peer int, about func(*customerQuota) bool) (sent int) {
	p, n := &g.peers[peer], 0
	var body []byte
	flush := func() {
		if n > 0 || p.lastEntryCount > 0 {
			p.sequence++
			g.actions.SendGossip(peer, encodeGossip(g.epoch, p.sequence, n, body, p.lastEntryCount, p.lastEntries))
			p.lastEntries, p.lastEntryCount, body, n = body, n, nil, 0
			sent++
		}
	}
	for _, st := range g.gossipPending {
		if about(st) {
			n++
			if body = g.appendEntry(body, st, peer); len(body) > maxNewEntriesSize-maxEntrySize {
				flush()
			}
		}
	}
	if n > 0 || sent == 0 {
		flush()
	}
	return sent
}
