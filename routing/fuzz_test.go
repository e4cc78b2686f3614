package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// referenceMatch is the reference model of [Table.Match], without a tree: of all templates that
// match the path, it takes the most specific one.
func referenceMatch(table *Table, method, path string) *Operation {
	var best *Operation
	var bestSegments []segment
	parts := strings.Split(path[1:], "/")
	for _, op := range table.Operations {
		segments, _, err := parseTemplate(op.Template)
		if err != nil || len(segments) != len(parts) {
			continue
		}
		matches, isMoreSpecific := true, best != nil
		for i, s := range segments {
			matches = matches && (parts[i] != "" || !s.isParam) && s.matches(parts[i])
			isMoreSpecific = isMoreSpecific && s.isSubsetOf(bestSegments[i])
		}
		if matches && (best == nil || isMoreSpecific) {
			best, bestSegments = op, segments
		}
	}
	if best == nil {
		return nil
	}
	for _, op := range table.Operations {
		if op.Template == best.Template && op.Method == method {
			return op
		}
	}
	return nil
}

var segmentWords = []string{"a", "b", "ab", "a.csv", "b.csv", "abc", "visits", "new", "x:run", ""}

// randomTable compiles random templates that consist of few words, so that many overlap. It
// leaves out templates that conflict with an earlier one.
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
	table, err := Compile(makeDocument(ops...), classOptions())
	if err != nil {
		panic(err) // each operation has compiled together with the earlier ones
	}
	return table
}

// FuzzMatch compares [Table.Match] with the reference model on random tables and paths. This
// also checks that of the templates that match a path, one is more specific than all others.
func FuzzMatch(f *testing.F) {
	for seed := range uint64(200) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := randomTable(rng)
		for range 40 {
			path := ""
			for range 1 + rng.IntN(4) {
				path += "/" + segmentWords[rng.IntN(len(segmentWords))]
			}
			if table.CheckPath(path) != "" {
				continue
			}
			got, _, _ := table.Match("GET", path)
			if want := referenceMatch(table, "GET", path); got != want {
				t.Fatalf("GET %s: got operation %v, want %v", path, operationName(got), operationName(want))
			}
		}
	})
}

// operationName returns the method and the template of an operation.
func operationName(o *Operation) string {
	if o == nil {
		return "none"
	}
	return o.Method + " " + o.Template
}

// FuzzRequest checks that arbitrary requests can be matched and charged: a request is either
// rejected or has a valid result.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "/visits/new", "n=1", []byte(`{"n":1}`))
	f.Add("POST", "/%2e%2e//", "n=1;n=2", []byte(`{"n":1,"\u006e":2}`))
	ops := []*Operation{
		{Units: Units{Source: ParamSource{In: InQuery, Name: "n"}, Min: 1, Max: 50}},
		{Units: Units{Source: ParamSource{In: InBody, Name: "n", Path: []string{"n"}}, Min: 1, Max: 50}},
	}
	table, err := Compile(makeDocument("GET /visits/{id}", "GET /visits/new", "POST /a/{x}.csv"), classOptions())
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, method, path, query string, body []byte) {
		if table.CheckPath(path) == "" {
			if op, _, result := table.Match(method, path); (op != nil) != (result == Found) {
				t.Errorf("%s %s: got operation %v with result %v", method, path, op, result)
			}
		}
		for _, op := range ops {
			if n, err := op.CheckAndReadUnits(Request{Query: query, Header: jsonHeader, Body: body}); err == nil &&
				(n < 1 || n > 50) {
				t.Errorf("query %q, body %q: got %d units, want 1 to 50", query, body, n)
			} else if err == nil && op.Units.Source.In == InBody && !json.Valid(body) {
				t.Errorf("body %q was charged, but is not valid JSON", body)
			}
		}
	})
}
