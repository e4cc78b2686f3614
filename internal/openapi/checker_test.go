package openapi

import (
	"strings"
	"testing"

	"mulleinmux/internal/httpwire"
)

// TestChecker checks that the error for an invalid request names the part that is invalid.
func TestChecker(t *testing.T) {
	table, description, err := Compile("booking.yaml", exampleText(t), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	check := description.Checker()
	for _, c := range []struct{ name, method, target, body, want string }{
		{"valid body", "POST", "/v1/visits", `{"installers":2,"slot":"s"}`, ""},
		{"wrong type in the body", "POST", "/v1/visits", `{"installers":2,"slot":7}`, "body /slot"},
		{"no body", "POST", "/v1/visits", ``, "body"},
		{"encoded path parameter", "GET", "/v1/districts/Ilala%20East/slots?days=3", ``, ""},
		{"path parameter with a suffix", "GET", "/v1/reports/2026-12-01.csv", ``, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
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
				t.Errorf("%s %s, body %s: got error %v, want one line with %q", c.method, c.target, c.body, err, c.want)
			}
		})
	}
}

// TestPathParams checks that the values of path parameters are decoded.
func TestPathParams(t *testing.T) {
	table, _, err := Compile("booking.yaml", exampleText(t), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	op, _, _ := table.Match("GET", "/v1/reports/2026-12-01.csv")
	path, values := op.PathParams("/v1/reports/2026%3A1.csv?x")
	if path != "/reports/{day}.csv" || values["day"] != "2026:1" {
		t.Errorf("got template %s, values %v, want /reports/{day}.csv, day 2026:1", path, values)
	}
}
