package simwire

import "mulleinmux/policy"

// results has the meaning of the codes for the end of an attempt.
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

// serverStates has the meaning of the words for a server's state.
var serverStates = map[string]policy.ServerState{
	"IN":   policy.Up,
	"LAME": policy.Draining,
	"OUT":  policy.Removed,
}

// updateKinds has the meaning of the words for the form of a list of servers.
var updateKinds = map[string]policy.EndpointUpdateKind{
	"Partial":   policy.EndpointsDelta,
	"Complete":  policy.EndpointsComplete,
	"Persisted": policy.EndpointsSaved,
	"Error":     policy.EndpointsUnavailable,
}

// idempotencies has the meaning of the words for what repeating a request does.
var idempotencies = map[string]policy.Idempotency{
	"retryable": policy.Idempotent,
	"dedup":     policy.IdempotentWithKey,
	"fragile":   policy.NonIdempotent,
}

// dedupScopes has the meaning of the words for the servers that drop a repeat.
var dedupScopes = map[string]policy.DedupScope{
	"all":  policy.DedupAllServers,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}
