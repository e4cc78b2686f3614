package configstream

// DurableState is what a follower keeps across restarts. Each change of it is an [Action] that the host must have
// synced before it reports the end of the action.
type DurableState struct {
	StartCount         uint64   // processes that have used it, this one too
	Accepted           *Version // checked, in force or to be put in force
	WasActivated       bool     // Accepted has been in force
	ActivationAttempts int      // starts with an Accepted that has not been in force
	Previous           *Version // that was in force before Accepted
	Candidate          Ref      // the version that is being checked; the zero Ref: none
	CheckAttempts      int      // checks of Candidate that were begun
	Rejections         []Rejection
}

// beginCheck counts a check of a version.
func (d *DurableState) beginCheck(ref Ref) {
	if d.Candidate != ref {
		d.Candidate, d.CheckAttempts = ref, 0
	}
	d.CheckAttempts++
}

// endCheck forgets the candidate.
func (d *DurableState) endCheck() { d.Candidate, d.CheckAttempts = Ref{}, 0 }

// accept makes a checked version the one to be put in force.
func (d *DurableState) accept(v *Version) {
	if d.WasActivated {
		d.Previous = d.Accepted
	}
	d.Accepted, d.WasActivated, d.ActivationAttempts = v, false, 0
	d.endCheck()
}

// reject adds a rejection. If that is of the accepted version, the previous one is accepted again and returned.
func (d *DurableState) reject(r Rejection) (fallback *Version) {
	d.Rejections = appendRejection(d.Rejections, r)
	d.endCheck()
	if d.Accepted == nil || d.Accepted.Ref != r.Ref {
		return nil
	}
	d.Accepted, d.WasActivated, d.ActivationAttempts = d.Previous, d.Previous != nil, 0
	d.Previous = nil
	return d.Accepted
}
