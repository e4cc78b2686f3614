package configstream

// Action is an action for a follower's host; exactly one field is set. At most one of Persist, Check and Activate is in
// progress. The host reports its end with [Follower.PersistCompleted], [Follower.CheckCompleted] or
// [Follower.ActivationCompleted].
type Action struct {
	Persist     *DurableState // write it and sync
	Check       *Version      // check whether it can be put in force
	Activate    *Version      // put it in force
	Send        *Report       // to the member
	Ping        uint64        // sequence number of a ping to send; 0: none
	CloseStream string        // why the stream has to be closed; empty: it has not
	Warning     string        // for operators
	Rejected    *Rejection    // for operators: the version that is rejected, and why
}
