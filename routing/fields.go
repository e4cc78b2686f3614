package routing

import "mulleinmux/policy"

// The values of the constants in this file must not change: descriptions contain them, and the names of compiled
// classes contain some of them.

// ExtensionName is the key of an extension in a description.
const ExtensionName = "x-mulleinmux"

// Fields of an extension.
const (
	fieldClass            = "class"
	fieldIdempotency      = "effect"
	fieldRepeatable       = "repeatable"
	fieldKeySource        = "key"
	fieldDedupScope       = "group"
	fieldDedupWindow      = "window"
	fieldUnits            = "units"
	fieldLatencyObjective = "aim"
	fieldDeadline         = "deadline"
)

var extensionFields = []string{
	fieldClass, fieldIdempotency, fieldRepeatable, fieldKeySource, fieldDedupScope, fieldDedupWindow, fieldUnits,
	fieldLatencyObjective, fieldDeadline,
}

// Values of fieldIdempotency.
const (
	idempotent        = "safe"
	idempotentWithKey = "keyed"
	nonIdempotent     = "unsafe"
)

var idempotencyNames = [...]string{
	policy.Idempotent:        idempotent,
	policy.IdempotentWithKey: idempotentWithKey,
	policy.NonIdempotent:     nonIdempotent,
}

// Values of fieldDedupScope.
const (
	dedupAllServers = "all"
	dedupZone       = "zone"
	dedupCell       = "cell"
)

var dedupScopeNames = [...]string{
	policy.DedupAllServers: dedupAllServers,
	policy.DedupZone:       dedupZone,
	policy.DedupCell:       dedupCell,
}

// Fields of a mapping that is the value of fieldUnits, in addition to the one that names the parameter.
const (
	fieldMin     = "least"
	fieldMax     = "most"
	fieldDefault = "default"
)

// Fields that name a parameter. The field is the location of the parameter, and its value is the name of the parameter.
const (
	locationPath   = "path"
	locationQuery  = "query"
	locationHeader = "header"
	locationBody   = "body"
)
