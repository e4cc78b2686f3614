package raftnode

import "errors"

// Errors of requests to a member, and reasons why a member stops.
var (
	// ErrNoLeader reports that a request needs a leader and none is known.
	ErrNoLeader = errors.New("no leader is known: a quorum of members is needed")
	// ErrStopped reports that the member has stopped. If there is a cause, the error also wraps it.
	ErrStopped = errors.New("the member has stopped")
	// ErrStaleStorage reports that the member's log lacks entries that it has acknowledged.
	ErrStaleStorage = errors.New("the file lacks entries that the member has acknowledged, as an old copy does: " +
		"let the member join again under a new number")
	// ErrRemoved reports that a membership change has removed this member.
	ErrRemoved = errors.New("this member was removed from the cluster: its number is not used again")
	// ErrOutcomeUnknown reports that the result of a proposal was lost: it may or may not be applied.
	ErrOutcomeUnknown = errors.New("the leader has changed: " +
		"the proposal may or may not be applied; repeat it with the same id")
	// ErrUnknownAuthority reports that the peer's certificate is not signed by this cluster's authority.
	ErrUnknownAuthority = errors.New("the certificate is not signed by this cluster's authority")
)

// Errors of a member's file. A member with such a file must not be started with an empty file under the same member id:
// without the record of its vote it could vote twice in a term. See docs/operators/cluster.md.
var (
	// ErrCorruptFile reports that a part of the file is missing or fails its checksum.
	ErrCorruptFile = errors.New("the file is damaged: move it away and let this member join again under a new number")
	// ErrForeignFile reports that the file has another member id or cluster name.
	ErrForeignFile = errors.New("the file belongs to another member or cluster")
	// ErrRestoredFile reports that a file was copied or restored after its member last wrote it. An old copy may lack
	// the member's last vote, and entries that the member has acknowledged.
	ErrRestoredFile = errors.New("the file was changed or put here after its member last wrote it: " +
		"if it is an old copy, let this member join again under a new number; " +
		"if it is the newest file and was moved here, accept it with gateway init --adopt")
)

// errTooManyReads rejects a read while maxPendingRequests reads are pending.
var errTooManyReads = errors.New("too many reads are pending")

// errTooManyProposals rejects a proposal while maxPendingRequests proposals are pending.
var errTooManyProposals = errors.New("too many proposals are pending")
