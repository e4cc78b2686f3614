package policy

import (
	"errors"
	"fmt"
)

// validate returns an error that names the first field that can't be.
func (s *Settings) validate() error {
	switch {
	case s.InstanceCount < 1:
		return errors.New("Instances is below 1")
	case s.InstanceIndex < 0 || s.InstanceIndex >= s.InstanceCount:
		return errors.New("Me is outside Instances")
	case len(s.Classes) == 0:
		return errors.New("Classes is empty")
	case s.SlowStartMinFraction < 0 || s.SlowStartMinFraction > 1 || s.ColdOverloadMultiple < 0 || s.SlowStartWindow < 0 || s.ColdOverloadWindow < 0:
		return errors.New("ColdFrom, FallMultiple, RampTime or OverloadFor is out of range")
	case s.MaxAttempts < 0 || s.GossipInboxRate < 0 || s.MinEventInterval < 0 || s.DrainGracePeriod < 0:
		return errors.New("MaxAttempts, InboxPerS, Tick or DrainGrace is negative")
	}
	names := map[string]bool{}
	for _, c := range s.Classes {
		if names[c.Name] {
			return fmt.Errorf("Classes: %q stands twice", c.Name)
		}
		if names[c.Name] = true; c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 || c.PriorityWeight < 0 {
			return fmt.Errorf("Classes: %q has a negative figure", c.Name)
		}
	}
	names = map[string]bool{}
	for _, p := range s.Plans {
		if names[p.Name] {
			return fmt.Errorf("Plans: %q stands twice", p.Name)
		}
		names[p.Name] = true
		if p.Rate < 0 || p.Burst < 0 || p.MaxInFlight < 0 || p.HardLimitRate < 0 || p.HardLimitBurst < 0 || p.HardLimitSlack < 0 {
			return fmt.Errorf("Plans: %q has a negative figure", p.Name)
		}
	}
	return nil
}

// ColdBudgetMultiple is the multiple of what a cold server can take that gateways together send it at the most.
func (s *Settings) ColdBudgetMultiple() float64 { return coldBudgetFraction * s.ColdOverloadMultiple }
