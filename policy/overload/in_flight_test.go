package overload

import "testing"

func TestIsOverBound(t *testing.T) {
	// 100 responses per second and a queue time of 0.1 s give a bound of 10; 4 servers and 2 nodes a lower limit of 4.
	busy := Load{Servers: 4, InstanceCount: 2, ResponseRate: 100}
	quiet := Load{Servers: 4, InstanceCount: 2, ResponseRate: 50}
	with := func(l Load, inFlight, fleetInFlight, fleetRate float64) Load {
		l.InFlight, l.FleetInFlight, l.FleetResponseRate = inFlight, fleetInFlight, fleetRate
		l.HasFleetMeans = fleetRate > 0
		return l
	}
	for _, c := range []struct {
		name string
		load Load
		want bool
	}{
		{"below the bound", with(busy, 9, 0, 0), false},
		{"at the bound", with(busy, 10, 0, 0), true},
		{"no response yet: the floor", with(Load{Servers: 4, InstanceCount: 2}, 4, 0, 0), true},
		{"below the floor", with(Load{Servers: 4, InstanceCount: 2}, 3, 0, 0), false},
		{"few in flight, the fleet is calm", with(quiet, 5, 1, 50), false},
		{"few in flight, the fleet is over its bound too", with(quiet, 5, 5, 50), true},
		{"three times the bound is no chance", with(quiet, 15, 1, 50), true},
		{"many in flight: the node's own figures suffice", with(busy, 10, 0, 100), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.load.IsOverBound(0.1); got != c.want {
				t.Errorf("got over the bound %v, want %v", got, c.want)
			}
		})
	}
}

// Requests of low value are rejected earlier than those of high value.
func TestQueueTimeGrowsWithValue(t *testing.T) {
	if low, high := QueueTime(1, 0), QueueTime(1, 1); low != 0.15 || high != 0.3 {
		t.Errorf("got queue times of %v s for the lowest and %v s for the highest value, want 0.15 and 0.3", low, high)
	}
}
