package multisite

// Texts that operators, other programs and instances of other versions read. They use older terms than the code and
// must not be changed. The texts of messages between instances are the JSON tags of [Message] and the types in it; they
// must not be changed either.

// siteStateTexts are the texts of the management API.
var siteStateTexts = [...]string{
	SiteHealthy:     "well",
	SiteSuspected:   "doubted",
	SitePartitioned: "cut off",
	SiteLost:        "lost",
	SiteRecovering:  "returning",
	SiteWarmingUp:   "cold",
}

// executionStatusTexts are sent between sites.
var executionStatusTexts = [...]string{
	NeverExecuted:    "never",
	Executing:        "underway",
	Executed:         "ran",
	ExecutionUnknown: "unknown",
}

// The reasons for which a request is rejected because of its key, as texts of the access log.
const (
	reasonNotListed      = "this instance has no part in the homes"
	reasonNotConfirmed   = "the homes are not confirmed"
	reasonWindowPassed   = "it may have run so long ago that its hall no longer knows it"
	reasonSiteClosed     = "it may have run at %s, which takes no keys"
	reasonNoOpenSite     = "no hall takes keys"
	reasonOwnerJustMoved = "its home has moved, and it may have been sent to the old one"
)

// The reasons of site changes, which are stored with the changes.
const (
	reasonRecovered = "%d of %d members have heard it for %v"
	reasonSilent    = "%d of %d members have met silence for %v"
	reasonCapacity  = "it can carry %d of 8"
)
