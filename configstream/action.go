package configstream

// FollowerAction is an action that a follower's host carries out; exactly one field is set. At most one of Persist,
// Check and Activate is in progress at a time. The host reports its completion with [Follower.PersistCompleted],
// [Follower.CheckCompleted] or [Follower.ActivationCompleted].
type FollowerAction struct {
	Persist     *DurableState // state to write and sync
	Check       *Version      // version to check before it is put in force
	Activate    *Version      // version to put in force
	Send        *Report       // message to send to the member
	Ping        uint64        // sequence number of a ping to send; 0 if no ping is sent
	CloseStream string        // reason for closing the stream; empty if it stays open
	Warning     string        // problem to log for operators
	Rejected    *Rejection    // rejected version to log for operators, with its problems
}
