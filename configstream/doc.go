// Package configstream implements the protocol that distributes the replicated configuration to followers, the
// instances that are not members of the cluster. [Publisher] decides which versions a member pushes to which follower,
// and [Follower] decides which of them a follower puts in force. The package does no I/O: the host carries out the
// actions that it returns. Times are passed as arguments and measured from the start of the process; messages between
// machines contain durations only.
//
// Invariants:
//   - A follower never puts a version in force that it has rejected, even across restarts.
//   - A follower never puts a version in force that is older than one that it had in force, even across restarts.
//   - A version is put in force only after it was checked and persisted.
//   - The status of a follower is the one that it last reported, or "unknown".
package configstream
