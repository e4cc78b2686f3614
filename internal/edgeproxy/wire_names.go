package edgeproxy

// Headers of requests and responses in addition to those of HTTP.
const (
	headerRequestID      = "X-Trace-Id"
	headerClass          = "X-Qos"
	headerPlan           = "X-Contract"
	headerTimeout        = "X-Expires-In" // seconds
	headerMetering       = "X-Metering"
	headerIdempotencyKey = "Idempotency-Key"
	headerNeverExecuted  = "X-Never-Ran" // in an app server's response; 1 if it did not start to execute the request
	headerLoadReport     = "Endpoint-Load-Metrics"
)

// Fields of X-Metering, and the query parameter with the customer.
const (
	meteringUnits         = "units"
	meteringInstanceCount = "spread"
	meteringFirstInstance = "first"

	queryCustomer = "customer"
)

// Bodies of answers.
const (
	textRejected     = "rejected: a retry is safe"
	textShuttingDown = "rejected: the node is shutting down"
	textFailed       = "failed"
	textReady        = "ready"
	textNotReady     = "not ready"
)

// Formats of metric lines. Those with two verbs take a class or rule name and a count.
const (
	metricServed              = "app.answered.%s=%d\n"
	metricRejected            = "app.deferred.%s=%d\n"
	metricFailed              = "app.errored.%s=%d\n"
	metricSentAttempts        = "app.sends=%d\n"
	metricSentAfterDisconnect = "app.sends_after_leave=%d\n"
	metricInFlight            = "app.current=%d\n"
	metricServers             = "app.cluster_size=%d\n"
	metricUnhealthy           = "app.cluster_unhealthy=%d\n"

	metricSubsetSize      = "choice.part=%d\n"
	metricSubsetSuspected = "choice.part_doubted=%d\n"
	metricRejectedByRule  = "choice.refused.%s=%d\n"                // by the rule's name
	metricHostEvent       = "host.%s=%d\n"                          // by the event's name
	metricMemory          = "memory.reserved=%d\nmemory.limit=%d\n" // bytes
	metricMemoryDecisions = "memory.waits=%d\nmemory.refusals=%d\nmemory.evictions=%d\n"
	metricSentIDs         = "ids.dropped=%d\n"

	metricOverQuotaSent       = "choice.beyond_quota.sent=%.0f\n"
	metricOverQuotaDiscovered = "choice.beyond_quota.found=%.0f\n"
)

// Environment variables.
const (
	envConfig    = "PROXY_CONFIG"
	envName      = "PROXY_NAME"
	envListen    = "PROXY_LISTEN"
	envDiscovery = "PROXY_DISCOVERY"
	envAdmin     = "PROXY_MANAGEMENT"
	envAcceptFD  = "PROXY_ACCEPT_FD"
	envTempDir   = "TMPDIR"
)
