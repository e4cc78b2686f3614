package zonehealth

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// well returns a watch that has just heard both groups.
func well() *Detector {
	w := New(DefaultSettings)
	w.ObserveResponse("a", 0)
	w.ObserveResponse("b", 0)
	return w
}

func down(w *Detector, name string, now time.Duration) bool {
	d, _ := w.Evaluate(name, now)
	return d
}

func TestWhatItTakes(t *testing.T) {
	for _, c := range []struct {
		name string
		meet func(w *Detector)
		want bool
	}{
		{"two servers fail", func(w *Detector) { w.ObserveFailure("a", 1, 100*ms, 400*ms); w.ObserveFailure("a", 2, 200*ms, 450*ms) }, true},
		{"two long waits", func(w *Detector) {
			w.ObserveSlowAttempt("a", 1, 100*ms, 400*ms)
			w.ObserveSlowAttempt("a", 2, 200*ms, 450*ms)
		}, true},
		{"one server fails, however often", func(w *Detector) {
			for i := range 20 {
				w.ObserveFailure("a", 1, 100*ms, 400*ms+time.Duration(i))
				w.ObserveSlowAttempt("a", 1, 100*ms, 400*ms+time.Duration(i))
			}
		}, false},
		{"one fails and a peer found another", func(w *Detector) { w.ObserveFailure("a", 1, 100*ms, 400*ms); w.ObservePeerFailure("a", 2, 7, 450*ms) }, true},
		{"one peer names all servers", func(w *Detector) {
			for i := range uint64(20) {
				w.ObservePeerFailure("a", i, 7, 400*ms)
			}
		}, false},
		{"three peers, heard half a second ago", func(w *Detector) {
			for i := range 3 {
				w.ObservePeerFailure("a", uint64(i), i, 400*ms)
			}
		}, false},
		{"it was heard since", func(w *Detector) {
			w.ObserveFailure("a", 1, 100*ms, 400*ms)
			w.ObserveResponse("a", 410*ms)
			w.ObserveFailure("a", 2, 200*ms, 450*ms)
		}, false},
		{"heard an instant ago", func(w *Detector) {
			w.ObserveResponse("a", 380*ms)
			w.ObserveFailure("a", 1, 381*ms, 400*ms)
			w.ObserveFailure("a", 2, 381*ms, 400*ms)
		}, false},
	} {
		w := well()
		w.ObserveResponse("b", 390*ms)
		if c.meet(w); down(w, "a", 500*ms) != c.want {
			t.Errorf("%s: down %v", c.name, !c.want)
		}
		if down(w, "b", 500*ms) {
			t.Errorf("%s: the other is down", c.name)
		}
	}
}

// A node that hears nobody is cut off itself.
func TestNobodyHeard(t *testing.T) {
	w := well()
	for i := range uint64(5) {
		w.ObserveFailure("a", i, 100*ms, 500*ms)
		w.ObserveFailure("b", i, 100*ms, 500*ms)
	}
	if down(w, "a", time.Second) || down(w, "b", time.Second) {
		t.Error("a group is down for a node that hears nobody")
	}
}

// Peers alone do it where nothing was heard for a second; old evidence counts for nothing.
func TestPeersAndAge(t *testing.T) {
	w := well()
	w.ObserveResponse("b", 1400*ms)
	for i := range 3 {
		w.ObservePeerFailure("a", uint64(i), i, 1200*ms)
	}
	if !down(w, "a", 1500*ms) {
		t.Error("three peers count for nothing")
	}
	w = well()
	w.ObserveFailure("a", 1, 100*ms, 400*ms)
	w.ObserveResponse("b", 4*time.Second)
	w.ObserveFailure("a", 2, 3900*ms, 4*time.Second)
	if down(w, "a", 4*time.Second) {
		t.Error("evidence counts for longer than it lasts")
	}
}

func TestItsEnd(t *testing.T) {
	fall := func() *Detector {
		w := well()
		w.ObserveResponse("b", 400*ms)
		w.ObserveFailure("a", 1, 100*ms, 400*ms)
		w.ObserveFailure("a", 2, 100*ms, 400*ms)
		if d, found := w.Evaluate("a", 500*ms); !d || !found {
			t.Fatal("not found")
		}
		if d, found := w.Evaluate("a", 600*ms); !d || found {
			t.Fatal("found twice")
		}
		return w
	}
	w := fall()
	if w.ObserveResponse("a", 10*time.Second); down(w, "a", 10*time.Second) {
		t.Error("an answer does not end it")
	}
	w.ObserveResponse("b", 10400*ms)
	w.ObserveFailure("a", 1, 9*time.Second, 10400*ms)
	w.ObserveFailure("a", 2, 9*time.Second, 10400*ms)
	if down(w, "a", 10500*ms) {
		t.Error("what was sent before it was heard counts")
	}
	w = fall()
	w.ObservePeerResponse("a", 3, time.Second)
	w.ObservePeerResponse("a", 4, time.Second)
	if !down(w, "a", time.Second) {
		t.Error("what peers met before ends it")
	}
	w.ObservePeerResponse("a", 3, 5*time.Second)
	w.ObservePeerResponse("a", 3, 5*time.Second)
	if !down(w, "a", 5*time.Second) {
		t.Error("one peer ends it")
	}
	if w.ObservePeerResponse("a", 4, 5*time.Second); down(w, "a", 5*time.Second) {
		t.Error("two peers don't end it")
	}
	w.ObservePeerResponse("nobody", 4, 5*time.Second)
	w.RetainZones(map[string]bool{"b": false})
	if len(w.groups) != 1 {
		t.Errorf("%d groups kept", len(w.groups))
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	w := well()
	for i := range uint64(1000) {
		w.ObserveFailure("a", i, 100*ms, 400*ms)
	}
	if n := len(w.groups["a"].evidence); n > evidenceMost {
		t.Errorf("%d pieces of evidence", n)
	}
}

// A node sends each of two halls two requests a second, to nine servers each, and an answer takes 0.2 s on average; then one hall goes. It is found
// within a second or so. In the minute before, with one server of nine silent, there are few false alarms, and each is over at the next answer.
func TestAHallGoes(t *testing.T) {
	var found []time.Duration
	alarms, wrong := 0, time.Duration(0)
	const hours = 40
	for seed := range uint64(hours) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := well()
		type attempt struct {
			hall    string
			server  uint64
			at, end time.Duration // end 0: never
		}
		var out []attempt
		const gone = 60 * time.Second
		at := time.Duration(-1)
		for now := time.Duration(0); now < gone+10*time.Second; now += 10 * ms {
			for h, hall := range []string{"a", "b"} {
				if r.IntN(50) > 0 {
					continue
				}
				a := attempt{hall: hall, server: uint64(h*9 + r.IntN(9)), at: now, end: now + time.Duration(r.ExpFloat64()*200)*ms}
				if a.server == 4 || hall == "a" && now >= gone {
					a.end = 0
				}
				out = append(out, a)
			}
			out = slices.DeleteFunc(out, func(a attempt) bool {
				switch {
				case a.hall == "a" && now >= gone && a.end >= gone:
					a.end = 0
				case a.end > 0 && now >= a.end:
					w.ObserveResponse(a.hall, now)
					return true
				}
				if now-a.at >= 800*ms {
					w.ObserveFailure(a.hall, a.server, a.at, now)
					return true
				}
				if now-a.at >= 600*ms {
					w.ObserveSlowAttempt(a.hall, a.server, a.at, now)
				}
				return false
			})
			if now%(100*ms) > 0 {
				continue
			}
			d, f := w.Evaluate("a", now)
			db, fb := w.Evaluate("b", now)
			switch {
			case now < gone:
				alarms += count(f, fb)
				wrong += time.Duration(count(d, db)) * 100 * ms
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
	t.Log(fmt.Sprintf("found after %v in the median, %v at most; in %d minutes %d false alarms, %v in all", found[hours/2], found[hours-1], hours, alarms, wrong))
	if found[hours/2] > 1500*ms || found[hours-1] > 3*time.Second {
		t.Error("found late")
	}
	if alarms > 4*hours || wrong > hours*2*time.Second {
		t.Error("too many false alarms")
	}
}

func count(bs ...bool) (n int) {
	for _, b := range bs {
		if b {
			n++
		}
	}
	return n
}
