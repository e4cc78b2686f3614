package policy

// The encoding of gossip between the nodes of a fleet. All numbers are varints.
//
// A gossip message holds the sender's epoch, its sequence number, a count of entries and the entries, then
// count and entries of the message before. An entry holds the customer, a scope of plan, instance count and
// first instance, the units as a signed delta, for a plan with MaxInFlight the attempts in flight as a level,
// and for a plan with a hard limit the units transferred to the peer and the units that the sender lacks.

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

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

// gossipEntry is one decoded entry of a tell.
type gossipEntry struct {
	key                                uint64
	plan, instanceCount, firstInstance int
	units                              float64
	inFlight                           int
	transferred, deficit               float64 // units of the ceiling
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
func (e *Engine) appendEntry(b []byte, st *customerQuota, peer int) []byte {
	b = binary.AppendUvarint(b, st.key)
	b = binary.AppendUvarint(b, e.encodeScope(st))
	b = binary.AppendVarint(b, int64(math.Round(st.pendingUnits)))
	if e.settings.Plans[st.plan].MaxInFlight > 0 {
		b = binary.AppendUvarint(b, uint64(st.inFlight))
	}
	if e.settings.Plans[st.plan].HardLimitRate > 0 {
		b = binary.AppendUvarint(b, uint64(e.transferQuota(st, peer)))
		b = binary.AppendUvarint(b, uint64(e.quotaDeficit(st)))
	}
	return b
}

// decodeGossip decodes a tell; ok is false for one that is malformed in any part.
func (e *Engine) decodeGossip(b []byte) (epoch, seq uint64, cur, prev []gossipEntry, ok bool) {
	r := varintReader{rest: b[1:]}
	part := func() (es []gossipEntry) {
		for n := r.uint(); n > 0 && !r.malformed; n-- {
			entry := gossipEntry{key: r.uint()}
			if !e.decodeScope(r.uint(), &entry.plan, &entry.instanceCount, &entry.firstInstance) {
				r.malformed = true
				return nil
			}
			entry.units = float64(r.int())
			if e.settings.Plans[entry.plan].MaxInFlight > 0 {
				entry.inFlight = int(min(r.uint(), 1<<20))
			}
			if b[0] == kindGossip && e.settings.Plans[entry.plan].HardLimitRate > 0 {
				entry.transferred, entry.deficit = float64(min(r.uint(), 1<<20)), float64(min(r.uint(), 1<<20))
			}
			es = append(es, entry)
		}
		return es
	}
	epoch, seq = r.uint(), r.uint()
	cur = part()
	prev = part()
	return epoch, seq, cur, prev, !r.malformed && len(r.rest) == 0
}

// encodeScope packs a store's plan, spread and first.
func (e *Engine) encodeScope(st *customerQuota) uint64 {
	n := uint64(e.settings.InstanceCount)
	return (uint64(st.plan)*n+uint64(st.instanceCount-1))*n + uint64(st.firstInstance%e.settings.InstanceCount)
}

// decodeScope unpacks a code; it is false for one that names no plan.
func (e *Engine) decodeScope(code uint64, plan, spread, first *int) bool {
	n := uint64(e.settings.InstanceCount)
	if code/n/n >= uint64(len(e.settings.Plans)) {
		return false
	}
	*first, *spread, *plan = int(code%n), int(code/n%n)+1, int(code/n/n)
	return true
}

// retryAfterUnit is the unit in which an answer gives a wait.
const retryAfterUnit = 10 * time.Millisecond

// grantFractionSteps is the number of parts in which it gives the share of asks granted.
const grantFractionSteps = 15

// encodeQuotaRequest returns an ask: kind, number, customer, code of plan, spread and first, units.
func (e *Engine) encodeQuotaRequest(r *request, kind byte) []byte {
	if kind == kindQuotaRequest && r.isLate {
		kind = kindLateQuotaRequest
	}
	msg := binary.AppendUvarint([]byte{kind}, r.number)
	msg = binary.AppendUvarint(msg, r.quota.key)
	msg = binary.AppendUvarint(msg, e.encodeScope(r.quota))
	return e.appendFleetMeans(binary.AppendVarint(msg, int64(math.Round(r.Units))))
}

// encodeQuotaResponse returns an answer: kind, number, share of asks granted with 0 for granted or else 1 +
// the wait.
func (e *Engine) encodeQuotaResponse(num uint64, granted bool, wait time.Duration, pass float64) []byte {
	x := uint64(math.Round(pass * grantFractionSteps))
	if !granted {
		x += (1 + uint64(max(wait, 0)/retryAfterUnit)) * (grantFractionSteps + 1)
	}
	return e.appendFleetMeans(binary.AppendUvarint(binary.AppendUvarint([]byte{kindQuotaResponse}, num), x))
}

// encodeQuotaReturn returns units or a place to the holder: kind, number, customer, units.
func encodeQuotaReturn(key, num uint64, units float64) []byte {
	msg := binary.AppendUvarint(binary.AppendUvarint([]byte{kindQuotaReturn}, num), key)
	return binary.AppendVarint(msg, int64(math.Round(units)))
}

// decodeQuotaMessage decodes an ask, an answer or a return; ok is false for one that is malformed in any
// part.
func (e *Engine) decodeQuotaMessage(b []byte) (m quotaMessage, ok bool) {
	r := varintReader{rest: b[1:]}
	m.kind, m.number = b[0], r.uint()
	switch m.kind {
	case kindQuotaRequest, kindQuotaSpent, kindLateQuotaRequest:
		if m.kind == kindLateQuotaRequest {
			m.kind, m.isLate = kindQuotaRequest, true
		}
		m.key = r.uint()
		ok = e.decodeScope(r.uint(), &m.plan, &m.instanceCount, &m.firstInstance)
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
func (e *Engine) appendFleetMeans(b []byte) []byte {
	for _, x := range e.overload.fleetMeans {
		if !e.overload.hasMeans() {
			x = 0
		}
		b = binary.AppendVarint(b, int64(math.Round(math.Min(x*fleetMeanSteps, 1e6))))
	}
	e.findings = slices.DeleteFunc(e.findings, func(n serverFinding) bool { return e.now-n.foundAt >= findingTTL })
	if len(e.findings) > 0 {
		b = binary.AppendUvarint(b, uint64(len(e.findings)))
		for _, n := range e.findings {
			b = binary.AppendUvarint(b, uint64(n.serverID)<<1|uint64(boolToInt(n.isUp)))
		}
	}
	return b
}

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
