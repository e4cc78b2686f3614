package simwire

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy"
)

func readAll(text string) (events []any, err error) {
	r := NewReader(strings.NewReader(text))
	for {
		ev, err := r.Next()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, ev)
	}
}

const instanceStartedLine = `LAUNCH 3 99 {"instances":2,"me":1,"zone":"z","newKey":[1],"tick":0.004,` +
	`"feedback":{"how":"answers"},` +
	`"lanes":[{"name":"c","idempotency":"dedup","keyScope":"cell","memorySpan":5,"onTime":1,"deadline":4}],` +
	`"tariffs":[{"name":"p","quotaRate":2.5,"peakUnits":7,"maxOut":3}],` +
	`"policyLimits":{"mostTries":3},"rules":{"drainGrace":2}}`

// mustRead reads lines and fails the test unless they contain count events.
func mustRead(t *testing.T, text string, count int) []any {
	t.Helper()
	events, err := readAll(text)
	if err != nil || len(events) != count {
		t.Fatalf("unexpected result of reading: %d events, error %v", len(events), err)
	}
	return events
}

func TestReadClock(t *testing.T) {
	events := mustRead(t, "CLOCK 8.41225\nCOMMIT\n", 2)
	if c := events[0].(Clock); c.Now != 8412250*time.Microsecond {
		t.Errorf("got clock %v, want 8.41225s", c.Now)
	}
}

func TestReadInstanceStarted(t *testing.T) {
	l := mustRead(t, instanceStartedLine+"\n", 1)[0].(InstanceStarted)
	s := l.Settings
	if l.Seed != 99 || s.InstanceIndex != 1 ||
		s.Classes[0].Idempotency != policy.IdempotentWithKey || s.Classes[0].DedupScope != policy.DedupCell ||
		s.Plans[0].MaxInFlight != 3 || s.Plans[0].Burst != 7 || s.LoadReports != policy.LoadReportsInResponses ||
		s.DrainGracePeriod != 2*time.Second {
		t.Errorf("unexpected InstanceStarted event: %+v", l)
	}
}

// TestUnusedSettingsAreChecked checks that a key whose value nothing reads is accepted with a number only, and that
// unknown keys are ignored.
func TestUnusedSettingsAreChecked(t *testing.T) {
	for _, c := range []struct {
		rules      string
		isAccepted bool
	}{
		{`{}`, true},
		{`{"askWithin":0.5}`, true},
		{`{"askWithin":-1}`, true},
		{`{"askWithin":"0.5"}`, false},
		{`{"unknown":"0.5"}`, true},
	} {
		_, _, err := ParseSettings([]byte(`{"feedback":{"how":"none"},"rules":` + c.rules + `}`))
		if isAccepted := err == nil; isAccepted != c.isAccepted {
			t.Errorf("rules %s: got error %v, want accepted: %v", c.rules, err, c.isAccepted)
		}
	}
}

func TestReadEndpoints(t *testing.T) {
	events := mustRead(t, "PAGE 0 2\nITEM s.a IN 1 k z 0 -\nITEM s.b LAME 1.5 k y 3 6.1\n"+
		"FLEET 3 41 0 Persisted\nFLEET 3 42 - Error\n", 2)
	list := events[0].(EndpointsChanged)
	if len(list.Servers) != 2 || list.Servers[1].State != policy.Draining ||
		list.Servers[1].StartedAt != 6100*time.Millisecond {
		t.Errorf("unexpected endpoint list: %+v", list)
	}
	if e := events[1].(EndpointsChanged); e.Kind != policy.EndpointsUnavailable {
		t.Errorf("got update kind %v, want EndpointsUnavailable", e.Kind)
	}
}

func TestReadRequestEvents(t *testing.T) {
	events := mustRead(t, "ACCEPT 3 rq_a c p 4569004829183723 0.24 2 3 1 1\n"+
		"COMPLETED 3 rq_a 1 254 s.a 0.0185 0 86 3 backlog:3,novel:7\nTIMEOUT_FIRED 3 77\nWHISPER 3 0 aGkgNw==\n"+
		"LEFT 3 rq_a\n", 5)
	q := events[0].(RequestArrived).Request
	if q.Customer != 4569004829183723 || q.Units != 2 || q.InstanceCount != 3 || q.FirstInstance != 1 {
		t.Errorf("unexpected request: %+v", q)
	}
	o := events[1].(AttemptCompleted).Outcome
	if o.Result != policy.RejectedByServer || !o.RequestAnswered ||
		o.LoadReport == nil || o.LoadReport.QueueLength != 3 || o.Units != 3 {
		t.Errorf("unexpected outcome: %+v", o)
	}
	if e := events[2].(TimerFired); e.Token != 77 {
		t.Errorf("got timer token %d, want 77", e.Token)
	}
	if w := events[3].(GossipReceived); string(w.Payload) != "hi 7" {
		t.Errorf("got gossip payload %q, want hi 7", w.Payload)
	}
	if e := events[4].(ClientDisconnected); e.ID != "rq_a" {
		t.Errorf("got disconnected request %q, want rq_a", e.ID)
	}
}

func TestMalformedLines(t *testing.T) {
	for _, bad := range []string{
		"NONSENSE 1", "CLOCK x", "CLOCK", "LEFT 3", "LEFT 3 a b", "TIMEOUT_FIRED 3 -1", "WHISPER 3 0 ???",
		"COMPLETED 3 rq 2 0 s 0 0 0 0 -", "COMPLETED 3 rq 1 17 s 0 0 0 0 -", "COMPLETED 3 rq 1 0 s 0 0 0 0 backlog",
		"FLEET 3 1 9 Complete", "FLEET 3 1 0 Odd", "PAGE 16 0", "PAGE 0 1\nITEM s GONE 1 k z 0 -",
		"PAGE 0 2\nITEM s IN 1 k z 0 -",
		"LAUNCH 3 99 {", "LAUNCH x 99 {}", `LAUNCH 3 9 {"feedback":{"how":"odd"}}`,
		`LAUNCH 3 9 {"lanes":[{"idempotency":"odd"}]}`,
		"ACCEPT 3 rq c p 1 nan 1 1 1 1", "LEFT 3  rq",
	} {
		_, err := readAll("CLOCK 1\n" + bad + "\n")
		if err == nil || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%q: got error %v, want one that begins with the line number", bad, err)
		}
	}
}

func TestWriteActions(t *testing.T) {
	r := Reply{Instance: 3}
	r.SendAttempt("rq", "s.a", 80*time.Millisecond)
	r.RejectRequest("rq", 0)
	r.FailRequest("rq")
	r.CancelAttempt("rq", 1)
	r.SetTimer(77, 500*time.Millisecond)
	r.CheckHealth("s.a")
	r.SendGossip(policy.AllInstances, []byte("hi 7"))
	r.SendGossip(2, nil)
	r.WatchEndpoints(true)
	r.Log(policy.ZoneUnresponsive{Zone: "two\nlines"})
	want := "CALL_OUT 3 rq s.a 0.08\nTURN_AWAY 3 rq 0\nSURRENDER 3 rq\n" +
		"WITHDRAW 3 rq 1\nSET_ALARM 3 77 0.5\nPROBE 3 s.a\n" +
		"SIGNAL 3 all aGkgNw==\nSIGNAL 3 2 -\nSTREAM_CHANGES 3 1\n" +
		"PRINT 3 zone two lines is silent: its servers are held to be lost until one answers\nFINISHED\n"
	if got := string(r.Take()); got != want {
		t.Errorf("got %q\nwant %q", got, want)
	}
	if got := string(r.Take()); got != "FINISHED\n" {
		t.Errorf("got reply %q without actions, want only the end line", got)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("CLOCK 1\nCOMMIT\n"))
	f.Add([]byte(instanceStartedLine + "\n"))
	f.Add([]byte("PAGE 0 1\nITEM s IN 1 k z 0 -\nFLEET 3 41 0 Partial\n"))
	f.Add([]byte("COMPLETED 3 rq 1 0 s 0 0 0 0 backlog:3\nACCEPT 3 r c p 1 1 1 1 1 1\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b))
		for n := 0; ; n++ {
			ev, err := r.Next()
			if err != nil {
				return
			}
			if ev == nil || n > len(b) {
				t.Fatalf("event %d is %v, want a non-nil event and no more events than bytes", n, ev)
			}
		}
	})
}
