package policy

import (
	"errors"
	"fmt"
)

// validate returns an error that names the first field that can't be.
func (s *Settings) validate() error {
	switch {
	case s.Instances < 1:
		return errors.New("Instances is below 1")
	case s.Me < 0 || s.Me >= s.Instances:
		return errors.New("Me is outside Instances")
	case len(s.Classes) == 0:
		return errors.New("Classes is empty")
	case s.ColdFrom < 0 || s.ColdFrom > 1 || s.FallMultiple < 0 || s.RampTime < 0 || s.OverloadFor < 0:
		return errors.New("ColdFrom, FallMultiple, RampTime or OverloadFor is out of range")
	case s.MaxAttempts < 0 || s.InboxPerS < 0 || s.Tick < 0 || s.DrainGrace < 0:
		return errors.New("MaxAttempts, InboxPerS, Tick or DrainGrace is negative")
	}
	names := map[string]bool{}
	for _, c := range s.Classes {
		if names[c.Name] {
			return fmt.Errorf("Classes: %q stands twice", c.Name)
		}
		if names[c.Name] = true; c.Aim < 0 || c.Deadline < 0 || c.Window < 0 || c.Worth < 0 {
			return fmt.Errorf("Classes: %q has a negative figure", c.Name)
		}
	}
	names = map[string]bool{}
	for _, p := range s.Plans {
		if names[p.Name] {
			return fmt.Errorf("Plans: %q stands twice", p.Name)
		}
		names[p.Name] = true
		if p.Rate < 0 || p.Burst < 0 || p.Open < 0 || p.CeilingRate < 0 || p.CeilingBurst < 0 || p.CeilingSlack < 0 {
			return fmt.Errorf("Plans: %q has a negative figure", p.Name)
		}
	}
	return nil
}

// ColdMultiple is the multiple of what a cold server can take that gateways together send it at the most.
func (s *Settings) ColdMultiple() float64 { return coldShare * s.FallMultiple }
