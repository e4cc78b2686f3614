package gatewayconfig

// Names of fields in the files that differ from the code's terms. The tags of the forms have the same names, and
// problems are reported under them, so none may be renamed.
const (
	fieldSite             = "hall"
	fieldDiscovery        = "register"
	fieldPriorityWeight   = "worth"
	fieldLateFraction     = "late"
	fieldLatencyObjective = "aim"
	fieldMaxRequestUnits  = "most_units"

	fieldHardLimitRate     = "ceiling_rate"
	fieldHardLimitBurst    = "ceiling_burst"
	fieldHardLimitSlack    = "ceiling_slack"
	fieldMaxInFlight       = "open"
	fieldPriorityFactor    = "price"
	fieldOverQuotaFraction = "over_worth"
	fieldOverQuotaCost     = "over_cost"

	fieldRelay            = "cluster.link"
	fieldRelayPeers       = "far"
	fieldRelayMaxInFlight = "most"
)

// Texts of problems that contain these field names.
const (
	textNoSite        = "no site is described: add a [[hall]] with name and register"
	textNoClass       = "no class is described: add a [[class]] with name, worth, aim and deadline"
	textNoDeadline    = "aim and deadline must both be set and above 0"
	textHardLimit     = "must not be below rate, and ceiling_burst must be above 0"
	textZoneNoSite    = "%q is not the name of a [[hall]] in this file"
	textZoneMissing   = "is missing: set it to the name of this instance's own site"
	textNotRemoteSite = "%q is empty or this instance's own site: name another site"
)

// textUnknownValue is the text of the problem of a field that accepts only two values.
const textUnknownValue = "%q is unknown: use %q or %q"

// Values of the field when_stale: an instance whose configuration is stale continues to serve, or rejects requests.
const (
	whenStaleServe  = "serve"
	whenStaleReject = "refuse"
)

// Values of the field keys: requests with an idempotency key go to the key's owner, or to any site.
const (
	keysToOwner = "home"
	keysToAny   = "anywhere"
)

// Values of the field validate.
const (
	validateCost = "cost"
	validateFull = "full"
)
