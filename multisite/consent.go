package multisite

import (
	"errors"
	"slices"
	"time"
)

// Consent confirms homes without a majority. A new epoch needs a majority of the voters to have it in their logs, so
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
type Consent struct {
	cfg    ConsentConfig
	index  uint64 // of the log: homes and voters in force are those of this entry
	voters []uint64
	joint  bool
	asked  uint64
	at     [consentAsks]time.Duration
	own    said
	heard  map[uint64]heardSaid
}

// ConsentConfig is what an instance is told at its start.
type ConsentConfig struct {
	Me          uint64
	Incarnation uint64 // of this process, above those of the processes before it; below 1<<31
}

// ConsentWord is what an instance tells the others in each of its words.
type ConsentWord struct {
	Ask   uint64          // number of its ask
	Fence uint64          // index of the last entry of its log that changes homes or voters
	Heard []ConsentAnswer `json:",omitempty"`
}

// ConsentAnswer names the newest ask of another instance that one has heard.
type ConsentAnswer struct {
	Of, Ask uint64
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

// NewConsent returns the part of an instance. An error names the figure that can't be.
func NewConsent(cfg ConsentConfig) (*Consent, error) {
	if cfg.Me == 0 || cfg.Incarnation >= 1<<31 {
		return nil, errors.New("sites: Me must be above 0 and Incarnation below 1<<31")
	}
	return &Consent{cfg: cfg, asked: cfg.Incarnation << 32, heard: map[uint64]heardSaid{}}, nil
}

// Agree tells what is in force: homes and voters as of an entry of the log. While voters change in two steps nothing is
// confirmed here.
func (c *Consent) Agree(index uint64, voters []uint64, joint bool) {
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

// Tell returns what to tell the others; fence is this instance's own, read now or later.
func (c *Consent) Tell(now time.Duration, fence uint64) ConsentWord {
	c.own = said{fence, now, true}
	c.asked++
	c.at[c.asked%consentAsks] = now
	w := ConsentWord{Ask: c.asked, Fence: fence}
	for id, h := range c.heard {
		w.Heard = append(w.Heard, ConsentAnswer{id, h.ask})
	}
	slices.SortFunc(w.Heard, func(a, b ConsentAnswer) int { return int(a.Of) - int(b.Of) })
	return w
}

// Hear takes in what another instance told.
func (c *Consent) Hear(from uint64, w ConsentWord) {
	if from == c.cfg.Me || !slices.Contains(c.voters, from) {
		return
	}
	h := c.heard[from]
	h.ask = max(h.ask, w.Ask)
	for _, a := range w.Heard {
		if a.Of == c.cfg.Me && a.Ask > h.ours && a.Ask <= c.asked && c.asked-a.Ask < consentAsks && a.Ask > c.cfg.Incarnation<<32 {
			h.ours, h.said = a.Ask, said{w.Fence, c.at[a.Ask%consentAsks], true}
		}
	}
	c.heard[from] = h
}

// Confirmed is the latest time at which the homes in force are known to have been the newest.
func (c *Consent) Confirmed() (at time.Duration, ok bool) {
	if c.joint || !slices.Contains(c.voters, c.cfg.Me) {
		return 0, false
	}
	var times []time.Duration
	for _, id := range c.voters {
		s := c.heard[id].said
		if id == c.cfg.Me {
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
