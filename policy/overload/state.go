package overload

// State is the encoded state of a [Controller], which a process sends to its successor. Its JSON keys are stored and
// must not change.
type State struct {
	AdmitFraction    float64                       `json:"F"`
	ThrottleCredit   float64                       `json:"R"`
	OccupancySums    [samplesPerAssessment]float64 `json:"Occ"`
	OccupancySamples [samplesPerAssessment]float64 `json:"N"`
	Accepted         [samplesPerAssessment]float64 `json:"Sent"`
	SampleCount      int                           `json:"Probes"`
	Occupancy        float64                       `json:"Rho"`
	AcceptanceRate   float64                       `json:"Alpha"`
	MaxThroughput    float64                       `json:"Mu"`
	FleetMeans       Means                         `json:"Pool"`
}

// State returns the controller's state.
func (c *Controller) State() State {
	return State{
		AdmitFraction:    c.admitFraction,
		ThrottleCredit:   c.throttleCredit,
		OccupancySums:    c.occupancySums,
		OccupancySamples: c.occupancySamples,
		Accepted:         c.accepted,
		SampleCount:      c.sampleCount,
		Occupancy:        c.occupancy,
		AcceptanceRate:   c.acceptanceRate,
		MaxThroughput:    c.maxThroughput,
		FleetMeans:       c.fleetMeans,
	}
}

// Restore replaces the controller's state with that of a predecessor. The admit fraction and the sample count are
// clamped to their valid ranges.
func (c *Controller) Restore(saved State) {
	*c = Controller{
		admitFraction:    clampFraction(saved.AdmitFraction),
		throttleCredit:   saved.ThrottleCredit,
		occupancySums:    saved.OccupancySums,
		occupancySamples: saved.OccupancySamples,
		accepted:         saved.Accepted,
		sampleCount:      max(saved.SampleCount, 0),
		occupancy:        saved.Occupancy,
		acceptanceRate:   saved.AcceptanceRate,
		maxThroughput:    saved.MaxThroughput,
		fleetMeans:       saved.FleetMeans,
	}
}
