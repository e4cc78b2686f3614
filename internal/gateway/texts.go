package gateway

import "errors"

// Texts that clients, servers, other instances and operators' tools read. They use older terms than the code and must
// not be changed. The keys of the access log are the JSON tags of [RequestRecord].

// outcomeTexts are the names of outcomes in the access log.
var outcomeTexts = [...]string{served: "served", rejected: "refused", failed: "failed"}

// Header fields of the protocol between clients, instances and servers.
const (
	licenseeField        = "X-Licensee"
	traceIDField         = "X-Trace-Id"
	timeoutField         = "X-Expires-In" // seconds
	neverRanField        = "X-Never-Ran"  // with neverRanValue: the request did not run and never will
	neverRanValue        = "1"
	loadReportField      = "Endpoint-Load-Metrics"
	versionField         = "X-Mulleinmux-Version"
	explainField         = "X-Mulleinmux-Explain"
	operationField       = "X-Mulleinmux-Operation"
	unitsField           = "X-Mulleinmux-Units"
	attemptsField        = "X-Mulleinmux-Attempts"
	configAgeField       = "X-Mulleinmux-Config-Age"
	relayIDField         = "X-Mulleinmux-Crossing"
	executionStatusField = "X-Mulleinmux-Fate"
	uptimeField          = "X-Mulleinmux-Uptime" // seconds since which relayed requests are recorded
)

// Paths and Host values of requests to servers and other instances.
const (
	executionStatusPath = "/link/fate"
	executionStatusHost = "link"
	healthCheckHost     = "hall"
)

// Bodies of responses.
const (
	textRejected    = "refused: trying again does no harm"
	textUnconfirmed = "refused: trying again at another instance does no harm"
	textDraining    = "refused: ending; trying again at another instance does no harm"
	textMayHaveRun  = "failed: it may have run"
	textNotSent     = "failed: nothing was sent on"
	textVoided      = "the crossing is void or can't be remembered"
	textRepeated    = "the crossing has come before"

	textRelayRejected = "refused" // to another site's instance
)

// Reasons in the access log for rejecting a request because of its idempotency key, in addition to those of package
// multisite.
const (
	reasonOwnerChanged = "its home has moved meanwhile"
	reasonSitesDiffer  = "the sites differ on its home"
)

// errRelayConfig is the error for an incomplete relay configuration.
var errRelayConfig = errors.New("link: a hall of its own, certificates and a check of them are needed")

const textDuplicateSite = "halls: %q stands twice"
