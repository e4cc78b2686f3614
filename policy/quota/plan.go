package quota

// Plan describes the quota that each customer of one plan has over all instances together. The JSON keys are stored and
// must not change.
type Plan struct {
	Name              string
	Rate              float64 // units per second; 0 means no limit on the rate
	Burst             float64 // units that the quota's bucket holds
	MaxInFlight       int     `json:"Open"`         // maximum number of attempts in flight; 0 means no limit
	HardLimitRate     float64 `json:"CeilingRate"`  // units per second; 0 means no hard limit
	HardLimitBurst    float64 `json:"CeilingBurst"` // units that the hard limit's bucket holds
	HardLimitSlack    float64 `json:"CeilingSlack"` // units by which the hard limit may be exceeded
	PriorityFactor    float64 `json:"Price"`        // factor of the priority weight
	OverQuotaFraction float64 `json:"OverWorth"`    // fraction of the weight earned by a request beyond the quota
	OverQuotaCost     float64 `json:"OverCost"`     // fraction of the weight charged for each attempt beyond the quota
}
