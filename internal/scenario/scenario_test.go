package scenario

import (
	"context"
	"testing"
	"time"
)

// Each scenario must keep every rule; among them, the instances count the units that the sites recorded.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		if s.runOnCluster != nil { // needs the gateway program, whose tests run it
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			v, err := Run(context.Background(), Options{Scenario: s.Name, Duration: 4 * time.Second, Seed: 7})
			if err != nil {
				t.Fatal(err)
			}
			if !v.OK || v.Served == 0 || v.UnitsCounted == 0 {
				t.Errorf("rules violated or no requests counted: %+v", v)
			}
		})
	}
}
