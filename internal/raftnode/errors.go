package raftnode

import "errors"

// Errors of a member's requests and of its end.
var (
	// ErrNoLeader says that a request needs a leader and none is known.
	ErrNoLeader = errors.New("no leader is known: a quorum of members is needed")
	// ErrStopped says that the member has stopped; a stop with a cause joins that cause.
	ErrStopped = errors.New("the member has stopped")
	// ErrStaleStorage says that the member's log lacks entries that it has acknowledged.
	ErrStaleStorage = errors.New("the member's file lacks what it has promised to others, as an old copy does: " +
		"let it join again under a new number")
	// ErrRemoved says that a membership change has removed this member.
	ErrRemoved = errors.New("this member was removed from the cluster: its number is not used again")
	// ErrOutcomeUnknown says that a proposal may be applied, or never: its answer was lost.
	ErrOutcomeUnknown = errors.New("the leader changed meanwhile: it is not known whether the proposal will be applied; " +
		"repeat it with the same id")
	// ErrUnknownAuthority says that the peer's certificate is not signed by this cluster's authority.
	ErrUnknownAuthority = errors.New("its certificate is not by this cluster's authority")
)

// Errors of a member's file. None of them is resolved by starting with an empty file under
// the old member id: a member that has forgotten its vote could vote twice in a term. See
// docs/operators/cluster.md.
var (
	// ErrCorruptFile says that a part of the file is missing or fails its checksum.
	ErrCorruptFile = errors.New("the file is damaged: move it away and let this member join again under a new number")
	// ErrForeignFile says that the file's member id or cluster name is another's.
	ErrForeignFile = errors.New("the file belongs to another member or cluster")
	// ErrRestoredFile says that a file was put in its place after it was last written: an old
	// copy may lack votes and entries that the member has acknowledged.
	ErrRestoredFile = errors.New("the file was changed or put here after its member last wrote it: " +
		"if it is an old copy, let this member join again under a new number; " +
		"if it is the newest, moved here, say so with gateway init --adopt")
)

// errTooManyProposals rejects a proposal while maxPendingRequests others wait.
var errTooManyProposals = errors.New("too many proposals are under way")
