package configstream

// DurableState is the state of a follower that survives restarts. Each change to it results in a [FollowerAction] with
// Persist set; the host must write and sync the state before it reports completion.
type DurableState struct {
	StartCount         uint64   // number of processes that have used the state, including this one
	Accepted           *Version // version that passed its check, and is in force or about to be
	WasActivated       bool     // whether Accepted has been in force
	ActivationAttempts int      // process starts with an Accepted that has not been in force
	Previous           *Version // version that was in force before Accepted
	Candidate          Ref      // version being checked; the zero value if none is
	CheckAttempts      int      // number of checks of Candidate that were started
	Rejections         []Rejection
}

// startupDecision is what a follower does at its start with the accepted version.
type startupDecision int

const (
	startEmpty             startupDecision = iota // no version was accepted
	activateAccepted                              // it has been in force: no member has to be contacted
	countActivationAttempt                        // it has not been in force yet: persist the attempt, then activate it
	rejectAccepted                                // it has ended the process too often
)

// decideStartup returns what a follower does at its start. maxAttempts is the number of activation attempts, each of
// which ended the process, after which a version is rejected.
func (d *DurableState) decideStartup(maxAttempts int) startupDecision {
	switch {
	case d.Accepted == nil:
		return startEmpty
	case d.WasActivated:
		return activateAccepted
	case d.ActivationAttempts >= maxAttempts:
		return rejectAccepted
	}
	return countActivationAttempt
}

// hasFailedChecks reports whether checks of the candidate have ended the process maxAttempts times. Such a candidate is
// rejected without another check.
func (d *DurableState) hasFailedChecks(maxAttempts int) bool { return d.CheckAttempts >= maxAttempts }

// beginCheck makes a version the candidate and counts the check.
func (d *DurableState) beginCheck(ref Ref) {
	if d.Candidate != ref {
		d.Candidate = ref
		d.CheckAttempts = 0
	}
	d.CheckAttempts++
}

// endCheck removes the candidate.
func (d *DurableState) endCheck() {
	d.Candidate = Ref{}
	d.CheckAttempts = 0
}

// accept makes a checked version the accepted one.
func (d *DurableState) accept(v *Version) {
	if d.WasActivated {
		d.Previous = d.Accepted
	}
	d.Accepted = v
	d.WasActivated = false
	d.ActivationAttempts = 0
	d.endCheck()
}

// reject adds a rejection. If it is of the accepted version, the previous version is accepted again and returned;
// otherwise, or if there is no previous version, reject returns nil.
func (d *DurableState) reject(r Rejection) (fallback *Version) {
	d.Rejections = appendRejection(d.Rejections, r)
	d.endCheck()
	if d.Accepted == nil || d.Accepted.Ref != r.Ref {
		return nil
	}
	d.Accepted = d.Previous
	d.WasActivated = d.Previous != nil
	d.ActivationAttempts = 0
	d.Previous = nil
	return d.Accepted
}
