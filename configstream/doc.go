// Package configstream decides how the replicated configuration reaches instances that are no members of the cluster
// ("followers"): what a member pushes to whom ([Publisher]), and what a follower puts in force ([Follower]). It does
// no I/O: hosts carry out the actions that it returns. Times are arguments, measured from the start of the process,
// so that only durations go between machines.
//
// Invariants. No follower puts a version in force that it has rejected, or one that is older than one that it had in
// force, across restarts too. A version is in force only after it was checked and persisted. The status of a follower
// is what it reported itself, or "unknown".
package configstream
