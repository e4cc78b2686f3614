package zonehealth

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simulationStep     = 10 * ms
	evaluationPeriod   = 100 * ms
	outageAt           = 60 * time.Second
	simulationEnd      = outageAt + 10*time.Second
	serversPerZone     = 9
	unresponsiveServer = 4 // a server of zone a that never responds
	meanLatencyMillis  = 200
	slowAfter          = 600 * ms
	failsAfter         = 800 * ms
)

// A node sends two requests a second to each of two zones of nine servers, and a response takes 0.2 s on average. Then
// one zone fails, which must be detected within a second or so. In the minute before, with one server of nine
// unresponsive, there must be few false alarms, and each must end at the next response.
func TestZoneOutageIsDetected(t *testing.T) {
	var delays []time.Duration
	falseAlarms, falseTime := 0, time.Duration(0)
	const minutes = 40 // of simulated time before the outages
	for seed := range uint64(minutes) {
		s := newSimulation(seed)
		s.run()
		if s.detectionDelay < 0 {
			t.Fatalf("seed %d: the outage was not detected", seed)
		}
		delays = append(delays, s.detectionDelay)
		falseAlarms += s.falseAlarms
		falseTime += s.falseDownTime
	}
	slices.Sort(delays)
	t.Logf("detected after %v in the median, %v at most; in %d minutes %d false alarms, %v in all",
		delays[minutes/2], delays[minutes-1], minutes, falseAlarms, falseTime)
	if delays[minutes/2] > 1500*ms || delays[minutes-1] > 3*time.Second {
		t.Error("outages were detected too late: want a median of at most 1.5s and a maximum of 3s")
	}
	if falseAlarms > 4*minutes || falseTime > minutes*2*time.Second {
		t.Error("too many or too long false alarms: want at most 4 and 2s per simulated minute")
	}
}

// simulatedAttempt is one request of the simulated node.
type simulatedAttempt struct {
	zone        string
	server      uint64
	sentAt      time.Duration
	respondedAt time.Duration // 0 if there is no response
}

// simulation simulates a node before and during an outage of zone a.
type simulation struct {
	rng      *rand.Rand
	detector *Detector
	inFlight []simulatedAttempt

	detectionDelay time.Duration // from the start of the outage to its detection; negative if not detected
	falseAlarms    int           // number of detections before the outage
	falseDownTime  time.Duration // time for which zones were declared down before the outage
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

// send sends two requests a second to each zone on average.
func (s *simulation) send(now time.Duration) {
	for i, zone := range []string{"a", "b"} {
		if s.rng.IntN(50) > 0 {
			continue
		}
		server := uint64(i*serversPerZone + s.rng.IntN(serversPerZone))
		latency := time.Duration(s.rng.ExpFloat64()*meanLatencyMillis) * ms
		a := simulatedAttempt{zone: zone, server: server, sentAt: now, respondedAt: now + latency}
		if a.server == unresponsiveServer || zone == "a" && now >= outageAt {
			a.respondedAt = 0
		}
		s.inFlight = append(s.inFlight, a)
	}
}

// observe records the state of an attempt in the detector, and reports whether the attempt has ended.
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
		s.falseDownTime += time.Duration(countTrue(isADown, isBDown)) * evaluationPeriod
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
