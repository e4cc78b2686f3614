package main

import (
	"bytes"
	"strings"
	"testing"
)

const startLine = `LAUNCH 3 99 {"instances":1,"me":0,` +
	`"lanes":[{"name":"c","idempotency":"retryable","onTime":1,"deadline":4}],` +
	`"tariffs":[{"name":"p","quotaRate":2,"peakUnits":7}],"policyLimits":{"mostTries":3}}`

func TestRun(t *testing.T) {
	in := "CLOCK 8\nCOMMIT\nCLOCK 8.1\n" + startLine + "\nPAGE 0 1\nITEM s.a IN 1 k z 0 -\nFLEET 3 1 0 Persisted\n" +
		"ACCEPT 3 rq_a c p 5 0.5 1 1 0 0\nCOMMIT\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "FINISHED\n") || !strings.Contains(out.String(), "CALL_OUT 3 rq_a s.a ") ||
		strings.Count(out.String(), "FINISHED\n") != 2 {
		t.Errorf("got output %q, want an empty reply and one that sends an attempt", out.String())
	}
}

func TestBadInput(t *testing.T) {
	for in, want := range map[string]string{
		"COMMIT\n":                        "line 1: message outside a batch",
		"CLOCK 1\nLEFT 4 rq\n":            "line 2: unknown instance 4",
		"CLOCK 1\nHALT 4\n":               "line 2: unknown instance 4",
		"CLOCK 2\nCOMMIT\nCLOCK 1\n":      "line 3: CLOCK goes backwards",
		"CLOCK 1\nCLOCK 2\n":              "line 2: CLOCK inside a batch",
		"CLOCK 1\n":                       "line 1: input ends inside a batch",
		"CLOCK 1\nLAUNCH 3 1 {}\n":        "line 2: settings: Instances is below 1",
		"CLOCK 1\nTIMEOUT_FIRED 3 zero\n": `line 2: TIMEOUT_FIRED: invalid ctx "zero"`,
	} {
		t.Run(want, func(t *testing.T) {
			err := run(strings.NewReader(in), &bytes.Buffer{})
			if err == nil || err.Error() != want {
				t.Errorf("%q: got error %v, want %s", in, err, want)
			}
		})
	}
}
