package openapi

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"

	"mulleinmux/internal/httpwire"
	"mulleinmux/routing"
)

func options() routing.Options {
	return routing.Options{Classes: []routing.Class{
		{Name: "slot-check", PriorityWeight: 3, LatencyObjective: 400e6, Deadline: 2e9},
		{Name: "visit-book", PriorityWeight: 9, LateFraction: 0.2, LatencyObjective: 750e6, Deadline: 2e9}}, MaxUnits: 50}
}

func TestExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/booking.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tab, _, err := Compile("booking.yaml", text, options())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(tab.Operations); n != 21 {
		t.Errorf("%d operations", n)
	}
	for _, o := range tab.Operations {
		if len(o.InheritedFields) > 0 || o.Pos.Line == 0 || o.Class.PriorityWeight == 0 {
			t.Errorf("%s: %+v", o.ID, o)
		}
	}
}

const top = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\nx-mulleinmux: {class: slot-check, units: 1}\n"

const ok = "responses: {'200': {description: ok}}"

// The servers in force give the base path: the operation's before the path's before the
// document's.
func TestServers(t *testing.T) {
	text := top + `servers: [{url: 'https://{region}.example.org/{v}/', variables: {region: {default: a, enum: [a, b]}, v: {default: v1}}}]
paths:
  /a:
    get: {` + ok + `}
    post: {servers: [{url: /v9}, {url: 'http://h'}], ` + ok + `}
  /b:
    servers: [{url: 'https://example.org/other'}]
    get: {` + ok + `}
`
	tab, _, err := Compile("d.yaml", []byte(text), options())
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, o := range tab.Operations {
		got = append(got, o.Method+" "+o.Template)
	}
	if want := "GET /v1/a POST /v9/a POST /a GET /other/b"; strings.Join(got, " ") != want {
		t.Errorf("%s, want %s", strings.Join(got, " "), want)
	}
}

// A parameter of the operation stands before the path's of the same name, references are
// followed, and schemas that hold themselves have an end.
func TestReferences(t *testing.T) {
	text := top + `paths:
  /a/{id}:
    parameters: [{$ref: '#/components/parameters/id'}, {name: n, in: query, schema: {type: string}}]
    post:
      x-mulleinmux: {units: {query: n}}
      parameters: [{name: n, in: query, schema: {$ref: '#/components/schemas/count'}}]
      ` + ok + `
  /b:
    $ref: '#/components/pathItems/b'
components:
  parameters: {id: {name: id, in: path, required: true, schema: {type: string}}}
  schemas:
    count: {type: integer, minimum: 2, maximum: 7}
    tree: {type: object, properties: {size: {$ref: '#/components/schemas/count'}, left: {$ref: '#/components/schemas/tree'}}, allOf: [{$ref: '#/components/schemas/more'}]}
    more: {type: object, properties: {extra: {type: integer, maximum: 5}, tree: {$ref: '#/components/schemas/tree'}}}
  pathItems:
    b:
      x-mulleinmux: {units: {body: left/left/tree/extra}}
      post: {requestBody: {content: {application/json: {schema: {$ref: '#/components/schemas/tree'}}}}, ` + ok + `}
`
	tab, _, err := Compile("d.yaml", []byte(text), options())
	if err != nil {
		t.Fatal(err)
	}
	if u := tab.Operations[0].Units; u.Min != 2 || u.Max != 7 {
		t.Errorf("%+v", u)
	}
	if u := tab.Operations[1].Units; u.Source.In != routing.InBody || u.Max != 5 {
		t.Errorf("%+v", u)
	}
}

// bomb is an alias bomb of nine levels with nine aliases each.
func bomb() string {
	text := top + "x-a: &a0 [x, x]\n"
	for i := 1; i < 10; i++ {
		text += fmt.Sprintf("x-%d: &a%d [%s]\n", i, i, strings.TrimSuffix(strings.Repeat(fmt.Sprintf("*a%d, ", i-1), 9), ", "))
	}
	return text + "paths: {}\n"
}

// What can't be used is refused with the file, the line and the field, and nothing outside
// the file is fetched.
func TestRefused(t *testing.T) {
	fetched := false
	outside := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { fetched = true }))
	defer outside.Close()
	for name, c := range map[string]struct{ text, want string }{
		"nothing":            {"", "d.yaml"},
		"a list":             {"[1]", "an object with openapi"},
		"no YAML":            {top + "paths: {\n", "d.yaml"},
		"another version":    {strings.Replace(top, "3.1.0", "2.0", 1) + "paths: {}", "d.yaml:1:10: openapi: version 3.0 or 3.1"},
		"no version":         {"info: {}\npaths: {}", "version 3.0 or 3.1"},
		"no operation":       {top + "paths: {}", "describes no operation"},
		"a remote reference": {top + "paths:\n  /a:\n    $ref: '" + outside.URL + "/x.yaml'\n", "d.yaml:6:11: paths./a.$ref: \"" + outside.URL + "/x.yaml\" lies outside this file"},
		"a file":             {top + "paths:\n  /a:\n    $ref: 'read_test.go'\n", "lies outside this file"},
		"a dead reference":   {top + "paths:\n  /a:\n    $ref: '#/components/pathItems/x'\n", "is not in this file"},
		"a circle of references": {top + "paths:\n  /a: {get: {parameters: [{$ref: '#/components/parameters/a'}], " + ok + "}}\n" +
			"components: {parameters: {a: {$ref: '#/components/parameters/b'}, b: {$ref: '#/components/parameters/a'}}}\n", "in a circle"},
		"a circle of schemas":   {top + "paths: {/a: {get: {" + ok + "}}}\ncomponents: {schemas: {a: {$ref: '#/components/schemas/a'}}}\n", "in a circle"},
		"an alias bomb":         {bomb(), "too large with its aliases"},
		"an alias of itself":    {top + "x-a: &a {b: *a}\npaths: {}\n", "holds itself"},
		"a name twice":          {top + "paths:\n  /a: {get: {" + ok + "}}\n  /a: {get: {" + ok + "}}\n", "line"},
		"a merge key":           {top + "x-a: &a {units: 1}\npaths:\n  /a:\n    post:\n      x-mulleinmux:\n        <<: *a\n      " + ok + "\n", "d.yaml:9:9: paths./a.post.x-mulleinmux: merge keys"},
		"too deep":              {top + "x-a: " + strings.Repeat("[", 300) + strings.Repeat("]", 300) + "\npaths: {}\n", "depth of 200"},
		"too long":              {top + strings.Repeat("#", MaxBytes), "are the most"},
		"a path without params": {top + "paths:\n  /a/{id}:\n    get: {" + ok + "}\n", "id"},
		"two of one id":         {top + "paths:\n  /a: {get: {operationId: x, " + ok + "}}\n  /b: {get: {operationId: x, " + ok + "}}\n", "d.yaml:6:27: paths./b.get.operationId"},
		"no responses":          {strings.Replace(top, "3.1.0", "3.0.3", 1) + "paths:\n  /a:\n    get: {}\n", "d.yaml:6:5: paths./a.get"},
		"a bad extension":       {top + "paths:\n  /a:\n    get: {x-mulleinmux: {unit: 4}, " + ok + "}\n", "d.yaml:6:26: paths./a.get.x-mulleinmux.unit: is no field"},
		"a list as extension":   {top + "paths:\n  /a:\n    get: {x-mulleinmux: [], " + ok + "}\n", "a mapping is wanted"},
		"a conflict":            {top + "paths:\n  /a/{x}/c: {get: {parameters: [{name: x, in: path, required: true, schema: {}}], " + ok + "}}\n  /a/b/{y}: {get: {parameters: [{name: y, in: path, required: true, schema: {}}], " + ok + "}}\n", "GET /a/{x}/c (line 5) both match /a/b/c"},
		"a relative server":     {top + "servers: [{url: v1}]\npaths: {/a: {get: {" + ok + "}}}\n", "begins with a slash"},
	} {
		_, _, err := Compile("d.yaml", []byte(c.text), options())
		if _, problems := errors.AsType[routing.Problems](err); !problems {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %q lacks %q", name, err, c.want)
		}
	}
	if fetched {
		t.Error("something was fetched")
	}
}

// All problems of a description are told at once.
func TestAllProblems(t *testing.T) {
	text := top + "paths:\n"
	for i := range 5 {
		text += fmt.Sprintf("  /a%d: {get: {x-mulleinmux: {units: 0}, %s}}\n", i, ok)
	}
	_, _, err := Compile("d.yaml", []byte(text), options())
	if ps, _ := errors.AsType[routing.Problems](err); len(ps) != 5 || ps[4].Pos.Line != 9 {
		t.Errorf("%v", err)
	}
}

// JSON is read like YAML, with tabs too.
func TestJSON(t *testing.T) {
	text := "{\n\t\"openapi\": \"3.0.3\",\n\t\"info\": {\"title\": \"t\", \"version\": \"1\"},\n\t\"x-mulleinmux\": {\"class\": \"slot-check\", \"units\": 1},\n\t\"paths\": {\"\\u002fa\": {\"get\": {\"responses\": {\"200\": {\"description\": \"ok\"}}}}}\n}"
	tab, _, err := Compile("d.json", []byte(text), options())
	if err != nil || tab.Operations[0].Template != "/a" || tab.Operations[0].Pos.Line != 5 {
		t.Errorf("%+v %v", tab, err)
	}
}

// large describes n operations.
func large(n int) []byte {
	var b strings.Builder
	b.WriteString(top + "paths:\n")
	for i := range n {
		fmt.Fprintf(&b, "  /r%d/{id}/x%d:\n    get:\n      operationId: op%d\n      x-mulleinmux: {units: {query: n}}\n      parameters:\n        - {name: id, in: path, required: true, schema: {type: string}}\n"+
			"        - {name: n, in: query, schema: {type: integer, minimum: 1, maximum: 20}}\n      responses:\n        '200': {description: ok}\n", i/50, i, i)
	}
	return []byte(b.String())
}

// A description of 10 MB is read; it is no attack by itself.
func TestTenMegabytes(t *testing.T) {
	text := append(large(100), []byte("components:\n  schemas:\n    big:\n      type: string\n      description: '"+strings.Repeat("x", 10<<20)+"'\n")...)
	if tab, _, err := Compile("d.yaml", text, options()); err != nil || len(tab.Operations) != 100 {
		t.Errorf("%v", err)
	}
}

// Checks of a whole request name what is wrong.
func TestChecker(t *testing.T) {
	text, err := os.ReadFile("../../deploy/booking.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tab, d, err := Compile("booking.yaml", text, options())
	if err != nil {
		t.Fatal(err)
	}
	check := d.Checker()
	for _, c := range []struct{ method, target, body, want string }{
		{"POST", "/v1/visits", `{"installers":2,"slot":"s"}`, ""},
		{"POST", "/v1/visits", `{"installers":2,"slot":7}`, "body /slot"},
		{"POST", "/v1/visits", ``, "body"},
		{"GET", "/v1/districts/Ilala%20East/slots?days=3", ``, ""},
		{"GET", "/v1/reports/2026-12-01.csv", ``, ""},
	} {
		op, _, _ := tab.Match(c.method, strings.SplitN(c.target, "?", 2)[0])
		if op == nil {
			t.Fatal(c.target)
		}
		h := &httpwire.Head{Method: c.method, Target: c.target, Fields: []httpwire.Field{{Name: "Host", Value: "h"}, {Name: "Content-Type", Value: "application/json"}, {Name: "Idempotency-Key", Value: "k"}}}
		err := check.Check(op, h, []byte(c.body))
		if (err == nil) != (c.want == "") || err != nil && (!strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s %s %s: %v, want %q", c.method, c.target, c.body, err, c.want)
		}
	}
	op, _, _ := tab.Match("GET", "/v1/reports/2026-12-01.csv")
	if path, values := op.PathParams("/v1/reports/2026%3A1.csv?x"); path != "/reports/{day}.csv" || values["day"] != "2026:1" {
		t.Errorf("%s %v", path, values)
	}
}

// Any text is read or refused.
func FuzzRead(f *testing.F) {
	for _, text := range []string{top + "paths: {/a: {get: {" + ok + "}}}", "{}", "a: &a [*a]", bomb()[:200]} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, _, err := Compile("d.yaml", text, options()); err != nil {
			if _, problems := errors.AsType[routing.Problems](err); !problems {
				t.Errorf("%T: %v", err, err)
			}
		}
	})
}

// BenchmarkLoad reads and compiles 10,000 operations; MB-peak is the most memory that the
// process has held, with the text and the test itself.
func BenchmarkLoad(b *testing.B) {
	text := large(10000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, _, err := Compile("d.yaml", text, options()); err != nil {
			b.Fatal(err)
		}
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(u.Maxrss)/1024, "MB-peak")
}
