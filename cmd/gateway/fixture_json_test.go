package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"mulleinmux/internal/benchmark"
	"mulleinmux/internal/fixture"
)

// jsonShape returns the paths in a JSON text with the types of their values, one line each, sorted. The elements of an
// array share a path.
func jsonShape(text []byte) (string, error) {
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return "", err
	}
	lines := map[string]bool{}
	addShape(lines, "$", value)
	return strings.Join(slices.Sorted(maps.Keys(lines)), ""), nil
}

// addShape adds the lines of a value and of all values in it.
func addShape(lines map[string]bool, path string, value any) {
	typeName := "null"
	switch value := value.(type) {
	case map[string]any:
		typeName = "object"
		for key, element := range value {
			addShape(lines, path+"."+key, element)
		}
	case []any:
		typeName = "array"
		for _, element := range value {
			addShape(lines, path+"[]", element)
		}
	case string:
		typeName = "string"
	case float64:
		typeName = "number"
	case bool:
		typeName = "boolean"
	}
	lines[path+" "+typeName+"\n"] = true
}

// A shape contains each pair of a path and a type once, regardless of the values.
func TestJSONShape(t *testing.T) {
	got, err := jsonShape([]byte(`[{"a": 1, "b": {"c": "x"}}, {"a": 2.5, "b": null, "d": [true]}]`))
	want := "$ array\n$[] object\n$[].a number\n$[].b null\n$[].b object\n$[].b.c string\n" +
		"$[].d array\n$[].d[] boolean\n"
	if err != nil || got != want {
		t.Errorf("shape: got %q, want %q (error: %v)", got, want, err)
	}
	if _, err := jsonShape([]byte(`{`)); err == nil {
		t.Error("jsonShape of invalid JSON: got no error")
	}
}

// compareShape compares the shape of a result with the recorded one.
func compareShape(t *testing.T, name string, result []byte) {
	t.Helper()
	shape, err := jsonShape(result)
	if err != nil {
		t.Fatalf("%s: result is not valid JSON: %v: %s", name, err, result)
	}
	fixture.Compare(t, name, []byte(shape))
}

// The keys of the results that bench prints as JSON, and the types of their values, equal those recorded from commit
// 49080d0 (./cmd/mulleingate). An empty result of each type is compared, because a measurement takes seconds.
//
// Recorded with: MULLEINMUX_RECORD=1 MULLEINMUX_PROGRAM=/path/to/mulleingate go test ./cmd/gateway \
// -run 'FixtureBench|TestLab$'
func TestFixtureBench(t *testing.T) {
	for _, test := range []struct {
		name, command string
		empty         any
	}{
		{"fronts", "bench --for 50ms --conns 2 --rounds 1 --json", []benchmark.Result{{}}},
		{"link", "bench --link --for 50ms --conns 2 --rounds 1 --json", []benchmark.Result{{}}},
		{"changes", "bench --changes 20ms --for 50ms --conns 2 --rounds 1 --json", []benchmark.Result{{}}},
		{"followers", "bench --followers 1 --for 50ms --rounds 1 --json", []benchmark.FollowersResult{{}}},
		{"parts", "bench --parts --size 2 --json", []benchmark.SubsetFigures{{}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if os.Getenv(programVariable) == "" {
				if err := printJSON(&out, test.empty); err != nil {
					t.Fatal(err)
				}
			} else if status := runProgram(t.Context(), strings.Fields(test.command), &out, &errs); status != 0 {
				t.Fatalf("got exit status %d, want 0: %s", status, &errs)
			}
			compareShape(t, "result-"+test.name+".txt", out.Bytes())
		})
	}
}
