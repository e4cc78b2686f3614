package configstream

// Action is an action of a follower's host; one field is set. Of Persist, Check and Activate one is in progress at a
// time. Each is ended by [Follower.PersistCompleted], [Follower.CheckCompleted] or [Follower.ActivationCompleted].
type Action struct {
	Persist     *DurableState // write all of it, synced
	Check       *Version      // may it be put in force?
	Activate    *Version      // put it in force
	Send        *Report
	Ping        uint64     // its sequence number; 0: none
	CloseStream string     // the reason
	Warning     string     // tell the operators
	Rejected    *Rejection // tell the operators which version is rejected, and why
}
