package raftnode

import "errors"

// Errors of requests to a member, and reasons for its stop.
var (
	// ErrNoLeader reports that a request needs a leader and none is known.
	ErrNoLeader = errors.New("no leader is known: a quorum of members is needed")
	// ErrStopped reports that the member has stopped; if it has a cause, the error also wraps that.
	ErrStopped = errors.New("the member has stopped")
	// ErrStaleStorage reports that the member's log lacks entries that it has acknowledged.
	ErrStaleStorage = errors.New("the member's file lacks what it has promised to others, as an old copy does: " +
		"let it join again under a new number")
	// ErrRemoved reports that a membership change has removed this member.
	ErrRemoved = errors.New("this member was removed from the cluster: its number is not used again")
	// ErrOutcomeUnknown reports that a proposal may or may not be applied: its result was lost.
	ErrOutcomeUnknown = errors.New("the leader changed meanwhile: " +
		"it is not known whether the proposal will be applied; repeat it with the same id")
	// ErrUnknownAuthority reports that the peer's certificate is not signed by this cluster's authority.
	ErrUnknownAuthority = errors.New("its certificate is not by this cluster's authority")
)

// Errors of a member's file. None of them is resolved by starting with an empty file under
// the old member id: a member that has forgotten its vote could vote twice in a term. See
// docs/operators/cluster.md.
var (
	// ErrCorruptFile reports that a part of the file is missing or fails its checksum.
	ErrCorruptFile = errors.New("the file is damaged: move it away and let this member join again under a new number")
	// ErrForeignFile reports that the file's member id or cluster name is another's.
	ErrForeignFile = errors.New("the file belongs to another member or cluster")
	// ErrRestoredFile reports that a file was copied or restored since its member last wrote it: an
	// old copy may lack votes and entries that the member has acknowledged.
	ErrRestoredFile = errors.New("the file was changed or put here after its member last wrote it: " +
		"if it is an old copy, let this member join again under a new number; " +
		"if it is the newest, moved here, say so with gateway init --adopt")
)

// errTooManyReads rejects a read while maxPendingRequests others wait.
var errTooManyReads = errors.New("too many reads are under way")

// errTooManyProposals rejects a proposal while maxPendingRequests others wait.
var errTooManyProposals = errors.New("too many proposals are under way")
