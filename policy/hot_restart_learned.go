package policy

import "time"

// latencyState is the exported latency statistics of a class.
type latencyState struct {
	Mean            float64
	Deviation       float64       `json:"Dev"`
	Samples         int           `json:"N"`
	Lowest          []float64     // by index in engineState.Kinds
	FirstTryTimeout time.Duration `json:"Fresh"`
}

func (c *classLatency) export() latencyState {
	state := latencyState{Mean: c.mean, Deviation: c.deviation, Samples: c.samples, FirstTryTimeout: c.firstTryTimeout}
	for _, kind := range c.kinds {
		state.Lowest = append(state.Lowest, kind.lowest)
	}
	return state
}

// restoreClass restores the latency statistics of a class. kinds holds the names of the machine kinds in the order of
// the export, in which saved.Lowest is indexed.
func (t *latencyTable) restoreClass(now time.Duration, class int, saved latencyState, kinds []string) {
	c := &t.classes[class]
	c.mean, c.deviation, c.samples = saved.Mean, saved.Deviation, saved.Samples
	c.firstTryTimeout = saved.FirstTryTimeout
	c.recordedAt = now
	c.kinds = nil
	for k := range min(len(saved.Lowest), len(kinds)) {
		i := t.addKind(kinds[k])
		for len(c.kinds) <= i {
			c.kinds = append(c.kinds, kindLatency{})
		}
		c.kinds[i].lowest = saved.Lowest[k]
	}
}

// kindNames returns the names of the machine kinds, by index.
func (t *latencyTable) kindNames() []string {
	names := make([]string, len(t.kindIndex))
	for name, i := range t.kindIndex {
		names[i] = name
	}
	return names
}

// restoreKinds restores the latency ratios of the machine kinds.
func (t *latencyTable) restoreKinds(state *engineState) {
	for k, name := range state.Kinds {
		if k < len(state.KindRatios) && k < len(state.KindSamples) {
			*t.kindRatios[t.addKind(name)] = kindRatio{state.KindRatios[k], state.KindSamples[k]}
		}
	}
}

// savedServer is the exported state of a server. It is copied field by field, so that the engine's types can change
// while the encoding stays.
type savedServer struct {
	ID                   string
	StartedAt            time.Duration   `json:"Boot"`
	LastProgressAt       time.Duration   `json:"Seen"`
	EjectedUntil         time.Duration   `json:"Ejected"`
	BudgetUpdatedAt      time.Duration   `json:"Credited"`
	ConnectFailedAt      time.Duration   `json:"Broke"`
	ConnectFailures      []time.Duration `json:"Breaks"`
	LastHeardAt          time.Duration   `json:"Heard"`
	LastHealthCheckAt    time.Duration   `json:"Probed"`
	LatencyRatio         float64         `json:"Lat"`
	FailureRate          float64         `json:"Errs"`
	QueueLength          float64         `json:"Queue"`
	WarmupBudget         float64         `json:"Credit"`
	ConsecutiveEjections int             `json:"Strikes"`
	IsUnresponsive       bool            `json:"Lost"`
}

func (s *server) export() savedServer {
	return savedServer{
		ID:                   s.ID,
		StartedAt:            s.StartedAt,
		LastProgressAt:       s.lastProgressAt,
		EjectedUntil:         s.ejectedUntil,
		BudgetUpdatedAt:      s.warmup.updatedAt,
		ConnectFailedAt:      s.connectFailedAt,
		ConnectFailures:      s.connectFailures,
		LastHeardAt:          s.lastResponseAt,
		LastHealthCheckAt:    s.lastHealthCheckAt,
		LatencyRatio:         s.latencyRatio,
		FailureRate:          s.failureRate,
		QueueLength:          s.queueLength,
		WarmupBudget:         s.warmup.work,
		ConsecutiveEjections: s.consecutiveEjections,
		IsUnresponsive:       s.isUnresponsive,
	}
}

// restore restores the statistics of the server. They must be those of the server process that is running now.
func (s *server) restore(saved savedServer, now time.Duration) {
	s.lastProgressAt = saved.LastProgressAt
	s.ejectedUntil = saved.EjectedUntil
	s.warmup.updatedAt = min(saved.BudgetUpdatedAt, now)
	s.connectFailedAt, s.connectFailures = saved.ConnectFailedAt, saved.ConnectFailures
	s.lastResponseAt, s.lastHealthCheckAt = saved.LastHeardAt, saved.LastHealthCheckAt
	s.latencyRatio, s.failureRate = saved.LatencyRatio, saved.FailureRate
	s.queueLength = saved.QueueLength
	s.warmup.work = saved.WarmupBudget
	s.consecutiveEjections = saved.ConsecutiveEjections
	s.isUnresponsive = saved.IsUnresponsive
}
