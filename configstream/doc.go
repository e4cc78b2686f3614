// Package configstream decides how the replicated configuration reaches instances that are not members of the
// cluster (followers): which versions a member pushes to whom ([Publisher]), and which a follower puts in force
// ([Follower]). It does no I/O: hosts carry out the actions that it returns. Times are arguments, measured from the
// start of the process; messages between machines contain only durations.
//
// Invariants. A follower never puts a version in force that it has rejected, or one that is older than one that it
// had in force, even across restarts. A version is put in force only after it was checked and persisted. The status
// of a follower is the one that it reported itself, or "unknown".
package configstream
