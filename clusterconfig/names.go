package clusterconfig

// This file maps terms of the code to the names that operators write and read: kinds of objects, operations, and the
// fields that rejection reasons mention. The names are part of log entries, snapshots and stored rejections and must
// not change. The tags in objects.go use the same field names.

// Kinds of objects, one for each type in objects.go.
const (
	KindPlan        = "plan"
	KindLicensee    = "licensee"
	KindSite        = "hall"
	KindLostSite    = "lost"
	KindClass       = "class"
	KindMember      = "member"
	KindFollower    = "follower"
	KindEpoch       = "epoch"
	KindLimit       = "limit"
	KindDescription = "description"
)

// Object names of the kinds that have only one object.
const (
	epochName      = "epoch"
	unitsLimitName = "units"
)

// Operations of a [Change].
const (
	OpPut    = "put"
	OpRemove = "remove"
)

// FieldDiscoveryAddress is the field of a [Site] with the address of its service discovery.
const FieldDiscoveryAddress = "register"

// Fields of a [Plan].
const (
	fieldRate              = "rate"
	fieldBurst             = "burst"
	fieldHardLimitRate     = "ceiling_rate"
	fieldHardLimitBurst    = "ceiling_burst"
	fieldHardLimitSlack    = "ceiling_slack"
	fieldMaxInFlight       = "open"
	fieldPriorityFactor    = "price"
	fieldOverQuotaFraction = "over_worth"
	fieldOverQuotaCost     = "over_cost"
)

// Fields of the other types, as far as rejection reasons mention them.
const (
	fieldLossReason       = "why"
	fieldRecoveredEighths = "part"
	fieldPriorityWeight   = "worth"
	fieldLateFraction     = "late"
	fieldLatencyObjective = "aim_ms"
	fieldDeadline         = "deadline_ms"
	fieldRaftAddress      = "raft"
	fieldAdminAddress     = "admin"
	fieldLimitMax         = "most"
)
