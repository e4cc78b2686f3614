package overload

import "testing"

// Full occupancy lowers f, and low occupancy raises it to 1 again.
func TestAdmitFractionFollowsOccupancy(t *testing.T) {
	var c Controller
	c.Start()
	for range 50 {
		for range 10 {
			c.CountAccepted()
		}
		c.AddReading(1)
		c.CloseSample(0, 0)
	}
	if c.admitFraction > 0.9 {
		t.Errorf("got f = %v after 5 s at occupancy 1, want at most 0.9", c.admitFraction)
	}
	low := c.admitFraction
	for range 50 {
		c.AddReading(0.3)
		c.CloseSample(0, 0)
	}
	if c.admitFraction != 1 || low < minAdmitFraction {
		t.Errorf("got f = %v after 5 s at low occupancy and %v before, want 1 and at least fmin", c.admitFraction, low)
	}
}

// The throttle admits the fraction f of the requests, evenly.
func TestThrottleIsEven(t *testing.T) {
	c := Controller{admitFraction: 0.25}
	for i := 1; i <= 20; i++ {
		if got, want := c.Admit(), i%4 == 0; got != want {
			t.Errorf("request %d: got admitted %v, want %v", i, got, want)
		}
	}
}

// Requests beyond quotas are admitted while occupancy is low and no requests are throttled.
func TestHasSpareCapacity(t *testing.T) {
	for _, c := range []struct {
		name           string
		controller     Controller
		usesAllServers bool
		want           bool
	}{
		{"little occupied", Controller{admitFraction: 1, occupancy: 0.49}, true, true},
		{"half occupied", Controller{admitFraction: 1, occupancy: 0.5}, true, false},
		{"half occupied, with a subset", Controller{admitFraction: 1, occupancy: 0.5}, false, true},
		{"highly occupied, with a subset", Controller{admitFraction: 1, occupancy: 0.7}, false, false},
		{"others are throttled", Controller{admitFraction: 0.9, occupancy: 0.3}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.controller.HasSpareCapacity(c.usesAllServers); got != c.want {
				t.Errorf("got spare capacity %v, want %v", got, c.want)
			}
		})
	}
}

// An instance that has just started sends no means of its own.
func TestMeansAreSharedAfterTwoSeconds(t *testing.T) {
	var c Controller
	for i := range minMeanSamples {
		if c.HasMeansToShare() {
			t.Fatalf("got means to share after %d samples, want none", i)
		}
		c.CloseSample(1, 1)
	}
	if !c.HasMeansToShare() || c.hasPeerMeans {
		t.Error("got no own means to share after two seconds")
	}
}

func TestReceiveMeans(t *testing.T) {
	means := Means{0.5, 1, 2, 0.75, 1.25}
	for _, c := range []struct {
		name     string
		own      Controller
		received Means
		want     Means
	}{
		{"the first of a peer replace own ones", Controller{fleetMeans: Means{9, 9, 9, 9, 9}}, means, means},
		{"zeros are ignored", Controller{fleetMeans: means, hasPeerMeans: true}, Means{}, means},
		{"later ones are averaged", Controller{hasPeerMeans: true}, Means{10, 0, 0, 0, 0}, Means{3, 0, 0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.own.ReceiveMeans(c.received)
			if got := c.own.FleetMeans(); got != c.want {
				t.Errorf("got means %v, want %v", got, c.want)
			}
		})
	}
}

// A successor continues with the admit fraction of its predecessor, clamped to its range.
func TestRestore(t *testing.T) {
	for _, c := range []struct {
		name        string
		saved, want float64
	}{
		{"as it was", 0.5, 0.5}, {"too low", 0, minAdmitFraction}, {"too high", 7, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var restored Controller
			restored.Restore(State{AdmitFraction: c.saved, SampleCount: -1})
			if got := restored.AdmitFraction(); got != c.want {
				t.Errorf("got f = %v, want %v", got, c.want)
			}
			restored.CloseSample(0, 0) // would panic with a negative sample count
		})
	}
}
