package zonehealth

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A node sends each of two zones two requests a second, to nine servers each, and an answer takes 0.2 s on
// average; then one zone goes. It is found within a second or so. In the minute before, with one server of
// nine silent, there are few false alarms, and each is over at the next answer.
func TestZoneOutageIsDetected(t *testing.T) {
	var found []time.Duration
	alarms, wrong := 0, time.Duration(0)
	const minutes = 40 // of simulated time before the outages
	for seed := range uint64(minutes) {
		r := rand.New(rand.NewPCG(seed, 1))
		detector := detectorWithBothZonesUp()
		type attempt struct {
			zone    string
			server  uint64
			at, end time.Duration // end 0: never
		}
		var out []attempt
		const gone = 60 * time.Second
		at := time.Duration(-1)
		for now := time.Duration(0); now < gone+10*time.Second; now += 10 * ms {
			for h, zone := range []string{"a", "b"} {
				if r.IntN(50) > 0 {
					continue
				}
				a := attempt{zone: zone, server: uint64(h*9 + r.IntN(9)), at: now, end: now + time.Duration(r.ExpFloat64()*200)*ms}
				if a.server == 4 || zone == "a" && now >= gone {
					a.end = 0
				}
				out = append(out, a)
			}
			out = slices.DeleteFunc(out, func(a attempt) bool {
				switch {
				case a.zone == "a" && now >= gone && a.end >= gone:
					a.end = 0
				case a.end > 0 && now >= a.end:
					detector.ObserveResponse(a.zone, now)
					return true
				}
				if now-a.at >= 800*ms {
					detector.ObserveFailure(a.zone, a.server, a.at, now)
					return true
				}
				if now-a.at >= 600*ms {
					detector.ObserveSlowAttempt(a.zone, a.server, a.at, now)
				}
				return false
			})
			if now%(100*ms) > 0 {
				continue
			}
			d, f := detector.Evaluate("a", now)
			db, fb := detector.Evaluate("b", now)
			switch {
			case now < gone:
				alarms += countTrue(f, fb)
				wrong += time.Duration(countTrue(d, db)) * 100 * ms
			case d && at < 0:
				at = now - gone
			}
		}
		if at < 0 {
			t.Fatalf("seed %d: not found", seed)
		}
		found = append(found, at)
	}
	slices.Sort(found)
	t.Logf("found after %v in the median, %v at most; in %d minutes %d false alarms, %v in all",
		found[minutes/2], found[minutes-1], minutes, alarms, wrong)
	if found[minutes/2] > 1500*ms || found[minutes-1] > 3*time.Second {
		t.Error("found late")
	}
	if alarms > 4*minutes || wrong > minutes*2*time.Second {
		t.Error("too many false alarms")
	}
}

func countTrue(bs ...bool) (n int) {
	for _, b := range bs {
		if b {
			n++
		}
	}
	return n
}
