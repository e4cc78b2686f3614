package zonehealth

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// detectorWithBothZonesUp returns a detector to which zones a and b have just responded.
func detectorWithBothZonesUp() *Detector {
	detector := New(DefaultSettings)
	detector.ObserveResponse("a", 0)
	detector.ObserveResponse("b", 0)
	return detector
}

func isDown(detector *Detector, name string, now time.Duration) bool {
	d, _ := detector.Evaluate(name, now)
	return d
}

// evidenceCases are observations of zone a, and whether the zone is down by them.
var evidenceCases = []struct {
	name    string
	observe func(detector *Detector)
	want    bool
}{
	{"two servers fail", func(detector *Detector) {
		detector.ObserveFailure("a", 1, 100*ms, 400*ms)
		detector.ObserveFailure("a", 2, 200*ms, 450*ms)
	}, true},
	{"two long waits", func(detector *Detector) {
		detector.ObserveSlowAttempt("a", 1, 100*ms, 400*ms)
		detector.ObserveSlowAttempt("a", 2, 200*ms, 450*ms)
	}, true},
	{"one server fails, however often", func(detector *Detector) {
		for i := range 20 {
			detector.ObserveFailure("a", 1, 100*ms, 400*ms+time.Duration(i))
			detector.ObserveSlowAttempt("a", 1, 100*ms, 400*ms+time.Duration(i))
		}
	}, false},
	{"one fails and a peer reports another", func(detector *Detector) {
		detector.ObserveFailure("a", 1, 100*ms, 400*ms)
		detector.ObservePeerFailure("a", 2, 7, 450*ms)
	}, true},
	{"one peer names all servers", func(detector *Detector) {
		for i := range uint64(20) {
			detector.ObservePeerFailure("a", i, 7, 400*ms)
		}
	}, false},
	{"three peers, a response half a second ago", func(detector *Detector) {
		for i := range 3 {
			detector.ObservePeerFailure("a", uint64(i), i, 400*ms)
		}
	}, false},
	{"the zone responded since", func(detector *Detector) {
		detector.ObserveFailure("a", 1, 100*ms, 400*ms)
		detector.ObserveResponse("a", 410*ms)
		detector.ObserveFailure("a", 2, 200*ms, 450*ms)
	}, false},
	{"responded an instant ago", func(detector *Detector) {
		detector.ObserveResponse("a", 380*ms)
		detector.ObserveFailure("a", 1, 381*ms, 400*ms)
		detector.ObserveFailure("a", 2, 381*ms, 400*ms)
	}, false},
}

func TestEvidenceForDown(t *testing.T) {
	for _, c := range evidenceCases {
		t.Run(c.name, func(t *testing.T) {
			detector := detectorWithBothZonesUp()
			detector.ObserveResponse("b", 390*ms)
			if c.observe(detector); isDown(detector, "a", 500*ms) != c.want {
				t.Errorf("zone a is down: got %v, want the opposite", !c.want)
			}
			if isDown(detector, "b", 500*ms) {
				t.Error("zone b is down although only zone a failed")
			}
		})
	}
}

// If no zone responds, the node itself is cut off, and no zone is declared down.
func TestNoZoneResponds(t *testing.T) {
	detector := detectorWithBothZonesUp()
	for i := range uint64(5) {
		detector.ObserveFailure("a", i, 100*ms, 500*ms)
		detector.ObserveFailure("b", i, 100*ms, 500*ms)
	}
	if isDown(detector, "a", time.Second) || isDown(detector, "b", time.Second) {
		t.Error("a zone is down although no zone responds to the node")
	}
}

// Peers' reports alone suffice if the zone has been silent for a second. Evidence older than its TTL is ignored.
func TestPeerReportsAndEvidenceTTL(t *testing.T) {
	detector := detectorWithBothZonesUp()
	detector.ObserveResponse("b", 1400*ms)
	for i := range 3 {
		detector.ObservePeerFailure("a", uint64(i), i, 1200*ms)
	}
	if !isDown(detector, "a", 1500*ms) {
		t.Error("zone a is not down after three peers' reports and a second of silence")
	}
	detector = detectorWithBothZonesUp()
	detector.ObserveFailure("a", 1, 100*ms, 400*ms)
	detector.ObserveResponse("b", 4*time.Second)
	detector.ObserveFailure("a", 2, 3900*ms, 4*time.Second)
	if isDown(detector, "a", 4*time.Second) {
		t.Error("zone a is down by evidence that is older than its TTL")
	}
}

// downDetector returns a detector that has just declared zone a down.
func downDetector(t *testing.T) *Detector {
	t.Helper()
	detector := detectorWithBothZonesUp()
	detector.ObserveResponse("b", 400*ms)
	detector.ObserveFailure("a", 1, 100*ms, 400*ms)
	detector.ObserveFailure("a", 2, 100*ms, 400*ms)
	if down, isNew := detector.Evaluate("a", 500*ms); !down || !isNew {
		t.Fatal("the first evaluation did not detect that zone a is down")
	}
	if down, isNew := detector.Evaluate("a", 600*ms); !down || isNew {
		t.Fatal("the second evaluation reported zone a as up or as newly down")
	}
	return detector
}

func TestResponseEndsOutage(t *testing.T) {
	detector := downDetector(t)
	if detector.ObserveResponse("a", 10*time.Second); isDown(detector, "a", 10*time.Second) {
		t.Error("a response from zone a did not end the outage")
	}
	detector.ObserveResponse("b", 10400*ms)
	detector.ObserveFailure("a", 1, 9*time.Second, 10400*ms)
	detector.ObserveFailure("a", 2, 9*time.Second, 10400*ms)
	if isDown(detector, "a", 10500*ms) {
		t.Error("zone a is down by attempts that were sent before its last response")
	}
}

func TestTwoPeersEndOutage(t *testing.T) {
	detector := downDetector(t)
	detector.ObservePeerResponse("a", 3, time.Second)
	detector.ObservePeerResponse("a", 4, time.Second)
	if !isDown(detector, "a", time.Second) {
		t.Error("peers' reports within EvidenceTTL of the outage's start ended it")
	}
	detector.ObservePeerResponse("a", 3, 5*time.Second)
	detector.ObservePeerResponse("a", 3, 5*time.Second)
	if !isDown(detector, "a", 5*time.Second) {
		t.Error("reports of a single peer ended the outage")
	}
	if detector.ObservePeerResponse("a", 4, 5*time.Second); isDown(detector, "a", 5*time.Second) {
		t.Error("reports of two peers did not end the outage")
	}
}

func TestRetainZones(t *testing.T) {
	detector := downDetector(t)
	detector.ObservePeerResponse("nobody", 4, 5*time.Second)
	detector.RetainZones(map[string]bool{"b": false})
	if len(detector.zones) != 1 {
		t.Errorf("zones retained: got %d, want 1", len(detector.zones))
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	detector := detectorWithBothZonesUp()
	for i := range uint64(1000) {
		detector.ObserveFailure("a", i, 100*ms, 400*ms)
	}
	if n := len(detector.zones["a"].evidence); n > maxEvidence {
		t.Errorf("%d pieces of evidence are kept, want at most maxEvidence", n)
	}
}
