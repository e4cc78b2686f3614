package multisite

import "time"

// SiteView is what an instance announces of a site. Its JSON is read by instances of other versions.
type SiteView struct {
	Site     string        `json:"Hall"`
	IsSilent bool          `json:"Silent"`
	Duration time.Duration `json:"For"`           // it has been so; below 0: nothing was observed recently
	Capacity float64       `json:"Carry"`         // in warm servers; 0: not known
	IsRemote bool          `json:"Far,omitempty"` // the instance reaches the site only through another site's instances
}

// observation is one instance's view of one site.
type observation struct {
	isKnown    bool
	isSilent   bool
	since      time.Duration
	observedAt time.Duration // the last evidence, or when it was received
	capacity   float64
	isRemote   bool
}

// isCurrent reports whether the observation says anything of now.
func (o *observation) isCurrent(now, viewTTL time.Duration) bool {
	return o.isKnown && now-o.observedAt <= viewTTL
}

// change starts a new period of silence or of answers.
func (o *observation) change(isSilent bool, since time.Duration) {
	o.isKnown, o.isSilent, o.since = true, isSilent, since
}

// ownObservation is what this instance has observed of a site itself.
type ownObservation struct {
	observation
	lastAnswerAt time.Duration
	missCount    int // attempts without an answer since
	firstMissAt  time.Duration
}

func (o *ownObservation) recordAnswer(now time.Duration) {
	if !o.isKnown || o.isSilent {
		o.change(false, now)
	}
	o.observedAt, o.lastAnswerAt, o.missCount = now, now, 0
}

// recordMiss notes an attempt without an answer. If the site has answered since it was sent, it says nothing.
func (o *ownObservation) recordMiss(now, sentAt time.Duration, minMisses int) {
	if o.lastAnswerAt >= sentAt && o.lastAnswerAt > 0 {
		return
	}
	o.missCount++
	if o.missCount == 1 {
		o.firstMissAt = now
	}
	if o.missCount < minMisses {
		return
	}
	if !o.isKnown || !o.isSilent {
		o.change(true, o.firstMissAt)
	}
	o.observedAt = now
}
