package policy

// Messages between the owner of a customer's quota and the customer's other instances, the members. The rules of the
// owner are in policy/quota/owner.go, those of a member that gets no response in policy/quota/member.go.

import (
	"time"

	"mulleinmux/policy/overload"
	"mulleinmux/policy/quota"
)

// receiveQuotaMessage handles a message from a member to the quota owner, or from the owner to a member. A malformed
// message is ignored.
func (e *Engine) receiveQuotaMessage(from int, encoded []byte) {
	message, report, err := e.quotas.Codec().DecodeMessage(encoded)
	if err != nil {
		return
	}
	e.overload.ReceiveMeans(report.FleetMeans)
	for _, finding := range report.Findings {
		for _, s := range e.failures.receiveFinding(e.now, from, finding) {
			e.healthChecks.send(e.now, s, e.actions)
		}
	}
	switch m := message.(type) {
	case quota.Request:
		owner := quota.OwnerState{InboxRate: e.gossip.InboxRate, LeaseTTL: e.settings.maxLatencyObjective()}
		if response, isOwner := e.quotas.AnswerRequest(from, m, owner, e.now); isOwner {
			report := newPeerReport(e.now, &e.overload, &e.failures)
			e.actions.SendGossip(from, e.quotas.Codec().EncodeResponse(response, report))
		}
	case quota.UsageReport:
		e.quotas.ReceiveUsageReport(from, m, e.now)
	case quota.Response:
		e.receiveQuotaResponse(from, m)
	case quota.Return:
		e.quotas.ReceiveReturn(from, m, e.now)
	}
}

// newPeerReport returns the report that this instance attaches to its quota messages. It has no expired findings.
func newPeerReport(now time.Duration, controller *overload.Controller, failures *failureDetector) quota.Report {
	var report quota.Report
	if controller.HasMeansToShare() {
		report.FleetMeans = controller.FleetMeans()
	}
	report.Findings = failures.currentFindings(now)
	return report
}
