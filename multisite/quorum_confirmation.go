package multisite

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// QuorumConfirmation confirms, without a leader, that the ownership epoch in force is the newest. A new epoch has to be
// in the logs of a majority q of the n voters. Therefore n-q+1 voters without a new epoch prove that there is none: one
// of them would have it. For an odd n that is a majority, for an even n one half. Two partitioned sites with the same
// number of voters can therefore both confirm, and serve the keys that they own, while neither can move any key, which
// requires a majority.
//
// A voter announces its fence, the index of the last entry of its log that changes sites or voters, committed or
// not, and the newest request of each other voter that it had received before it read the fence. Its report is
// therefore valid as of the time at which that request was made, by the requester's clock; clocks are never compared. A
// voter must announce an entry before it acknowledges the entry to a leader.
//
// It is not safe for concurrent use.
type QuorumConfirmation struct {
	cfg      ConfirmationConfig
	index    uint64 // index of the log entry whose sites and voters are in force
	voters   []uint64
	isJoint  bool // a joint consensus is in force
	requests requestIDs
	own      fenceReport
	peers    map[uint64]peerConfirmation
}

// ConfirmationConfig configures a [QuorumConfirmation].
type ConfirmationConfig struct {
	InstanceID  uint64
	Incarnation uint64 // number of this process, above those of its predecessors and below 1<<31
}

// ConfirmationMessage is the part of a [Message] for a [QuorumConfirmation]. Its JSON is read by instances of other
// versions.
type ConfirmationMessage struct {
	RequestID uint64               `json:"Ask"`
	Fence     uint64               `json:"Fence"` // index of the sender's last log entry that changes sites or voters
	Answers   []ConfirmationAnswer `json:"Heard,omitempty"`
}

// ConfirmationAnswer is the newest request of another instance that the sender has received.
type ConfirmationAnswer struct {
	Requester uint64 `json:"Of"`
	RequestID uint64 `json:"Ask"`
}

// fenceReport is a voter's fence as of a time.
type fenceReport struct {
	fence   uint64        // log index
	at      time.Duration // clock reading for which it is valid
	isKnown bool
}

// peerConfirmation is the state that another voter has announced.
type peerConfirmation struct {
	report            fenceReport // valid as of the request answeredRequestID
	lastRequestID     uint64      // newest request that the voter has made
	answeredRequestID uint64      // newest request of this instance that the voter has answered
}

// maxIncarnation is the exclusive upper limit of incarnations, so that request IDs stay below 1<<63.
const maxIncarnation = 1 << 31

// NewQuorumConfirmation returns a confirmation without voters. The error names the fields that are out of range.
func NewQuorumConfirmation(cfg ConfirmationConfig) (*QuorumConfirmation, error) {
	if cfg.InstanceID == 0 || cfg.Incarnation >= maxIncarnation {
		return nil, errors.New("multisite: InstanceID must be above 0 and Incarnation below 1<<31")
	}
	return &QuorumConfirmation{
		cfg:      cfg,
		requests: newRequestIDs(cfg.Incarnation),
		peers:    map[uint64]peerConfirmation{},
	}, nil
}

// ApplyAgreed sets the voters in force as of a log entry. During a joint consensus no epoch is confirmed.
func (c *QuorumConfirmation) ApplyAgreed(index uint64, voters []uint64, isJoint bool) {
	if index < c.index {
		return
	}
	c.index = index
	c.voters = slices.Clone(voters)
	c.isJoint = isJoint
	for id := range c.peers {
		if !slices.Contains(voters, id) {
			delete(c.peers, id)
		}
	}
}

// NextBroadcast returns the next message to the other voters. fence is this instance's fence, which must not have been
// read before now.
func (c *QuorumConfirmation) NextBroadcast(now time.Duration, fence uint64) ConfirmationMessage {
	c.own = fenceReport{fence: fence, at: now, isKnown: true}
	m := ConfirmationMessage{RequestID: c.requests.next(now), Fence: fence}
	for id, p := range c.peers {
		m.Answers = append(m.Answers, ConfirmationAnswer{id, p.lastRequestID})
	}
	slices.SortFunc(m.Answers, func(a, b ConfirmationAnswer) int { return cmp.Compare(a.Requester, b.Requester) })
	return m
}

// Receive handles another voter's message.
func (c *QuorumConfirmation) Receive(from uint64, m ConfirmationMessage) {
	if from == c.cfg.InstanceID || !slices.Contains(c.voters, from) {
		return
	}
	p := c.peers[from]
	p.lastRequestID = max(p.lastRequestID, m.RequestID)
	for _, answer := range m.Answers {
		if answer.Requester != c.cfg.InstanceID || answer.RequestID <= p.answeredRequestID {
			continue
		}
		if requestedAt, ok := c.ownRequestTime(answer.RequestID); ok {
			p.answeredRequestID = answer.RequestID
			p.report = fenceReport{fence: m.Fence, at: requestedAt, isKnown: true}
		}
	}
	c.peers[from] = p
}

// ownRequestTime returns when this process made a request; ok is false for a request of its predecessor or one that is
// no longer recorded.
func (c *QuorumConfirmation) ownRequestTime(id uint64) (at time.Duration, ok bool) {
	if id <= c.cfg.Incarnation<<incarnationShift {
		return 0, false
	}
	return c.requests.requestTime(id)
}

// ConfirmedAt returns the latest time at which the epoch in force is confirmed to have been the newest; ok is false if
// there is no such time.
func (c *QuorumConfirmation) ConfirmedAt() (at time.Duration, ok bool) {
	if c.isJoint || !slices.Contains(c.voters, c.cfg.InstanceID) {
		return 0, false
	}
	var times []time.Duration
	for _, voter := range c.voters {
		if r := c.reportOf(voter); r.isKnown && r.fence <= c.index {
			times = append(times, r.at)
		}
	}
	majority := len(c.voters)/2 + 1
	needed := len(c.voters) - majority + 1
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}

func (c *QuorumConfirmation) reportOf(voter uint64) fenceReport {
	if voter == c.cfg.InstanceID {
		return c.own
	}
	return c.peers[voter].report
}
