package clusterconfig

// Kinds of objects. Each is the kind of one type of this file.
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

// Names of objects of kinds that have just one.
const (
	epochName      = "epoch"
	unitsLimitName = "units"
)

// Plan is the quotas of a tariff. Rates are in units a second, bursts and slack in units.
type Plan struct {
	Rate              float64 `json:"rate"`
	Burst             float64 `json:"burst"`
	HardLimitRate     float64 `json:"ceiling_rate,omitempty"`
	HardLimitBurst    float64 `json:"ceiling_burst,omitempty"`
	HardLimitSlack    float64 `json:"ceiling_slack,omitempty"`
	MaxInFlight       int     `json:"open,omitempty"`
	PriorityFactor    float64 `json:"price"`
	OverQuotaFraction float64 `json:"over_worth,omitempty"`
	OverQuotaCost     float64 `json:"over_cost,omitempty"`
}

// Licensee is a licensed provider.
type Licensee struct {
	Plan string `json:"plan"`
}

// Site is a site's servers.
type Site struct {
	DiscoveryAddress string `json:"register"`         // host and port of its service discovery
	IsClosed         bool   `json:"closed,omitempty"` // requests with keys are owned by other sites
}

// LostSite records that the instances agree to have lost the site of that name: it owns no keys until the record is
// removed. A recovering site owns a part of its keys. Instances put and remove it (see package multisite).
type LostSite struct {
	Reason           string `json:"why"`
	RecoveredEighths int    `json:"part,omitempty"` // eighths of its keys that it owns
}

// Class is the priority of a class of requests, and the durations of operations that declare none, in milliseconds.
type Class struct {
	Name               string  `json:"name,omitempty"` // that of its object; not part of a put
	PriorityWeight     float64 `json:"worth"`
	LateFraction       float64 `json:"late,omitempty"` // of the weight, earned by answers after the objective
	LatencyObjectiveMs int64   `json:"aim_ms"`
	DeadlineMs         int64   `json:"deadline_ms"`
}

// Member is the addresses of a gateway instance that is a voting member of the cluster. Both have a port.
type Member struct {
	RaftAddress  string `json:"raft"`  // for the other members
	AdminAddress string `json:"admin"` // for operators
}

// Follower is an instance that is no member and receives the configuration as a stream (see package configstream).
// Its name is that in its certificate.
type Follower struct {
	Note          string `json:"note,omitempty"` // for operators
	PinnedVersion uint64 `json:"pin,omitempty"`  // the version that it is to stay at; 0: the newest
}

// Epoch distinguishes versions of a control service that was restored or replaced, and whose version numbers went
// back, from versions that arrive late: a later epoch has a higher number, and no two services have the same id. The
// one object of the kind is called "epoch".
type Epoch struct {
	Number uint64 `json:"number"`
	ID     string `json:"id"`
}

// Limit bounds what one request may ask for. The one that is known is called "units".
type Limit struct {
	Max int `json:"most"`
}

// Description is an OpenAPI description.
type Description struct {
	File string `json:"file"`
	Text string `json:"text"`
}
