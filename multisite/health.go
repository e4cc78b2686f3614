package multisite

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// SiteState is what an instance makes of a hall, by its own attempts and probes and by what
// the others tell of theirs. The transitions:
//
//	Well      -> Doubted    nothing that was sent there of late was answered
//	Doubted   -> Well       an answer of any kind
//	Doubted   -> CutOff     for LostAfter, and no majority is silent: the fault lies between here and there
//	CutOff    -> Well       an answer
//	any       -> Lost       a majority of the members has met silence for LostAfter, and that was agreed on
//	Lost      -> Returning  a majority hears it again
//	Returning -> Lost       it no longer does
//	Returning -> Cold       a majority has heard it for a hold without a break, and that was agreed on
//	Cold      -> Lost       as before
//	Cold      -> Well       it carries what the others do, and Ramp has passed
//
// The hold doubles with each loss of late, so that a hall that flaps changes the homes ever more
// seldom. A hall that is back takes a part of its keys, in eighths, by what it can carry beside the hall that
// can carry most: it may have come back cold, or with few servers. Only what is agreed on moves homes; the rest
// is what operators read.
type SiteState int

const (
	SiteHealthy SiteState = iota
	SiteSuspected
	SitePartitioned
	SiteLost
	SiteRecovering
	SiteWarmingUp
)

func (s SiteState) String() string {
	return [...]string{"well", "doubted", "cut off", "lost", "returning", "cold"}[s]
}

// HealthConfig is what an instance is told at its start.
type HealthConfig struct {
	InstanceID       uint64
	MinMisses        int           // attempts or probes in a row without an answer that count as silence
	LossTimeout      time.Duration // silence of a majority for so long is a loss
	ViewTTL          time.Duration // another instance's view is out of date after this
	RecoveryDelay    time.Duration // for which a hall must be heard before it counts as back
	MaxRecoveryDelay time.Duration // the most that the hold grows to
	LossWindow       time.Duration // after which a loss no longer lengthens it
	WarmUpWindow     time.Duration // a hall that is back is cold for so long
}

// SiteView is what an instance tells the others of a hall; durations alone go between machines.
type SiteView struct {
	Site     string
	IsSilent bool
	Duration time.Duration // it has been so; below 0: it has met nothing of late
	Capacity float64       // warm servers that it is worth, as far as is known; 0: nothing is
	IsRemote bool          `json:",omitempty"` // it reaches the hall by way of another site's instances alone
}

// SiteChange is what should be agreed on.
type SiteChange struct {
	Site       string
	IsLost     bool // else it is back
	KeyEighths int  // eighths of its keys that it takes again; 0 of one that is back: all
	Reason     string
}

// sight is a view of one hall by one instance.
type sight struct {
	known  bool
	silent bool
	since  time.Duration
	at     time.Duration // when it was heard or taken; out of date after Fresh
	carry  float64
	far    bool
}

// own is what this instance has met at a hall itself.
type own struct {
	sight
	heard  time.Duration // the last answer
	misses int           // without an answer since
	first  time.Duration // the first of them
}

// agreedHall is what was agreed on.
type agreedHall struct {
	lost   bool // it takes a part of its keys or, with part 0, none
	part   int
	moved  time.Duration // when part last changed
	closed bool
	losses []time.Duration // of late
	back   time.Duration   // when the last loss ended; 0: there was none
}

// HealthMonitor is one instance's view of the halls. It is not safe for concurrent use.
type HealthMonitor struct {
	cfg     HealthConfig
	members []uint64
	halls   map[string]*agreedHall
	mine    map[string]*own
	others  map[uint64]map[string]sight
	spoke   map[uint64]time.Duration // when a member was last heard
	far     map[string]bool          // halls that this instance reaches by way of others alone
}

// NewHealthMonitor returns a view of halls that are all well. An error names the figure that can't be.
func NewHealthMonitor(cfg HealthConfig) (*HealthMonitor, error) {
	if cfg.MinMisses < 1 || cfg.LossTimeout <= 0 || cfg.ViewTTL <= 0 || cfg.RecoveryDelay <= 0 || cfg.MaxRecoveryDelay < cfg.RecoveryDelay {
		return nil, errors.New("sites: Least, LostAfter, Fresh and Hold must be above 0, HoldMost at least Hold")
	}
	return &HealthMonitor{cfg: cfg, halls: map[string]*agreedHall{}, mine: map[string]*own{}, others: map[uint64]map[string]sight{}, spoke: map[uint64]time.Duration{}, far: map[string]bool{}}, nil
}

// ApplyAgreed takes over what is agreed on: the halls, which of them are closed, the lost ones with the part of their
// keys that they take again, and the members.
func (h *HealthMonitor) ApplyAgreed(now time.Duration, halls []Site, lost map[string]int, members []uint64) {
	h.members = slices.Clone(members)
	listed := map[string]bool{}
	for _, hall := range halls {
		listed[hall.Name] = true
		a := h.halls[hall.Name]
		if a == nil {
			a = &agreedHall{}
			h.halls[hall.Name] = a
		}
		a.closed = !hall.IsOpen
		part, is := lost[hall.Name]
		if is && part == 0 && (!a.lost || a.part > 0) {
			a.losses = append(a.losses, now)
		}
		if part != a.part {
			a.moved = now
		}
		a.part = part
		if !is && a.lost {
			a.back = now
		}
		a.lost = is
	}
	for name := range h.halls {
		if !listed[name] {
			delete(h.halls, name)
			delete(h.mine, name)
		}
	}
	for id := range h.others {
		if !slices.Contains(members, id) {
			delete(h.others, id)
			delete(h.spoke, id)
		}
	}
}

// SetRemote tells that this instance reaches a hall by way of another site's instances alone. What it meets there then says
// as much of the way as of the hall: see votes.
func (h *HealthMonitor) SetRemote(hall string, far bool) {
	h.far[hall] = far
	if o := h.own(hall); o != nil {
		o.far = far
	}
}

func (h *HealthMonitor) own(hall string) *own {
	o := h.mine[hall]
	if o == nil && h.halls[hall] != nil {
		o = &own{}
		h.mine[hall] = o
	}
	return o
}

// RecordAnswer notes an answer of any kind from a hall.
func (h *HealthMonitor) RecordAnswer(now time.Duration, hall string) {
	o := h.own(hall)
	if o == nil {
		return
	}
	if !o.known || o.silent {
		o.sight = sight{known: true, since: now, carry: o.carry, far: o.far}
	}
	o.at, o.heard, o.misses = now, now, 0
}

// RecordMiss notes that what was sent to a hall at a time came to nothing. If the hall was heard
// since, that says nothing of it.
func (h *HealthMonitor) RecordMiss(now time.Duration, hall string, sent time.Duration) {
	o := h.own(hall)
	if o == nil || o.heard >= sent && o.heard > 0 {
		return
	}
	if o.misses++; o.misses == 1 {
		o.first = now
	}
	if o.misses >= h.cfg.MinMisses {
		if !o.known || !o.silent {
			o.sight = sight{known: true, silent: true, since: o.first, carry: o.carry, far: o.far}
		}
		o.at = now
	}
}

// RecordCapacity notes what a hall can carry, in warm servers.
func (h *HealthMonitor) RecordCapacity(hall string, servers float64) {
	if o := h.own(hall); o != nil {
		o.carry = servers
	}
}

// Views returns what to tell the others.
func (h *HealthMonitor) Views(now time.Duration) (views []SiteView) {
	for name, o := range h.mine {
		if o.known && now-o.at <= h.cfg.ViewTTL {
			views = append(views, SiteView{name, o.silent, max(now-o.since, 0), o.carry, o.far})
		} else if o.far { // it follows those that know
			views = append(views, SiteView{Site: name, Duration: -1, IsRemote: true})
		}
	}
	slices.SortFunc(views, func(a, b SiteView) int { return strings.Compare(a.Site, b.Site) })
	return views
}

// Receive takes in what another instance told.
func (h *HealthMonitor) Receive(now time.Duration, from uint64, views []SiteView) {
	if from == h.cfg.InstanceID || !slices.Contains(h.members, from) {
		return
	}
	seen := make(map[string]sight, len(views))
	for _, v := range views {
		if h.halls[v.Site] != nil {
			seen[v.Site] = sight{known: v.Duration >= 0, silent: v.IsSilent, since: now - v.Duration, at: now, carry: v.Capacity, far: v.IsRemote}
		}
	}
	h.others[from], h.spoke[from] = seen, now
}

// votes counts the members that have met silence at a hall for a time, and those that have heard it for a time. One
// that reaches it by way of others alone goes by those that reach it themselves, as long as any of them tells: it has
// heard the hall if one of them has, and met silence if all of them have. Where none tells, it goes by what it has met.
func (h *HealthMonitor) votes(now time.Duration, hall string, silentFor, heardFor time.Duration) (silent, heard int) {
	follow, near, nearSilent, nearHeard := 0, 0, 0, 0
	var met []sight // of those that follow
	for _, id := range h.members {
		at, spoke := h.spoke[id]
		s := h.sightOf(id, hall)
		switch fresh := s.known && now-s.at <= h.cfg.ViewTTL; {
		case id != h.cfg.InstanceID && (!spoke || now-at > h.cfg.ViewTTL):
		case s.far:
			follow++
			met = append(met, s)
		case fresh:
			near++
			a, b := s.says(silentFor, heardFor)
			nearSilent, nearHeard = nearSilent+a, nearHeard+b
		}
	}
	silent, heard = nearSilent, nearHeard
	switch {
	case near > 0 && nearHeard > 0:
		heard += follow
	case near > 0 && nearSilent == near:
		silent += follow
	case near == 0:
		for _, s := range met {
			if s.known && now-s.at <= h.cfg.ViewTTL {
				a, b := s.says(silentFor, heardFor)
				silent, heard = silent+a, heard+b
			}
		}
	}
	return silent, heard
}

// sightOf is what a member makes of a hall, by its own word or, of this one, by what it has met.
func (h *HealthMonitor) sightOf(id uint64, hall string) (s sight) {
	if id != h.cfg.InstanceID {
		return h.others[id][hall]
	}
	if o := h.mine[hall]; o != nil {
		s = o.sight
	}
	s.far = h.far[hall]
	return s
}

// says counts a sight as one of silence or of an answer, if it has lasted so long, as far as it was seen.
func (s *sight) says(silentFor, heardFor time.Duration) (silent, heard int) {
	switch age := s.at - s.since; {
	case s.silent && age >= silentFor:
		return 1, 0
	case !s.silent && age >= heardFor:
		return 0, 1
	}
	return 0, 0
}

func (h *HealthMonitor) majority(n int) bool { return 2*n > len(h.members) }

// hold is for how long a hall must be heard before it counts as back.
func (h *HealthMonitor) hold(now time.Duration, a *agreedHall) time.Duration {
	a.losses = slices.DeleteFunc(a.losses, func(at time.Duration) bool { return now-at > h.cfg.LossWindow })
	hold := h.cfg.RecoveryDelay
	for i := 1; i < len(a.losses) && hold < h.cfg.MaxRecoveryDelay; i++ {
		hold *= 2
	}
	return min(hold, h.cfg.MaxRecoveryDelay)
}

// part is how many eighths of its keys a hall can take, so that all halls that take keys are as busy as each other: by
// the median of what the members know of each. Where nothing is known it is all of them.
func (h *HealthMonitor) part(now time.Duration, hall string) int {
	sum, n := 0.0, 0
	for name, a := range h.halls {
		if c, _ := h.Capacity(now, name); name == hall || c > 0 && !a.closed && !(a.lost && a.part == 0) {
			sum += c
			n++
		}
	}
	if sum <= 0 {
		return eighths
	}
	c, _ := h.Capacity(now, hall)
	return min(max(int(eighths*c*float64(n)/sum+0.5), 1), eighths)
}

// Capacity is what a hall can carry, in warm servers, as the members that reach it itself see it in the median (0: not
// known), and how many these are.
func (h *HealthMonitor) Capacity(now time.Duration, hall string) (servers float64, near int) {
	var all []float64
	for _, id := range h.members {
		s := h.sightOf(id, hall)
		if !s.known || s.far || now-s.at > h.cfg.ViewTTL {
			continue
		}
		if near++; s.carry > 0 {
			all = append(all, s.carry)
		}
	}
	if len(all) == 0 {
		return 0, near
	}
	slices.Sort(all)
	return all[len(all)/2], near
}

const eighths = 8

// ProposeChange returns what should be agreed on now, at most one change: the next is judged by what
// this one comes to. The last hall that takes keys is never given up: to move all homes nowhere
// helps nobody.
func (h *HealthMonitor) ProposeChange(now time.Duration) (c SiteChange, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(h.halls)) {
		a := h.halls[name]
		if a.lost && a.part == 0 {
			hold := h.hold(now, a)
			if _, heard := h.votes(now, name, 0, hold); h.majority(heard) {
				return back(name, h.part(now, name), fmt.Sprintf("%d of %d members have heard it for %v", heard, len(h.members), hold)), true
			}
			continue
		}
		if silent, _ := h.votes(now, name, h.cfg.LossTimeout, 0); h.majority(silent) && h.another(now, name) {
			return SiteChange{name, true, 0, fmt.Sprintf("%d of %d members have met silence for %v", silent, len(h.members), h.cfg.LossTimeout)}, true
		}
		if a.lost && now-a.moved >= h.cfg.RecoveryDelay {
			if part := h.part(now, name); part > a.part {
				return back(name, part, fmt.Sprintf("it can carry %d of 8", part)), true
			}
		}
	}
	return SiteChange{}, false
}

// back is the change by which a hall takes a part of its keys again.
func back(hall string, part int, why string) SiteChange {
	return SiteChange{Site: hall, KeyEighths: part % eighths, Reason: why}
}

// another tells whether another hall takes keys and is heard by a majority.
func (h *HealthMonitor) another(now time.Duration, but string) bool {
	for name, a := range h.halls {
		if name == but || a.lost && a.part == 0 || a.closed {
			continue
		}
		if _, heard := h.votes(now, name, 0, 0); h.majority(heard) {
			return true
		}
	}
	return false
}

// State tells what this instance makes of a hall.
func (h *HealthMonitor) State(now time.Duration, hall string) SiteState {
	a, o := h.halls[hall], h.mine[hall]
	if a == nil {
		return SiteHealthy
	}
	silent, heard := h.votes(now, hall, 0, 0)
	switch {
	case a.lost && a.part == 0 && h.majority(heard):
		return SiteRecovering
	case a.lost && a.part == 0:
		return SiteLost
	case o != nil && o.known && o.silent && now-o.at <= h.cfg.ViewTTL:
		if now-o.since >= h.cfg.LossTimeout && !h.majority(silent) {
			return SitePartitioned
		}
		return SiteSuspected
	case a.lost, a.back > 0 && now-a.back < h.cfg.WarmUpWindow:
		return SiteWarmingUp
	}
	return SiteHealthy
}
