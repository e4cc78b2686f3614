package scenario

// Rules, as a verdict names them.
const (
	ruleAnswers       = "one_answer"      // a client's attempt has one whole answer, its own and in time
	ruleEffects       = "no_effect_twice" // no effect twice, and no two attempts in flight
	ruleDraining      = "drains"          // nothing goes to a server that has been draining for a while
	ruleWarmup        = "cold_servers"    // no server is overloaded while it warms up
	ruleHardLimits    = "ceilings"        // no customer passes the hard limit of its plan
	ruleUnits         = "units"           // what reached a site was charged once, and at its price
	ruleOperations    = "operations"      // sites see the operation that was charged
	ruleVersions      = "versions"        // a request keeps one version, and none is older than one in force before
	ruleScenario      = "scenario"        // what the scenario itself checks
	ruleSteps         = "steps"           // an instance's own steps: attempts one after the other, answers in time
	ruleAgreement     = "one_mind"        // in the end all instances run one version
	ruleConfigChanges = "changes"         // operators' changes are linearizable
)

// Figures of a verdict whose names differ from the code's terms. Those with a number get it at their ends.
const (
	figureTraceSteps             = "trace_steps"
	figureOverlapsAllowed        = "overlaps_allowed" // of idempotent requests whose far instance did not answer
	figureSiteLostMs             = "hall_lost_ms_"
	figureSiteBackMs             = "hall_back_ms_"
	figureLeaderLossMs           = "kill_to_change_ms_"
	figureUnansweredWhileDown    = "no_answer_while_down"
	figureKeyRejectionFraction   = "refused_for_key_share"
	figureServedFraction         = "served_share"
	figureFollowersSettled       = "followed_s"
	figureBookedIsolated         = "booked_alone_" // with a site's name
	figureValueBeforeLoss        = "worth_before_of_oracle"
	figureValueAfterLoss         = "worth_after_loss_of_oracle"
	figureValueAfterReturn       = "worth_after_return_of_oracle"
	figureFullUseShortestSeconds = "full_use_shortest_s"
	figureFullUseSeconds         = "full_use_s"
)

// siteNames are the names of the two sites. Those of scenarios, figures and files hold the older word likewise.
var siteNames = [...]string{"hall-a", "hall-b"}
