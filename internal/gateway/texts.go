package gateway

import "errors"

// Texts that others read, in older words than the code's; none may be reworded. Keys of the access log are the JSON
// tags of [RequestRecord].

// outcomeTexts are the outcomes of requests in the access log.
var outcomeTexts = [...]string{served: "served", rejected: "refused", failed: "failed"}

// Header fields of the protocol between clients, instances and servers.
const (
	licenseeField        = "X-Licensee"
	traceIDField         = "X-Trace-Id"
	timeoutField         = "X-Expires-In" // seconds
	neverRanField        = "X-Never-Ran"  // neverRanValue: the request did not run and never will
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
	uptimeField          = "X-Mulleinmux-Uptime" // seconds since which an instance knows what was relayed to it
)

// Requests to servers and between instances.
const (
	executionStatusPath = "/link/fate"
	executionStatusHost = "link"
	healthCheckHost     = "hall"
)

// Bodies of answers.
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

// The reasons for which a request is rejected because of its key, beside those of multisite, as texts of the access
// log.
const (
	reasonOwnerChanged = "its home has moved meanwhile"
	reasonSitesDiffer  = "the sites differ on its home"
)

// Errors of a configuration.
var errRelayConfig = errors.New("link: a hall of its own, certificates and a check of them are needed")

const textDuplicateSite = "halls: %q stands twice"
