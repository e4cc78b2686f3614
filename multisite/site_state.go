package multisite

// SiteState is what an instance makes of a site, by its own attempts and health checks and by what the others announce
// of theirs. The transitions:
//
//	Healthy     -> Suspected   nothing that was sent there recently was answered
//	Suspected   -> Healthy     an answer of any kind
//	Suspected   -> Partitioned for LossTimeout, and no majority is unanswered: the fault lies between here and there
//	Partitioned -> Healthy     an answer
//	any         -> Lost        a majority of the members was not answered for LossTimeout, and that was agreed on
//	Lost        -> Recovering  a majority is answered again
//	Recovering  -> Lost        it no longer is
//	Recovering  -> WarmingUp   a majority was answered for the recovery delay without a break, and that was agreed on
//	WarmingUp   -> Lost        as before
//	WarmingUp   -> Healthy     it carries what the others do, and WarmUpWindow has passed
//
// Only what is agreed on changes the ownership of keys; the other states inform operators.
type SiteState int

// The states of a site. Their texts are part of the management answers.
const (
	SiteHealthy SiteState = iota
	SiteSuspected
	SitePartitioned
	SiteLost
	SiteRecovering
	SiteWarmingUp
)

// String returns the text that management answers show.
func (s SiteState) String() string {
	return [...]string{"well", "doubted", "cut off", "lost", "returning", "cold"}[s]
}
