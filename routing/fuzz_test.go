package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// referenceMatch finds the operation of a path in the obvious way: of all templates that match
// it, the one that is within each other one.
func referenceMatch(tab *Table, method, path string) *Operation {
	var best *Operation
	var bestSegs []segment
	parts := strings.Split(path[1:], "/")
	for _, op := range tab.Operations {
		segs, _, err := parseTemplate(op.Template)
		if err != nil || len(segs) != len(parts) {
			continue
		}
		matches, within := true, best != nil
		for i, s := range segs {
			matches = matches && (parts[i] != "" || !s.isParam) && s.matches(parts[i])
			within = within && s.isWithin(bestSegs[i])
		}
		if matches && (best == nil || within) {
			best, bestSegs = op, segs
		}
	}
	if best == nil {
		return nil
	}
	for _, op := range tab.Operations {
		if op.Template == best.Template && op.Method == method {
			return op
		}
	}
	return nil
}

var segmentWords = []string{"a", "b", "ab", "a.csv", "b.csv", "abc", "visits", "new", "x:run", ""}

// randomTable makes templates of few words, so that many overlap, and compiles those that
// don't conflict.
func randomTable(rng *rand.Rand) *Table {
	var ops []string
	seen := map[string]bool{}
	for range 1 + rng.IntN(12) {
		template := ""
		for i := range 1 + rng.IntN(4) {
			switch rng.IntN(5) {
			case 0:
				template += fmt.Sprintf("/{p%d}", i)
			case 1:
				template += fmt.Sprintf("/{p%d}.csv", i)
			case 2:
				template += fmt.Sprintf("/a{p%d}", i)
			default:
				template += "/" + segmentWords[rng.IntN(len(segmentWords)-1)]
			}
		}
		if op := []string{"GET ", "POST "}[rng.IntN(2)] + template; !seen[op] {
			seen[op] = true
			if _, err := Compile(makeDocument(append(ops, op)...), classOptions()); err == nil {
				ops = append(ops, op)
			}
		}
	}
	tab, err := Compile(makeDocument(ops...), classOptions())
	if err != nil {
		panic(err) // each was taken beside the others
	}
	return tab
}

// The tree finds what the obvious way finds, and conflicts leave one narrowest template,
// on random tables and paths.
func FuzzMatch(f *testing.F) {
	for seed := range uint64(200) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tab := randomTable(rng)
		for range 40 {
			path := ""
			for range 1 + rng.IntN(4) {
				path += "/" + segmentWords[rng.IntN(len(segmentWords))]
			}
			if tab.CheckPath(path) != "" {
				continue
			}
			got, _, _ := tab.Match("GET", path)
			if want := referenceMatch(tab, "GET", path); got != want {
				t.Fatalf("%s: %v, want %v", path, operationName(got), operationName(want))
			}
		}
	})
}

func operationName(o *Operation) string {
	if o == nil {
		return "none"
	}
	return o.Method + " " + o.Template
}

// Matching and charging take any bytes.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "/visits/new", "n=1", []byte(`{"n":1}`))
	f.Add("POST", "/%2e%2e//", "n=1;n=2", []byte(`{"n":1,"\u006e":2}`))
	ops := []*Operation{
		{Units: Units{Source: ParamSource{In: InQuery, Name: "n"}, Min: 1, Max: 50}},
		{Units: Units{Source: ParamSource{In: InBody, Name: "n", Path: []string{"n"}}, Min: 1, Max: 50}},
	}
	tab, err := Compile(makeDocument("GET /visits/{id}", "GET /visits/new", "POST /a/{x}.csv"), classOptions())
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, method, path, query string, body []byte) {
		if tab.CheckPath(path) == "" {
			if op, _, a := tab.Match(method, path); (op != nil) != (a == Found) {
				t.Errorf("%s %s: %v, %v", method, path, op, a)
			}
		}
		for _, op := range ops {
			if n, err := op.Charge(Request{Query: query, Header: jsonHeader, Body: body}); err == nil &&
				(n < 1 || n > 50) {
				t.Errorf("%q %q: %d units", query, body, n)
			} else if err == nil && op.Units.Source.In == InBody && !json.Valid(body) {
				t.Errorf("%q is no JSON and was charged", body)
			}
		}
	})
}
