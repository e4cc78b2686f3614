package multisite

import (
	"errors"
	"slices"
	"time"
)

// QuorumConfirmation confirms homes without a majority. A new epoch needs a majority of the voters to have it in their logs, so
// that n-q+1 of n voters, where q are a majority, are enough to say that there is none: one of them would have it. For
// an odd number that is a majority again; of an even number it is one half. So of two sites with as many voters
// each, cut from each other, both go on with the keys whose homes they hold, and neither can move any: that takes
// more than half.
//
// A voter says up to which entry of its log anything changes homes or voters, the entries that are not yet committed
// among them (its fence), and which ask of each other voter it has heard before it looked. So what it says holds for
// the time of that ask, by the asker's clock; no two clocks are compared. It must say of an entry before it
// acknowledges that to a leader.
//
// It is not safe for concurrent use.
type QuorumConfirmation struct {
	cfg    ConfirmationConfig
	index  uint64 // of the log: homes and voters in force are those of this entry
	voters []uint64
	joint  bool
	asked  uint64
	at     [consentAsks]time.Duration
	own    said
	heard  map[uint64]heardSaid
}

// ConfirmationConfig is what an instance is told at its start.
type ConfirmationConfig struct {
	InstanceID  uint64
	Incarnation uint64 // of this process, above those of the processes before it; below 1<<31
}

// ConfirmationMessage is what an instance tells the others in each of its words.
type ConfirmationMessage struct {
	RequestID uint64               // number of its ask
	Fence     uint64               // index of the last entry of its log that changes homes or voters
	Answers   []ConfirmationAnswer `json:",omitempty"`
}

// ConfirmationAnswer names the newest ask of another instance that one has heard.
type ConfirmationAnswer struct {
	Requester, RequestID uint64
}

type said struct {
	fence uint64
	at    time.Duration
	known bool
}

type heardSaid struct {
	said        // of the newest of our asks that it answers
	ask  uint64 // its own newest
	ours uint64 // ours that it has answered
}

const consentAsks = 256 // whose time is known: five seconds at one each 20 ms

// NewQuorumConfirmation returns the part of an instance. An error names the figure that can't be.
func NewQuorumConfirmation(cfg ConfirmationConfig) (*QuorumConfirmation, error) {
	if cfg.InstanceID == 0 || cfg.Incarnation >= 1<<31 {
		return nil, errors.New("sites: Me must be above 0 and Incarnation below 1<<31")
	}
	return &QuorumConfirmation{cfg: cfg, asked: cfg.Incarnation << 32, heard: map[uint64]heardSaid{}}, nil
}

// ApplyAgreed tells what is in force: homes and voters as of an entry of the log. While voters change in two steps nothing is
// confirmed here.
func (c *QuorumConfirmation) ApplyAgreed(index uint64, voters []uint64, joint bool) {
	if index < c.index {
		return
	}
	c.index, c.voters, c.joint = index, slices.Clone(voters), joint
	for id := range c.heard {
		if !slices.Contains(voters, id) {
			delete(c.heard, id)
		}
	}
}

// NextBroadcast returns what to tell the others; fence is this instance's own, read now or later.
func (c *QuorumConfirmation) NextBroadcast(now time.Duration, fence uint64) ConfirmationMessage {
	c.own = said{fence, now, true}
	c.asked++
	c.at[c.asked%consentAsks] = now
	w := ConfirmationMessage{RequestID: c.asked, Fence: fence}
	for id, h := range c.heard {
		w.Answers = append(w.Answers, ConfirmationAnswer{id, h.ask})
	}
	slices.SortFunc(w.Answers, func(a, b ConfirmationAnswer) int { return int(a.Requester) - int(b.Requester) })
	return w
}

// Receive takes in what another instance told.
func (c *QuorumConfirmation) Receive(from uint64, w ConfirmationMessage) {
	if from == c.cfg.InstanceID || !slices.Contains(c.voters, from) {
		return
	}
	h := c.heard[from]
	h.ask = max(h.ask, w.RequestID)
	for _, a := range w.Answers {
		if a.Requester == c.cfg.InstanceID && a.RequestID > h.ours && a.RequestID <= c.asked && c.asked-a.RequestID < consentAsks && a.RequestID > c.cfg.Incarnation<<32 {
			h.ours, h.said = a.RequestID, said{w.Fence, c.at[a.RequestID%consentAsks], true}
		}
	}
	c.heard[from] = h
}

// ConfirmedAt is the latest time at which the homes in force are known to have been the newest.
func (c *QuorumConfirmation) ConfirmedAt() (at time.Duration, ok bool) {
	if c.joint || !slices.Contains(c.voters, c.cfg.InstanceID) {
		return 0, false
	}
	var times []time.Duration
	for _, id := range c.voters {
		s := c.heard[id].said
		if id == c.cfg.InstanceID {
			s = c.own
		}
		if s.known && s.fence <= c.index {
			times = append(times, s.at)
		}
	}
	n := len(c.voters)
	need := n - (n/2 + 1) + 1
	if len(times) < need {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-need], true
}
