package multisite

import "time"

// SiteView is what an instance announces of a site. Its JSON is read by instances of other versions.
type SiteView struct {
	Site     string        `json:"Hall"`
	IsSilent bool          `json:"Silent"`
	Duration time.Duration `json:"For"`           // of silence or answers; negative: nothing recent
	Capacity float64       `json:"Carry"`         // in warm servers; 0: not known
	IsRemote bool          `json:"Far,omitempty"` // the instance reaches the site only through another site's instances
}

// observation is one instance's view of one site.
type observation struct {
	isKnown    bool
	isSilent   bool
	since      time.Duration // clock reading at which the silence or the answers began
	observedAt time.Duration // clock reading of the last evidence, or at which it was received
	capacity   float64       // in warm servers; 0: not known
	isRemote   bool          // the observer reaches the site only through another site
}

// isCurrent reports whether the observation is not outdated.
func (o *observation) isCurrent(now, viewTTL time.Duration) bool {
	return o.isKnown && now-o.observedAt <= viewTTL
}

// change starts a new period of silence or of answers.
func (o *observation) change(isSilent bool, since time.Duration) {
	o.isKnown = true
	o.isSilent = isSilent
	o.since = since
}

// ownObservation is what this instance has observed of a site itself.
type ownObservation struct {
	observation
	lastAnswerAt time.Duration
	missCount    int // attempts without an answer since then
	firstMissAt  time.Duration
}

func (o *ownObservation) recordAnswer(now time.Duration) {
	if !o.isKnown || o.isSilent {
		o.change(false, now)
	}
	o.observedAt = now
	o.lastAnswerAt = now
	o.missCount = 0
}

// recordMiss records an attempt without an answer. It has no effect if the site has answered since it was sent.
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
