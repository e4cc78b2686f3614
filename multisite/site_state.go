package multisite

import "time"

// SiteState is the state of a site as an instance sees it, from its own attempts and health checks and from the
// views that the others announce. The transitions:
//
//	Healthy     -> Suspected   recent attempts and health checks of this instance were not answered
//	Suspected   -> Healthy     the site gave an answer of any kind
//	Suspected   -> Partitioned the site was silent for LossTimeout, but not to a majority: the fault is between this
//	                           instance and the site
//	Partitioned -> Healthy     the site gave an answer
//	any         -> Lost        the site was silent to a majority for LossTimeout, and the loss was agreed on
//	Lost        -> Recovering  the site answers a majority again
//	Recovering  -> Lost        the site no longer answers a majority
//	Recovering  -> WarmingUp   the site answered a majority without a break for the recovery delay, and the recovery was
//	                           agreed on
//	WarmingUp   -> Lost        the site was silent to a majority for LossTimeout, and the loss was agreed on
//	WarmingUp   -> Healthy     the site owns all its keys again, and WarmUpWindow has passed
//
// Only agreed changes move the ownership of keys; the other states inform operators.
type SiteState int

// The states of a site. Their texts are part of the management API.
const (
	SiteHealthy SiteState = iota
	SiteSuspected
	SitePartitioned
	SiteLost
	SiteRecovering
	SiteWarmingUp
)

// String returns the state's text in the management API.
func (s SiteState) String() string { return siteStateTexts[s] }

// siteEvidence is the evidence from which the state of a site is derived.
type siteEvidence struct {
	// Agreed on by the members:
	hasNoKeys          bool          // the site was lost and has not begun to recover
	isLost             bool          // the site owns none of its keys, or only a part
	hasRecovered       bool          // a loss of the site has ended
	timeSinceRecovered time.Duration // if hasRecovered

	// Observed by a majority of the members:
	answersMajority    bool
	isSilentToMajority bool

	// Observed by this instance:
	isSilentLocally bool
	localSilence    time.Duration // if isSilentLocally: for how long
}

// state returns the state of the site. What the members agreed on comes first, since it alone moves keys. Silence to
// this instance comes before warming up, since an operator has to be informed of a fault between the instance and the
// site.
func (e siteEvidence) state(lossTimeout, warmUpWindow time.Duration) SiteState {
	switch {
	case e.hasNoKeys && e.answersMajority:
		return SiteRecovering
	case e.hasNoKeys:
		return SiteLost
	case e.isSilentLocally && e.localSilence >= lossTimeout && !e.isSilentToMajority:
		return SitePartitioned
	case e.isSilentLocally:
		return SiteSuspected
	case e.isLost, e.hasRecovered && e.timeSinceRecovered < warmUpWindow:
		return SiteWarmingUp
	}
	return SiteHealthy
}
