package cluster

import (
	"context"
	"net/http"
	"time"

	"mulleinmux/clusterconfig"
)

const maxProposalIDBytes = 200

// completeProposal sets a proposal's author from the certificate, sets its time if it has none, and checks its ID.
func (a *adminServer) completeProposal(r *http.Request, p *clusterconfig.Proposal) error {
	caller, err := a.authenticate(r)
	if err != nil {
		return err
	}
	p.Author = caller.Operator
	if p.Author == "" {
		p.Author = memberAuthor(caller.Member)
	}
	if p.ProposedAtMs == 0 {
		p.ProposedAtMs = time.Now().UnixMilli()
	}
	if len(p.ID) == 0 || len(p.ID) > maxProposalIDBytes {
		return newBadRequest("id: must have 1 to %d bytes", maxProposalIDBytes)
	}
	return nil
}

// checkProposal returns the outcome that a proposal would have.
func (a *adminServer) checkProposal(ctx context.Context, r *http.Request, p *clusterconfig.Proposal) (
	outcome clusterconfig.Outcome, err error) {
	if err := a.completeProposal(r, p); err != nil {
		return outcome, err
	}
	state, err := a.readConfirmedState(ctx)
	if err != nil {
		return outcome, err
	}
	return rejectedAsError(dryRun(state, p))
}

// propose proposes a change to the cluster and returns the outcome.
func (a *adminServer) propose(ctx context.Context, r *http.Request, p *clusterconfig.Proposal) (
	outcome clusterconfig.Outcome, err error) {
	if err := a.completeProposal(r, p); err != nil {
		return outcome, err
	}
	// A proposal that can't be applied is not sent to all members. This member's state may be behind, so its rejection
	// counts only if the state that a quorum confirms rejects the proposal as well.
	local, err := a.member.node.AppliedState(ctx)
	if err != nil {
		return outcome, err
	}
	if local.Check(p) != nil {
		outcome, isFinal, err := a.recheckRejected(ctx, p)
		if err != nil {
			return outcome, err
		}
		if isFinal {
			return rejectedAsError(outcome)
		}
	}
	if outcome, err = a.member.node.Propose(ctx, p); err != nil {
		return outcome, err
	}
	return rejectedAsError(outcome)
}

// recheckRejected checks a proposal that this member's state rejects against the state that a quorum confirms. The
// outcome is final if it is the recorded outcome of a repeated proposal or another rejection. Otherwise the proposal
// can be applied, and has yet to be proposed.
func (a *adminServer) recheckRejected(ctx context.Context, p *clusterconfig.Proposal) (
	outcome clusterconfig.Outcome, isFinal bool, err error) {
	var newest *clusterconfig.State
	var isRepeated bool
	err = a.member.node.LinearizableRead(ctx, func(s *clusterconfig.State) {
		newest = s.Freeze()
		outcome, isRepeated = s.Outcome(p.ID)
	})
	if err != nil || isRepeated {
		return outcome, isRepeated, err
	}
	outcome = dryRun(newest, p)
	return outcome, !outcome.IsApplied, nil
}

// dryRun returns the outcome that a proposal would have, at the version of the state.
func dryRun(state *clusterconfig.State, p *clusterconfig.Proposal) clusterconfig.Outcome {
	if err := state.Check(p); err != nil {
		return clusterconfig.Outcome{Version: state.Version(), RejectionReason: err.Error()}
	}
	return clusterconfig.Outcome{Version: state.Version(), IsApplied: true}
}

// rejectedAsError turns the outcome of a rejected proposal into an error with status 409.
func rejectedAsError(outcome clusterconfig.Outcome) (clusterconfig.Outcome, error) {
	if !outcome.IsApplied {
		return outcome, &statusError{http.StatusConflict, outcome}
	}
	return outcome, nil
}
