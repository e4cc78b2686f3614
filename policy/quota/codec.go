package quota

// This file has the encoding of gossip between the instances of a fleet. All numbers are varints.
//
// A gossip message holds the sender's epoch, its sequence number, the number of entries and the entries, then the
// number and the entries of the previous message. An entry holds the customer, its scope and the units as a signed
// difference. For a plan with MaxInFlight it also holds the attempts in flight as an absolute count, and for a plan
// with a hard limit the units transferred to the peer and the units that the sender lacks.

import (
	"encoding/binary"
	"errors"
)

// The kinds of messages. The first byte of a message is its kind.
const (
	kindGossipV1 = iota // without transfers; received from earlier versions only
	kindQuotaRequest
	kindQuotaResponse
	kindQuotaReturn
	kindGossip
	kindUsageReport
	kindLateQuotaRequest
)

const (
	maxMessageSize    = 256                    // bytes, the limit of a [Sender]
	maxEntrySize      = 10 + 5 + 4 + 4 + 4 + 4 // customer, scope, units, in flight, transferred, deficit
	maxNewEntriesSize = 180                    // bytes of new entries in a message; repeated entries follow if they fit
	maxEntryCount     = 1 << 20                // attempts or units in an entry; a larger number is truncated
	maxSignedNumber   = 1_000_000              // absolute value; a larger number is malformed
)

// errMalformed is returned for a message of which any part violates the encoding.
var errMalformed = errors.New("quota: peer message has an unknown kind, an invalid field or trailing bytes")

// Codec encodes and decodes messages. The plans determine which numbers an entry has, and the size of the fleet
// determines how a scope is packed.
type Codec struct {
	plans     []Plan
	fleetSize int
}

// Codec returns the codec for the current plans.
func (t *Table) Codec() Codec {
	return Codec{plans: t.plans, fleetSize: t.Fleet.InstanceCount}
}

// Entry is what one instance reports to a peer about one customer's quota.
type Entry struct {
	Customer    uint64
	Scope       Scope
	Units       float64 // spent since the last message
	InFlight    int     // attempts
	Transferred float64 // units of the hard limit transferred to the peer
	Deficit     float64 // units of the hard limit that the sender lacks
}

// IsGossip reports whether a message, which must not be empty, is gossip rather than a quota message.
func IsGossip(message []byte) bool {
	return message[0] == kindGossip || message[0] == kindGossipV1
}

// GossipMessage is a decoded gossip message.
type GossipMessage struct {
	Epoch           uint64 // random number of the sender's process
	Sequence        uint64 // within the epoch, from 1
	Entries         []Entry
	PreviousEntries []Entry // entries of the previous message, if there was space
}

// encodedEntries are the encoded entries of one message.
type encodedEntries struct {
	count int
	bytes []byte
}

// encodeGossip encodes a gossip message. The entries of the previous message are omitted if they do not fit.
func encodeGossip(epoch, sequence uint64, entries, previous encodedEntries) []byte {
	message := binary.AppendUvarint([]byte{kindGossip}, epoch)
	message = binary.AppendUvarint(message, sequence)
	message = binary.AppendUvarint(message, uint64(entries.count))
	message = append(message, entries.bytes...)
	if len(message)+1+len(previous.bytes) > maxMessageSize {
		previous = encodedEntries{}
	}
	message = binary.AppendUvarint(message, uint64(previous.count))
	return append(message, previous.bytes...)
}

// appendEntry appends the encoding of an entry to b.
func (c Codec) appendEntry(b []byte, entry Entry) []byte {
	plan := &c.plans[entry.Scope.Plan]
	b = binary.AppendUvarint(b, entry.Customer)
	b = binary.AppendUvarint(b, c.encodeScope(entry.Scope))
	b = binary.AppendVarint(b, roundedUnits(entry.Units))
	if plan.MaxInFlight > 0 {
		b = binary.AppendUvarint(b, uint64(entry.InFlight))
	}
	if plan.HardLimitRate > 0 {
		b = binary.AppendUvarint(b, uint64(entry.Transferred))
		b = binary.AppendUvarint(b, uint64(entry.Deficit))
	}
	return b
}

// DecodeGossip decodes a gossip message of either version. It returns an error if any part of it is malformed.
func (c Codec) DecodeGossip(message []byte) (GossipMessage, error) {
	r := varintReader{rest: message[1:]}
	hasTransfers := message[0] == kindGossip
	m := GossipMessage{
		Epoch:           r.uint(),
		Sequence:        r.uint(),
		Entries:         c.readEntries(&r, hasTransfers),
		PreviousEntries: c.readEntries(&r, hasTransfers),
	}
	return m, r.err()
}

func (c Codec) readEntries(r *varintReader, hasTransfers bool) (entries []Entry) {
	for count := r.uint(); count > 0 && !r.malformed; count-- {
		entry := Entry{Customer: r.uint(), Scope: c.readScope(r)}
		if r.malformed {
			return nil
		}
		plan := &c.plans[entry.Scope.Plan]
		entry.Units = float64(r.int())
		if plan.MaxInFlight > 0 {
			entry.InFlight = int(min(r.uint(), maxEntryCount))
		}
		if hasTransfers && plan.HardLimitRate > 0 {
			entry.Transferred = float64(min(r.uint(), maxEntryCount))
			entry.Deficit = float64(min(r.uint(), maxEntryCount))
		}
		entries = append(entries, entry)
	}
	return entries
}

// encodeScope packs a scope into one number.
func (c Codec) encodeScope(scope Scope) uint64 {
	n := uint64(c.fleetSize)
	first := uint64(scope.FirstInstance % c.fleetSize)
	return (uint64(scope.Plan)*n+uint64(scope.InstanceCount-1))*n + first
}

// readScope unpacks a scope. A number that refers to no plan is malformed.
func (c Codec) readScope(r *varintReader) Scope {
	packed, n := r.uint(), uint64(c.fleetSize)
	plan := packed / n / n
	if plan >= uint64(len(c.plans)) {
		r.malformed = true
		return Scope{}
	}
	return Scope{Plan: int(plan), InstanceCount: int(packed/n%n) + 1, FirstInstance: int(packed % n)}
}

// varintReader reads the numbers of a message. After a varint that is truncated or too long it returns zeros.
type varintReader struct {
	rest      []byte
	malformed bool
}

// uint reads an unsigned number.
func (r *varintReader) uint() uint64 {
	x, n := binary.Uvarint(r.rest)
	r.skip(n)
	return x
}

// int reads a signed number whose absolute value is at most maxSignedNumber.
func (r *varintReader) int() int64 {
	x, n := binary.Varint(r.rest)
	r.skip(n)
	r.malformed = r.malformed || x < -maxSignedNumber || x > maxSignedNumber
	return x
}

func (r *varintReader) skip(n int) {
	if n <= 0 {
		r.rest, r.malformed = nil, true
		return
	}
	r.rest = r.rest[n:]
}

// err returns errMalformed if any number was malformed or bytes are left over.
func (r *varintReader) err() error {
	if r.malformed || len(r.rest) > 0 {
		return errMalformed
	}
	return nil
}
