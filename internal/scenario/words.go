package scenario

// Names of the rules in a verdict.
const (
	ruleAnswers       = "one_answer"      // a client's attempt receives one complete answer, its own and in time
	ruleEffects       = "no_effect_twice" // no request has its effect twice or two attempts in flight
	ruleDraining      = "drains"          // no request is sent to a server that has been draining for a while
	ruleClientsLeft   = "clients_left"    // no attempt begins for a client that has left
	ruleWarmup        = "cold_servers"    // no cold server is overloaded
	ruleHardLimits    = "ceilings"        // no customer exceeds the hard limit of its plan
	ruleUnits         = "units"           // each request that reached a site was charged once, at its price
	ruleOperations    = "operations"      // the operation that reached a site is the one that was charged
	ruleVersions      = "versions"        // a request keeps one version, and no instance returns to an older one
	ruleScenario      = "scenario"        // the checks of the scenario itself
	ruleSteps         = "steps"           // in instances' traces, attempts don't overlap and answers are in time
	ruleAgreement     = "one_mind"        // at the end all instances serve the same version
	ruleConfigChanges = "changes"         // operators' changes are linearizable
)

// Names of figures in a verdict that differ from the code's terms. A trailing underscore is followed by a number or,
// where noted, a name.
const (
	figureClientsLeft            = "clients_left"
	figureTraceSteps             = "trace_steps"
	figureOverlapsAllowed        = "overlaps_allowed" // of idempotent requests whose far instance did not answer
	figureSiteLostMs             = "hall_lost_ms_"
	figureSiteBackMs             = "hall_back_ms_"
	figureLeaderLossMs           = "kill_to_change_ms_"
	figureUnansweredWhileDown    = "no_answer_while_down"
	figureKeyRejectionFraction   = "refused_for_key_share"
	figureServedFraction         = "served_share"
	figureFollowersSettled       = "followed_s"
	figureBookedIsolated         = "booked_alone_" // followed by the site's name
	figureValueBeforeLoss        = "worth_before_of_oracle"
	figureValueAfterLoss         = "worth_after_loss_of_oracle"
	figureValueAfterReturn       = "worth_after_return_of_oracle"
	figureFullUseShortestSeconds = "full_use_shortest_s"
	figureFullUseSeconds         = "full_use_s"
)

// siteNames are the names of the two sites. "hall" is an older word for site, also in the names of scenarios, figures
// and files.
var siteNames = [...]string{"hall-a", "hall-b"}
