package zonehealth

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simulationStep    = 10 * ms
	evaluationPeriod  = 100 * ms
	outageAt          = 60 * time.Second
	simulationEnd     = outageAt + 10*time.Second
	serversPerZone    = 9
	unresponsive      = 4 // a server of zone a that never responds
	meanLatencyMillis = 200
	slowAfter         = 600 * ms
	failsAfter        = 800 * ms
)

// A node sends each of two zones two requests a second, to nine servers each, and a response takes 0.2 s on
// average; then one zone fails. It is detected within a second or so. In the minute before, with one server of
// nine unresponsive, there are few false alarms, and each is over at the next response.
func TestZoneOutageIsDetected(t *testing.T) {
	var delays []time.Duration
	falseAlarms, falseTime := 0, time.Duration(0)
	const minutes = 40 // of simulated time before the outages
	for seed := range uint64(minutes) {
		s := newSimulation(seed)
		s.run()
		if s.detectionDelay < 0 {
			t.Fatalf("seed %d: not detected", seed)
		}
		delays = append(delays, s.detectionDelay)
		falseAlarms += s.falseAlarms
		falseTime += s.falseTime
	}
	slices.Sort(delays)
	t.Logf("detected after %v in the median, %v at most; in %d minutes %d false alarms, %v in all",
		delays[minutes/2], delays[minutes-1], minutes, falseAlarms, falseTime)
	if delays[minutes/2] > 1500*ms || delays[minutes-1] > 3*time.Second {
		t.Error("detected late")
	}
	if falseAlarms > 4*minutes || falseTime > minutes*2*time.Second {
		t.Error("too many false alarms")
	}
}

// simulatedAttempt is one request of the simulated node.
type simulatedAttempt struct {
	zone        string
	server      uint64
	sentAt      time.Duration
	respondedAt time.Duration // 0: never
}

// simulation runs a node up to and past an outage of zone a.
type simulation struct {
	rng      *rand.Rand
	detector *Detector
	inFlight []simulatedAttempt

	detectionDelay time.Duration // after the outage; below 0: not detected
	falseAlarms    int           // before the outage
	falseTime      time.Duration // for which a zone was down before the outage
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		detector:       detectorWithBothZonesUp(),
		detectionDelay: -1,
	}
}

func (s *simulation) run() {
	for now := time.Duration(0); now < simulationEnd; now += simulationStep {
		s.send(now)
		s.inFlight = slices.DeleteFunc(s.inFlight, func(a simulatedAttempt) bool { return s.observe(a, now) })
		if now%evaluationPeriod == 0 {
			s.evaluate(now)
		}
	}
}

// send sends each zone two requests a second on average.
func (s *simulation) send(now time.Duration) {
	for i, zone := range []string{"a", "b"} {
		if s.rng.IntN(50) > 0 {
			continue
		}
		server := uint64(i*serversPerZone + s.rng.IntN(serversPerZone))
		latency := time.Duration(s.rng.ExpFloat64()*meanLatencyMillis) * ms
		a := simulatedAttempt{zone: zone, server: server, sentAt: now, respondedAt: now + latency}
		if a.server == unresponsive || zone == "a" && now >= outageAt {
			a.respondedAt = 0
		}
		s.inFlight = append(s.inFlight, a)
	}
}

// observe tells the detector what has become of an attempt, and reports whether it is over.
func (s *simulation) observe(a simulatedAttempt, now time.Duration) bool {
	isCutOff := a.zone == "a" && now >= outageAt && a.respondedAt >= outageAt
	if !isCutOff && a.respondedAt > 0 && now >= a.respondedAt {
		s.detector.ObserveResponse(a.zone, now)
		return true
	}
	if now-a.sentAt >= failsAfter {
		s.detector.ObserveFailure(a.zone, a.server, a.sentAt, now)
		return true
	}
	if now-a.sentAt >= slowAfter {
		s.detector.ObserveSlowAttempt(a.zone, a.server, a.sentAt, now)
	}
	return false
}

func (s *simulation) evaluate(now time.Duration) {
	isADown, isANew := s.detector.Evaluate("a", now)
	isBDown, isBNew := s.detector.Evaluate("b", now)
	switch {
	case now < outageAt:
		s.falseAlarms += countTrue(isANew, isBNew)
		s.falseTime += time.Duration(countTrue(isADown, isBDown)) * evaluationPeriod
	case isADown && s.detectionDelay < 0:
		s.detectionDelay = now - outageAt
	}
}

func countTrue(values ...bool) int {
	count := 0
	for _, v := range values {
		if v {
			count++
		}
	}
	return count
}
