package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

var matchOperations = []string{
	"GET /visits/{id}", "GET /visits/new", "POST /visits", "GET /visits", "DELETE /visits/{id}",
	"GET /visits/{id}/sheet.pdf", "GET /visits/{id}/{part}", "GET /reports/{day}.csv", "GET /reports/{day}",
	"GET /reports/all.csv", "PUT /a/b:run", "GET /", "GET /a/{x}/c/d", "GET /a/b/c",
	"GET /w{n}/x", "GET /slots/",
}

// matchCase is a request and its expected match in a table of matchOperations.
type matchCase struct {
	method, path, want string // want is empty if no operation matches
	result             MatchResult
	allow              string
}

var matchCases = []matchCase{
	{"GET", "/visits/new", "GET /visits/new", Found, ""},
	{"GET", "/visits/newer", "GET /visits/{id}", Found, ""},
	{"GET", "/visits/NEW", "GET /visits/{id}", Found, ""},
	{"HEAD", "/visits/7", "GET /visits/{id}", Found, ""},
	{"GET", "/visits/7/sheet.pdf", "GET /visits/{id}/sheet.pdf", Found, ""},
	{"GET", "/visits/7/sheet.pdfx", "GET /visits/{id}/{part}", Found, ""},
	{"GET", "/reports/1.csv", "GET /reports/{day}.csv", Found, ""},
	{"GET", "/reports/.csv", "GET /reports/{day}", Found, ""},
	{"GET", "/reports/all.csv", "GET /reports/all.csv", Found, ""},
	{"GET", "/a/b/c", "GET /a/b/c", Found, ""},
	{"GET", "/a/b/c/d", "GET /a/{x}/c/d", Found, ""}, // backtracks from /a/b/c
	{"GET", "/w1/x", "GET /w{n}/x", Found, ""},
	{"GET", "/w/x", "", UnknownPath, ""},
	{"GET", "/", "GET /", Found, ""},
	{"GET", "/slots/", "GET /slots/", Found, ""},
	{"GET", "/slots", "", UnknownPath, ""},
	{"GET", "/visits/", "", UnknownPath, ""},
	{"GET", "/visits/7/", "", UnknownPath, ""},
	{"GET", "/nothing", "", UnknownPath, ""},
	{"POST", "/visits/7", "", UnknownMethod, "DELETE, GET, HEAD, OPTIONS"},
	{"POST", "/visits/new", "", UnknownMethod, "GET, HEAD, OPTIONS"},
	{"get", "/visits", "", UnknownMethod, "GET, HEAD, OPTIONS, POST"},
	{"OPTIONS", "/visits", "", Preflight, "GET, HEAD, OPTIONS, POST"},
	{"OPTIONS", "/nothing", "", UnknownPath, ""},
	{"HEAD", "/a/b:run", "", UnknownMethod, "OPTIONS, PUT"},
}

// TestMatch checks that the most specific template matches a path, in any order of the
// description, and that a similar path does not match.
func TestMatch(t *testing.T) {
	reversed := slices.Clone(matchOperations)
	slices.Reverse(reversed)
	for _, operations := range [][]string{matchOperations, reversed} {
		table := mustCompile(t, operations...)
		for _, c := range matchCases {
			t.Run(c.method+" "+c.path, func(t *testing.T) {
				operation, allow, result := table.Match(c.method, c.path)
				got := ""
				if operation != nil {
					got = operation.Method + " " + operation.Template
				}
				if got != c.want || result != c.result || allow != c.allow {
					t.Errorf("got %q, %v, allow %q, want %q, %v, allow %q", got, result, allow, c.want, c.result, c.allow)
				}
			})
		}
	}
}

// TestConflicts checks that two templates are rejected if both match some path and neither
// is more specific. The error must contain both operations, their lines and such a path.
func TestConflicts(t *testing.T) {
	for _, c := range []struct {
		ops     []string
		example string // path that both match; empty if there is no conflict
	}{
		{[]string{"GET /a/{x}/c", "GET /a/b/{y}"}, "/a/b/c"},
		{[]string{"GET /a/{x}", "GET /a/{y}"}, "/a/x"},
		{[]string{"GET /a/{x}", "POST /a/{y}"}, "/a/x"},
		{[]string{"GET /a/{x}.csv", "GET /a/r{y}"}, "/a/rx.csv"},
		{[]string{"GET /a/{x}.csv", "GET /a/{y}.csv"}, "/a/x.csv"},
		{[]string{"GET /{x}/b/{y}", "GET /{x}/{y}/c"}, "/x/b/c"},
		{[]string{"GET /a/{x}.csv", "GET /a/{y}"}, ""},
		{[]string{"GET /a/{x}.csv", "GET /a/{y}.pdf"}, ""},
		{[]string{"GET /a/{x}", "GET /a/{x}/b", "GET /a/b", "GET /{x}/{y}"}, ""},
		{[]string{"GET /a/b/{x}", "GET /a/{x}/{y}", "GET /{x}/{y}/{z}"}, ""},
	} {
		t.Run(strings.Join(c.ops, ", "), func(t *testing.T) {
			_, err := Compile(makeDocument(c.ops...), classOptions())
			if c.example == "" {
				if err != nil {
					t.Errorf("%v: got error %v, want none", c.ops, err)
				}
				return
			}
			if err == nil {
				t.Errorf("%v: got no error, want a conflict", c.ops)
				return
			}
			for _, want := range []string{c.example, c.ops[0], c.ops[1], "line 10", "d.yaml:11"} {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%v: error %q does not contain %q", c.ops, err, want)
				}
			}
		})
	}
}

// TestConflictOrderIsDeterministic checks that each compilation of a description reports the
// same conflicts in the same order.
func TestConflictOrderIsDeterministic(t *testing.T) {
	ops := []string{"GET /{x}/b"}
	for i := range 12 {
		ops = append(ops, fmt.Sprintf("GET /a%d/{y}", i))
	}
	ops = append(ops, "GET /{x}/{z}.b", "GET /{v}/b")
	_, first := Compile(makeDocument(ops...), classOptions())
	if first == nil {
		t.Fatal("got no error, want conflicts")
	}
	for range 50 {
		if _, err := Compile(makeDocument(ops...), classOptions()); err.Error() != first.Error() {
			t.Fatalf("got different errors for the same description:\n%v\nand\n%v", first, err)
		}
	}
}
