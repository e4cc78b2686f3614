package multisite

import "time"

// SiteView is the view of a site that an instance announces. Its JSON is read by instances of other versions.
type SiteView struct {
	Site     string        `json:"Hall"`
	IsSilent bool          `json:"Silent"`
	Duration time.Duration `json:"For"`           // duration of the silence or answers; negative without recent evidence
	Capacity float64       `json:"Carry"`         // in warm servers; 0 if unknown
	IsRemote bool          `json:"Far,omitempty"` // the instance reaches the site only through another site's instances
}

// observation is one instance's view of one site.
type observation struct {
	isKnown    bool
	isSilent   bool
	since      time.Duration // clock reading at which the silence or the answers began
	observedAt time.Duration // clock reading of the last evidence, or at which it was received
	capacity   float64       // in warm servers; 0 if unknown
	isRemote   bool          // the observer reaches the site only through another site
}

// isCurrent reports whether the observation is not outdated.
func (o *observation) isCurrent(now, viewTTL time.Duration) bool {
	return o.isKnown && now-o.observedAt <= viewTTL
}

// startPeriod starts a new period of silence or of answers.
func (o *observation) startPeriod(isSilent bool, since time.Duration) {
	o.isKnown = true
	o.isSilent = isSilent
	o.since = since
}

// ownObservation is this instance's own observation of a site.
type ownObservation struct {
	observation
	lastAnswerAt      time.Duration
	unansweredCount   int // number of unanswered attempts and health checks since lastAnswerAt
	firstUnansweredAt time.Duration
}

func (o *ownObservation) recordAnswer(now time.Duration) {
	if !o.isKnown || o.isSilent {
		o.startPeriod(false, now)
	}
	o.observedAt = now
	o.lastAnswerAt = now
	o.unansweredCount = 0
}

// recordUnanswered records an unanswered attempt or health check. It has no effect if the site has answered since
// sentAt.
func (o *ownObservation) recordUnanswered(now, sentAt time.Duration, minUnanswered int) {
	if o.lastAnswerAt >= sentAt && o.lastAnswerAt > 0 {
		return
	}
	o.unansweredCount++
	if o.unansweredCount == 1 {
		o.firstUnansweredAt = now
	}
	if o.unansweredCount < minUnanswered {
		return
	}
	if !o.isKnown || !o.isSilent {
		o.startPeriod(true, o.firstUnansweredAt)
	}
	o.observedAt = now
}
