package openapi

import (
	"errors"
	"os"
	"strings"
	"testing"

	"mulleinmux/routing"
)

// testOptions returns options with the classes that the descriptions of the tests use.
func testOptions() routing.Options {
	return routing.Options{
		Classes: []routing.Class{
			{Name: "slot-check", PriorityWeight: 3, LatencyObjective: 400e6, Deadline: 2e9},
			{Name: "visit-book", PriorityWeight: 9, LateFraction: 0.2, LatencyObjective: 750e6, Deadline: 2e9},
		},
		MaxUnits: 50,
	}
}

// exampleText returns the example description of the deployment.
func exampleText(tb testing.TB) []byte {
	tb.Helper()
	text, err := os.ReadFile("../../deploy/booking.yaml")
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// descriptionStart is the part of a valid description before its paths.
const descriptionStart = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n" +
	"x-mulleinmux: {class: slot-check, units: 1}\n"

// okResponses is the responses field of a valid operation.
const okResponses = "responses: {'200': {description: ok}}"

// TestCompileExample checks that the example description of the deployment compiles without
// warnings about inherited fields.
func TestCompileExample(t *testing.T) {
	table, _, err := Compile("booking.yaml", exampleText(t), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(table.Operations); n != 21 {
		t.Errorf("got %d operations, want 21", n)
	}
	for _, o := range table.Operations {
		if len(o.InheritedFields) > 0 || o.Pos.Line == 0 || o.Class.PriorityWeight == 0 {
			t.Errorf("%s: inherits fields from the document, or has no line or priority weight: %+v", o.ID, o)
		}
	}
}

// TestCompileJSON checks that JSON is read like YAML, and may be indented with tabs.
func TestCompileJSON(t *testing.T) {
	text := "{\n" +
		"\t\"openapi\": \"3.0.3\",\n" +
		"\t\"info\": {\"title\": \"t\", \"version\": \"1\"},\n" +
		"\t\"x-mulleinmux\": {\"class\": \"slot-check\", \"units\": 1},\n" +
		"\t\"paths\": {\"\\u002fa\": {\"get\": {\"responses\": {\"200\": {\"description\": \"ok\"}}}}}\n}"
	table, _, err := Compile("d.json", []byte(text), testOptions())
	if err != nil || table.Operations[0].Template != "/a" || table.Operations[0].Pos.Line != 5 {
		t.Errorf("got table %+v, error %v, want template /a at line 5", table, err)
	}
}

// TestCompileTenMegabytes checks that a description of 10 MB is accepted: its size alone does
// not make it an attack.
func TestCompileTenMegabytes(t *testing.T) {
	text := append(largeDescription(100),
		"components:\n  schemas:\n    big:\n      type: string\n"+
			"      description: '"+strings.Repeat("x", 10<<20)+"'\n"...)
	if table, _, err := Compile("d.yaml", text, testOptions()); err != nil || len(table.Operations) != 100 {
		t.Errorf("got error %v, want a table of 100 operations", err)
	}
}

// FuzzRead checks that any text is either accepted or rejected with [routing.Problems].
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		descriptionStart + "paths: {/a: {get: {" + okResponses + "}}}",
		"{}",
		"a: &a [*a]",
		aliasBomb()[:200],
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, _, err := Compile("d.yaml", text, testOptions()); err != nil {
			if _, ok := errors.AsType[routing.Problems](err); !ok {
				t.Errorf("got error of type %T, want routing.Problems: %v", err, err)
			}
		}
	})
}
