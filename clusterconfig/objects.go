package clusterconfig

// Plan contains the quotas of a customer plan. Its fields have the meaning of those of Plan in package policy. Rates
// are in units per second, bursts and slack in units.
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

// Licensee is a licensed customer, named by the object's name. The named plan contains its quotas.
type Licensee struct {
	Plan string `json:"plan"`
}

// Site is a site with its servers.
type Site struct {
	DiscoveryAddress string `json:"register"`         // IP address and port of the site's service discovery
	IsClosed         bool   `json:"closed,omitempty"` // the site owns no keys; other sites own them
}

// LostSite records the committed loss of the site of the same name. Until the record is removed, the site owns no keys
// or, while it recovers, only a part of its keys. Instances put and remove the record (see package multisite).
type LostSite struct {
	Reason           string `json:"why"`
	RecoveredEighths int    `json:"part,omitempty"` // eighths of the site's keys that it owns again
}

// Class is a class of requests: its priority, and the durations in milliseconds for operations that declare none.
type Class struct {
	Name               string  `json:"name,omitempty"` // name of the object; must be empty in a put
	PriorityWeight     float64 `json:"worth"`
	LateFraction       float64 `json:"late,omitempty"` // part of the weight for responses after the latency objective
	LatencyObjectiveMs int64   `json:"aim_ms"`
	DeadlineMs         int64   `json:"deadline_ms"`
}

// Member contains the addresses, with ports, of a gateway instance that is a voting member of the cluster.
type Member struct {
	RaftAddress  string `json:"raft"`  // address for the other members
	AdminAddress string `json:"admin"` // address for operators
}

// Follower is an instance that is not a member and receives the configuration as a stream (see package configstream).
// The object's name is the name in the follower's certificate.
type Follower struct {
	Note          string `json:"note,omitempty"` // free text for operators
	PinnedVersion uint64 `json:"pin,omitempty"`  // version that the follower has to keep; 0 for the newest
}

// Epoch identifies a control service. After a restore or a replacement of the service, version numbers start lower
// again; the new epoch distinguishes the new versions from old ones that arrive late. Later epochs have higher numbers,
// and no two services have the same ID. The only object of this kind is named "epoch".
type Epoch struct {
	Number uint64 `json:"number"`
	ID     string `json:"id"`
}

// Limit is the maximum that one request may consume. The only known limit is named "units".
type Limit struct {
	Max int `json:"most"`
}

// Description is an OpenAPI description.
type Description struct {
	File string `json:"file"`
	Text string `json:"text"`
}
