package multisite

// SiteState is the state of a site as an instance sees it, from its own attempts and health checks and from the
// views that the others announce. The transitions:
//
//	Healthy     -> Suspected   nothing that was sent there recently was answered
//	Suspected   -> Healthy     an answer of any kind
//	Suspected   -> Partitioned for LossTimeout, without a majority: the fault is between this instance and the site
//	Partitioned -> Healthy     an answer
//	any         -> Lost        a majority of the members was not answered for LossTimeout, and that was agreed on
//	Lost        -> Recovering  a majority is answered again
//	Recovering  -> Lost        no majority is answered any more
//	Recovering  -> WarmingUp   a majority was answered for the recovery delay without a break, and that was agreed on
//	WarmingUp   -> Lost        as before
//	WarmingUp   -> Healthy     it owns all its keys again, and WarmUpWindow has passed
//
// Only what is agreed on changes the ownership of keys; the other states inform operators.
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
func (s SiteState) String() string {
	return [...]string{"well", "doubted", "cut off", "lost", "returning", "cold"}[s]
}
