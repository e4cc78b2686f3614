package gateway

import "errors"

// Texts that clients, servers, other instances and operators' tools read. Names, paths, outcomes and reasons use older
// terms than the code and must not be changed. The keys of the access log are the JSON tags of [RequestRecord].

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
	uptimeField          = "X-Mulleinmux-Uptime"        // seconds since which relayed requests are recorded
	answerWithinField    = "X-Mulleinmux-Answer-Within" // seconds within which a relayed request needs its complete answer
	responseBegunField   = "X-Mulleinmux-Begun"         // in an interim response: a server has begun its response
)

// Paths and Host values of requests to servers and other instances.
const (
	executionStatusPath = "/link/fate"
	executionStatusHost = "link"
	healthCheckHost     = "hall"
)

// Bodies of responses. The IDs of relayed requests are called crossings in textVoided and textRepeated, which other
// instances receive; these two must not be changed.
const (
	textRejected    = "rejected: a retry is safe"
	textUnconfirmed = "rejected: a retry at another instance is safe"
	textDraining    = "rejected: the instance is draining; a retry at another instance is safe"
	textMayHaveRun  = "failed: it may have run"
	textNotSent     = "failed: the request was not forwarded"
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
var errRelayConfig = errors.New("link: own sites, TLS certificates and their verification are required")

const textDuplicateSite = "sites: %q is listed twice"
