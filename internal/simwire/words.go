package simwire

import "mulleinmux/policy"

// The names of the messages from the simulator, in the order in which an instance first receives them.
const (
	msgClock             = "CLOCK"
	msgBatchEnd          = "COMMIT"
	msgInstanceStarted   = "LAUNCH"
	msgInstanceStopped   = "HALT"
	msgTable             = "PAGE"
	msgTableEntry        = "ITEM"
	msgEndpointsChanged  = "FLEET"
	msgRequestArrived    = "ACCEPT"
	msgResponseStarted   = "HEADERS"
	msgAttemptCompleted  = "COMPLETED"
	msgDisconnected      = "LEFT"
	msgTimerFired        = "TIMEOUT_FIRED"
	msgHealthCheckResult = "PROBE_DONE"
	msgGossipReceived    = "WHISPER"
	msgTotalReceived     = "TOTAL"
)

// The names of the messages of a reply.
const (
	msgSendAttempt    = "CALL_OUT"
	msgRejectRequest  = "TURN_AWAY"
	msgFailRequest    = "SURRENDER"
	msgCancelAttempt  = "WITHDRAW"
	msgSetTimer       = "SET_ALARM"
	msgCheckHealth    = "PROBE"
	msgSendGossip     = "SIGNAL"
	msgWatchEndpoints = "STREAM_CHANGES"
	msgLog            = "PRINT"
	msgFailure        = "BROKEN"
	msgReplyEnd       = "FINISHED"
)

// The names of the values of a line, for error messages.
const (
	fieldClock          = "clock"
	fieldInstance       = "i"
	fieldSeed           = "prng"
	fieldSettings       = "info"
	fieldTable          = "table"
	fieldTableRows      = "rows"
	fieldServer         = "server"
	fieldServerState    = "mode"
	fieldServerWeight   = "rating"
	fieldMachineKind    = "machine"
	fieldZone           = "regionPart"
	fieldCell           = "pod"
	fieldStartedAt      = "bootTime"
	fieldSequenceNumber = "seqNo"
	fieldUpdateKind     = "form"
	fieldRequestID      = "ref"
	fieldClass          = "tierClass"
	fieldPlan           = "tier"
	fieldCustomer       = "holder"
	fieldTimeout        = "grace"
	fieldUnits          = "weight"
	fieldInstanceCount  = "entryPoints"
	fieldFirstInstance  = "fromNo"
	fieldBits           = "bits"
	fieldAttempt        = "roundNo"
	fieldIsAnswered     = "closed"
	fieldResult         = "reason"
	fieldLatency        = "spent"
	fieldFleetLoad      = "fleetUse"
	fieldActualUnits    = "actual"
	fieldLoadReport     = "feedback"
	fieldTimerToken     = "ctx"
	fieldPeer           = "neighbour"
	fieldMessage        = "payload"
	fieldCounterTotal   = "level"
	fieldCounterName    = "slotName"
)

// Words of values and of load reports.
const (
	wordAbsent       = "-"
	wordAllInstances = "all"

	reportInFlight    = "outstanding"
	reportQueueLength = "backlog"
	reportUtilization = "utilization"

	registryModePolled = "subscribe" // the instance has to request the endpoint list
)

// loadReportModes maps words to the ways in which servers report their load.
var loadReportModes = map[string]policy.LoadReportMode{
	"answers": policy.LoadReportsInResponses,
	"probe":   policy.LoadReportsInHealthChecks,
	"none":    policy.LoadReportsNone,
	"":        policy.LoadReportsNone,
}

// results maps codes to the results of an attempt.
var results = map[string]policy.Result{
	"0":   policy.OK,
	"255": policy.ErrorResponse,
	"254": policy.RejectedByServer,
	"253": policy.TimedOut,
	"252": policy.ConnectFailed,
	"251": policy.ConnectionReset,
	"250": policy.Cancelled,
	"249": policy.NotSent,
}

// serverStates maps words to the states of a server.
var serverStates = map[string]policy.ServerState{
	"IN":   policy.Up,
	"LAME": policy.Draining,
	"OUT":  policy.Removed,
}

// updateKinds maps words to the kinds of an endpoint list update.
var updateKinds = map[string]policy.EndpointUpdateKind{
	"Partial":   policy.EndpointsDelta,
	"Complete":  policy.EndpointsComplete,
	"Persisted": policy.EndpointsSaved,
	"Error":     policy.EndpointsUnavailable,
}

// idempotencies maps words to the effects of repeating a request.
var idempotencies = map[string]policy.Idempotency{
	"retryable": policy.Idempotent,
	"dedup":     policy.IdempotentWithKey,
	"fragile":   policy.NonIdempotent,
}

// dedupScopes maps words to the sets of servers that deduplicate a repeated request.
var dedupScopes = map[string]policy.DedupScope{
	"all":  policy.DedupAllServers,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}
