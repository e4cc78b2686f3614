package openapi

import (
	"strings"
	"testing"

	"mulleinmux/internal/httpwire"
)

// TestChecker checks that the errors of a request name the part that is wrong.
func TestChecker(t *testing.T) {
	table, description, err := Compile("booking.yaml", exampleText(t), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	check := description.Checker()
	for _, c := range []struct{ method, target, body, want string }{
		{"POST", "/v1/visits", `{"installers":2,"slot":"s"}`, ""},
		{"POST", "/v1/visits", `{"installers":2,"slot":7}`, "body /slot"},
		{"POST", "/v1/visits", ``, "body"},
		{"GET", "/v1/districts/Ilala%20East/slots?days=3", ``, ""},
		{"GET", "/v1/reports/2026-12-01.csv", ``, ""},
	} {
		op, _, _ := table.Match(c.method, strings.SplitN(c.target, "?", 2)[0])
		if op == nil {
			t.Fatal(c.target)
		}
		head := &httpwire.Head{Method: c.method, Target: c.target, Fields: []httpwire.Field{
			{Name: "Host", Value: "h"},
			{Name: "Content-Type", Value: "application/json"},
			{Name: "Idempotency-Key", Value: "k"},
		}}
		err := check.Check(op, head, []byte(c.body))
		if (err == nil) != (c.want == "") ||
			err != nil && (!strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s %s %s: %v, want %q", c.method, c.target, c.body, err, c.want)
		}
	}
	op, _, _ := table.Match("GET", "/v1/reports/2026-12-01.csv")
	path, values := op.PathParams("/v1/reports/2026%3A1.csv?x")
	if path != "/reports/{day}.csv" || values["day"] != "2026:1" {
		t.Errorf("%s %v", path, values)
	}
}
