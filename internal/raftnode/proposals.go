package raftnode

import (
	"errors"

	"go.etcd.io/raft/v3"

	"mulleinmux/clusterconfig"
)

// proposalWaiters holds the callbacks of pending proposals, by proposal id. A proposal may have several.
type proposalWaiters map[string][]func(clusterconfig.Outcome, error)

func (w proposalWaiters) add(id string, done func(clusterconfig.Outcome, error)) {
	w[id] = append(w[id], done)
}

// complete calls and removes all callbacks of a proposal.
func (w proposalWaiters) complete(id string, o clusterconfig.Outcome, err error) {
	for _, done := range w[id] {
		done(o, err)
	}
	delete(w, id)
}

// fail calls and removes the callbacks of all proposals, with an error.
func (w proposalWaiters) fail(err error) {
	for id, waiting := range w {
		delete(w, id)
		for _, done := range waiting {
			done(clusterconfig.Outcome{}, err)
		}
	}
}

// Propose replicates a proposal. done is called with the outcome once this member has applied the proposal, or with an
// error. It may be called before Propose returns.
func (c *Core) Propose(p *clusterconfig.Proposal, done func(clusterconfig.Outcome, error)) {
	if err := c.proposeEntry(p); err != nil {
		done(clusterconfig.Outcome{}, err)
		return
	}
	c.proposals.add(p.ID, done)
}

// proposeEntry encodes a proposal and passes it to the engine.
func (c *Core) proposeEntry(p *clusterconfig.Proposal) error {
	entry, err := clusterconfig.EncodeProposal(p)
	if err != nil {
		return err
	}
	if err := c.checkProposable(); err != nil {
		return err
	}
	err = c.rawNode.Propose(entry)
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNoLeader
	}
	return err
}

// checkProposable returns an error if no proposal can be accepted now: if the member has stopped, if maxPendingRequests
// proposals are pending, or if no leader is known.
func (c *Core) checkProposable() error {
	switch {
	case c.stopErr != nil:
		return c.stopErr
	case len(c.proposals) >= maxPendingRequests:
		return errTooManyProposals
	case c.Leader() == raft.None:
		return ErrNoLeader
	}
	return nil
}

// AbandonProposal stops waiting for a proposal: its callbacks are called with [ErrOutcomeUnknown]. The proposal may
// still be applied.
func (c *Core) AbandonProposal(id string) {
	c.proposals.complete(id, clusterconfig.Outcome{}, ErrOutcomeUnknown)
}
