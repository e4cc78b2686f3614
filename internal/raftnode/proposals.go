package raftnode

import (
	"errors"

	"go.etcd.io/raft/v3"

	"mulleinmux/clusterconfig"
)

// Propose has a proposal replicated, if it can be encoded. done is called with its outcome
// once it is applied here, or with an error; it may be called before Propose returns.
func (c *Core) Propose(p *clusterconfig.Proposal, done func(clusterconfig.Outcome, error)) {
	if err := c.proposeEntry(p); err != nil {
		done(clusterconfig.Outcome{}, err)
		return
	}
	c.proposalWaiters[p.ID] = append(c.proposalWaiters[p.ID], done)
}

// proposeEntry passes a proposal to the engine.
func (c *Core) proposeEntry(p *clusterconfig.Proposal) error {
	entry, err := clusterconfig.EncodeProposal(p)
	if err != nil {
		return err
	}
	if c.stopErr != nil {
		return c.stopErr
	}
	if len(c.proposalWaiters) >= maxPendingRequests {
		return errTooManyProposals
	}
	if c.Leader() == raft.None {
		return ErrNoLeader
	}
	err = c.rawNode.Propose(entry)
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNoLeader
	}
	return err
}

// AbandonProposal stops waiting for a proposal: done is called with [ErrOutcomeUnknown]. The
// proposal may still be applied.
func (c *Core) AbandonProposal(id string) {
	for _, done := range c.proposalWaiters[id] {
		done(clusterconfig.Outcome{}, ErrOutcomeUnknown)
	}
	delete(c.proposalWaiters, id)
}

// completeProposal calls done for all that wait for a proposal, which was applied.
func (c *Core) completeProposal(id string, o clusterconfig.Outcome) {
	for _, done := range c.proposalWaiters[id] {
		done(o, nil)
	}
	delete(c.proposalWaiters, id)
}

// failProposals calls done with an error for all proposals.
func (c *Core) failProposals(err error) {
	for id, waiters := range c.proposalWaiters {
		delete(c.proposalWaiters, id)
		for _, done := range waiters {
			done(clusterconfig.Outcome{}, err)
		}
	}
}
