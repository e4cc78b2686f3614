package routing

import (
	"errors"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy"
)

func classOptions() Options {
	return Options{MaxUnits: 100, Classes: []Class{
		{Name: "check", PriorityWeight: 3, LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second},
		{Name: "book", PriorityWeight: 9, LatencyObjective: 750 * time.Millisecond, Deadline: 2 * time.Second}}}
}

// scalar makes a value of a kind at a line.
func scalar(line int, kind Kind, text string) Value {
	return Value{Pos: Pos{line, 1}, Kind: kind, Text: text}
}

func mapping(line int, fields ...Field) Value {
	return Value{Pos: Pos{line, 1}, Kind: MappingValue, Fields: fields}
}

func text(line int, name, v string) Field {
	return Field{name, Pos{line, 1}, scalar(line, TextValue, v)}
}
func num(line int, name, v string) Field {
	return Field{name, Pos{line, 1}, scalar(line, NumberValue, v)}
}
func flag(line int, name, v string) Field {
	return Field{name, Pos{line, 1}, scalar(line, BoolValue, v)}
}

// rules is an extension with class and units, and further fields.
func rules(line int, fields ...Field) *Value {
	v := mapping(line, append([]Field{text(line, "class", "check"), num(line, "units", "1")}, fields...)...)
	return &v
}

// document describes operations such as "GET /a/{x}", each at a line of its own from 10 on.
func document(ops ...string) *Document {
	d := &Document{File: "d.yaml", Extension: rules(1)}
	byPath := map[string]int{}
	for i, op := range ops {
		method, template, _ := strings.Cut(op, " ")
		m := Method{Name: method, Pos: Pos{10 + i, 3}}
		for _, part := range strings.Split(template, "{")[1:] {
			name, _, _ := strings.Cut(part, "}")
			m.Params = append(m.Params, Param{Name: name, In: "path"})
		}
		j, ok := byPath[template]
		if !ok {
			j = len(d.Paths)
			byPath[template] = j
			d.Paths = append(d.Paths, Path{Template: template, Pos: Pos{10 + i, 1}})
		}
		d.Paths[j].Methods = append(d.Paths[j].Methods, m)
	}
	return d
}

func compile(t *testing.T, ops ...string) *Table {
	t.Helper()
	tab, err := Compile(document(ops...), classOptions())
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// The narrowest template wins, whatever the order of the description, and a path that
// only looks like another is not it.
func TestMatch(t *testing.T) {
	ops := []string{"GET /visits/{id}", "GET /visits/new", "POST /visits", "GET /visits", "DELETE /visits/{id}", "GET /visits/{id}/sheet.pdf",
		"GET /visits/{id}/{part}", "GET /reports/{day}.csv", "GET /reports/{day}", "GET /reports/all.csv", "PUT /a/b:run", "GET /", "GET /a/{x}/c/d", "GET /a/b/c",
		"GET /w{n}/x", "GET /slots/"}
	for _, order := range [][]string{ops, reversed(ops)} {
		tab := compile(t, order...)
		for _, c := range []struct {
			method, path, want string
			a                  MatchResult
			allow              string
		}{
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
			{"GET", "/a/b/c/d", "GET /a/{x}/c/d", Found, ""}, // back from /a/b/c
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
		} {
			op, allow, a := tab.Match(c.method, c.path)
			got := ""
			if op != nil {
				got = op.Method + " " + op.Template
			}
			if got != c.want || a != c.a || allow != c.allow {
				t.Errorf("%s %s: %q, %v, allow %q; want %q, %v, %q", c.method, c.path, got, a, allow, c.want, c.a, c.allow)
			}
		}
	}
}

func reversed(s []string) []string {
	var r []string
	for i := range s {
		r = append(r, s[len(s)-1-i])
	}
	return r
}

// Two templates of which neither is the narrower are refused, with both operations, their
// lines and a path that both match.
func TestConflicts(t *testing.T) {
	for _, c := range []struct {
		ops     []string
		example string // of a path; empty: no conflict
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
		_, err := Compile(document(c.ops...), classOptions())
		if c.example == "" {
			if err != nil {
				t.Errorf("%v: %v", c.ops, err)
			}
			continue
		}
		if err == nil {
			t.Errorf("%v: is taken", c.ops)
			continue
		}
		for _, want := range []string{c.example, c.ops[0], c.ops[1], "line 10", "d.yaml:11"} {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%v: %q lacks %q", c.ops, err, want)
			}
		}
	}
}

// Only the spelling that no server changes is let in.
func TestCheckPath(t *testing.T) {
	tab := compile(t, "GET /a/{x}", "PUT /a/b:run")
	for _, good := range []string{"/", "/a", "/a/", "/a/b:run", "/a/%C3%A9", "/a/%20", "/a/100%25", "/a/~x-y_z.!$&'()*+,=:@", "/a/..x", "/a/...", "/a/x%2Cy", "/a/%3F%23"} {
		if reason := tab.CheckPath(good); reason != "" {
			t.Errorf("%s: %s", good, reason)
		}
	}
	for _, bad := range []string{"", "a", "*", "//a", "/a//b", "/a//", "/a/./b", "/a/../b", "/a/..", "/a/.", "/a/%2e%2e/b", "/a/%2E", "/a/b;x=1", "/a/%3B",
		"/a/%2F", "/a/%2f", "/a/%5C", "/a/b\\c", "/a/%6Eew", "/a/%c3%a9", "/a/%", "/a/%2", "/a/%zz", "/a/%00", "/a/%0A", "/a/%7F", "/a/\xc3\xa9", "/a/b c",
		"/a/%252F", "/a/%252e", "/a/b%3Arun", "/a/x%3Ay", "/a/{x}", "/a/b|c", "/a/b#c", "/a/b%7E"} {
		if tab.CheckPath(bad) == "" {
			t.Errorf("%s is let in", bad)
		}
	}
}

// What an extension says must be so; every mistake is told, with its place.
func TestDeclarations(t *testing.T) {
	key := Field{"key", Pos{20, 1}, mapping(20, text(20, "header", "Idempotency-Key"))}
	keyed := []Field{text(20, "effect", "keyed"), key, text(20, "group", "zone"), text(20, "window", "4s")}
	body := func(name string) *Schema {
		if name == "n" {
			return &Schema{Integer: true}
		}
		return nil
	}
	for _, c := range []struct {
		name   string
		method string
		rules  []Field
		want   string // in the error; empty: it is taken
	}{
		{"a safe GET", "GET", nil, ""},
		{"an unsafe GET", "GET", []Field{text(20, "effect", "unsafe")}, ""},
		{"a POST that says it is safe", "POST", []Field{text(20, "effect", "safe")}, "repeatable: true"},
		{"a POST that is repeatable", "POST", []Field{text(20, "effect", "safe"), flag(20, "repeatable", "true")}, ""},
		{"a POST that is not", "POST", []Field{text(20, "effect", "safe"), flag(20, "repeatable", "false")}, "repeatable: true"},
		{"a keyed POST", "POST", keyed, ""},
		{"keyed without a key", "POST", append([]Field{}, keyed[0], keyed[2], keyed[3]), "key: {header: Idempotency-Key}"},
		{"keyed without a window", "POST", keyed[:3], "window: 4s"},
		{"keyed without a group", "POST", append([]Field{}, keyed[0], keyed[1], keyed[3]), "group: all, zone or cell"},
		{"a key that is not described", "POST", append([]Field{{"key", Pos{20, 1}, mapping(20, text(20, "header", "Other"))}}, keyed[0], keyed[2], keyed[3]), `no header parameter "Other"`},
		{"a window of something else", "GET", []Field{text(20, "window", "4s")}, "only a keyed operation"},
		{"an unknown field", "GET", []Field{text(20, "unit", "4")}, "is no field of x-mulleinmux"},
		{"an unknown class", "GET", []Field{text(20, "class", "cheap")}, `"cheap" has no worth`},
		{"an unknown effect", "GET", []Field{text(20, "effect", "idempotent")}, "one of safe, keyed, unsafe"},
		{"an aim without a unit", "GET", []Field{num(20, "aim", "400")}, "write it with a unit"},
		{"a negative aim", "GET", []Field{text(20, "aim", "-4s")}, "no duration"},
		{"an aim past the deadline", "GET", []Field{text(20, "aim", "3s")}, "past the deadline"},
		{"units below 1", "GET", []Field{num(20, "units", "0")}, "outside 1 to 100"},
		{"units over the most", "GET", []Field{num(20, "units", "101")}, "outside 1 to 100"},
		{"units in parts", "GET", []Field{num(20, "units", "1.5")}, "no whole number"},
		{"units as a text", "GET", []Field{text(20, "units", "2")}, "a whole number is wanted"},
		{"units of the query", "GET", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "query", "n"), num(20, "most", "9"))}}, ""},
		{"units with no most", "GET", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "query", "n"))}}, "no most is told"},
		{"units of a text", "GET", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "query", "q"), num(20, "most", "9"))}}, "not described as an integer"},
		{"units of nothing", "GET", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "query", "z"), num(20, "most", "9"))}}, `no query parameter "z"`},
		{"units of two places", "GET", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "query", "n"), text(20, "body", "n"), num(20, "most", "9"))}}, "one of query, header and body"},
		{"units of a body", "POST", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "body", "/n"), num(20, "most", "9"), num(20, "default", "2"))}}, ""},
		{"units of no property", "POST", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "body", "/m"), num(20, "most", "9"))}}, `"/m"`},
		{"a default out of range", "GET", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "query", "n"), num(20, "most", "9"), num(20, "default", "10"))}}, "default 10 is outside"},
		{"least over most", "GET", []Field{{"units", Pos{20, 1}, mapping(20, text(20, "query", "n"), num(20, "most", "9"), num(20, "least", "10"))}}, "least 10 is over most 9"},
	} {
		d := document(c.method + " /a")
		m := &d.Paths[0].Methods[0]
		m.Params = []Param{{Name: "n", In: "query", Schema: Schema{Integer: true}}, {Name: "q", In: "query"}, {Name: "Idempotency-Key", In: "header"}}
		m.Body = &Schema{Properties: body}
		if c.rules != nil {
			v := mapping(20, c.rules...)
			m.Extension = &v
		}
		_, err := Compile(d, classOptions())
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.want != "" && err == nil:
			t.Errorf("%s is taken", c.name)
		case c.want != "" && !strings.Contains(err.Error(), c.want):
			t.Errorf("%s: %q lacks %q", c.name, err, c.want)
		case c.want != "" && !strings.Contains(err.Error(), "paths./a."):
			t.Errorf("%s: %q does not name the field", c.name, err)
		}
	}
}

// The nearest extension counts, field by field; an effect of the document is no leave for
// what changes something, and what is said of many is told once.
func TestNearest(t *testing.T) {
	d := document("GET /a", "POST /a", "GET /b", "POST /b")
	d.Extension = rules(1, text(1, "effect", "safe"))
	pathRules := mapping(5, num(5, "units", "4"))
	d.Paths[0].Extension = &pathRules
	opRules := mapping(7, text(7, "class", "book"), text(7, "deadline", "5s"))
	d.Paths[0].Methods[1].Extension = &opRules
	tab, err := Compile(d, classOptions())
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []struct {
		class    string
		units    int
		effect   policy.Idempotency
		deadline time.Duration
	}{{"check", 4, policy.Idempotent, 2e9}, {"book", 4, policy.NonIdempotent, 5e9}, {"check", 1, policy.Idempotent, 2e9}, {"check", 1, policy.NonIdempotent, 2e9}} {
		o := tab.Operations[i]
		if !strings.HasPrefix(o.Class.Name, want.class+"/") || o.Units.Fixed != want.units || o.Class.Idempotency != want.effect || o.Class.Deadline != want.deadline {
			t.Errorf("%s: %+v, %d units; want %+v", o.ID, o.Class, o.Units.Fixed, want)
		}
	}
	d.Extension.Fields = append(d.Extension.Fields, text(2, "unit", "4"))
	if _, err = Compile(d, classOptions()); err == nil || len(err.(Problems)) != 1 {
		t.Errorf("problems of the document: %v", err)
	}
}

// head is a request's head in a test.
type head map[string][]string

func (h head) Values(name string) (string, int) {
	for n, vs := range h {
		if strings.EqualFold(n, name) {
			return vs[0], len(vs)
		}
	}
	return "", 0
}

func (h head) Resembles(name string) bool {
	for n := range h {
		if strings.Contains(n, "_") && strings.EqualFold(strings.ReplaceAll(n, "_", "-"), name) {
			return true
		}
	}
	return false
}

var jsonHead = head{"Content-Type": {"application/json"}}

// Units are read from the one place and in the one form in which every hall reads them.
func TestCharge(t *testing.T) {
	from := func(in Location, name string, def int) *Operation {
		o := &Operation{Units: Units{Source: ParamSource{In: in, Name: name, Path: strings.Split(strings.TrimPrefix(name, "/"), "/")}, Min: 1, Max: 50, Default: def, HasDefault: def > 0}}
		return o
	}
	query, byHeader, body, deep := from(InQuery, "n", 0), from(InHeader, "X-Units", 0), from(InBody, "/n", 3), from(InBody, "/visit/n", 0)
	for _, c := range []struct {
		op   *Operation
		r    Request
		want int // 0: refused
	}{
		{query, Request{Query: "n=7"}, 7},
		{query, Request{Query: "a=1&n=7&b"}, 7},
		{query, Request{Query: "x=%26n=9&n=7"}, 7},
		{query, Request{Query: "n=%37"}, 7},
		{query, Request{Query: ""}, 0},
		{query, Request{Query: "n"}, 0},
		{query, Request{Query: "n="}, 0},
		{query, Request{Query: "n=7&n=7"}, 0},
		{query, Request{Query: "n=7&%6E=50"}, 0},
		{query, Request{Query: "%6e=7"}, 7},
		{query, Request{Query: "n=7&N=50"}, 0},
		{query, Request{Query: "n=7&n[]=50"}, 0},
		{query, Request{Query: "N=7"}, 0},
		{query, Request{Query: "n=7;n=50"}, 0},
		{query, Request{Query: "n=0"}, 0},
		{query, Request{Query: "n=-1"}, 0},
		{query, Request{Query: "n=51"}, 0},
		{query, Request{Query: "n=99999999999999999999"}, 0},
		{query, Request{Query: "n=07"}, 0},
		{query, Request{Query: "n=+7"}, 0},
		{query, Request{Query: "n=7.0"}, 0},
		{query, Request{Query: "n=1e1"}, 0},
		{query, Request{Query: "n=%zz"}, 0},
		{query, Request{Query: "%n=1&n=2"}, 0},
		{byHeader, Request{Header: head{"x-units": {"9"}}}, 9},
		{byHeader, Request{Header: head{"X-Units": {"9", "1"}}}, 0},
		{byHeader, Request{Header: head{"X-Units": {"9"}, "X_Units": {"1"}}}, 0},
		{byHeader, Request{Header: head{"X-Units": {"9, 1"}}}, 0},
		{byHeader, Request{Header: head{}}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n": 5}`)}, 5},
		{body, Request{Header: jsonHead, Body: []byte(`{"a":[{"n":9}],"n": 5,"b":{"n":8}}`)}, 5},
		{body, Request{Header: jsonHead, Body: []byte(`{}`)}, 3},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":5,"n":5}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":5,"\u006e":6}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"N":5}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":1,"N":50}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":"5"}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":null}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":5.0}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":-5}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":5`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`{"n":1}{"n":50}`)}, 0},
		{body, Request{Header: jsonHead, Body: []byte(`[{"n":1}]`)}, 0},
		{body, Request{Header: jsonHead, Body: nil}, 0},
		{body, Request{Header: head{"Content-Type": {"text/plain"}}, Body: []byte(`{"n":5}`)}, 0},
		{body, Request{Header: head{"Content-Type": {"application/json; charset=utf-16"}}, Body: []byte(`{"n":5}`)}, 0},
		{body, Request{Header: head{"Content-Type": {"application/json"}, "Content-Encoding": {"gzip"}}, Body: []byte(`{"n":5}`)}, 0},
		{body, Request{Header: head{"Content-Type": {"Application/JSON; charset=UTF-8"}}, Body: []byte(`{"n":5}`)}, 5},
		{deep, Request{Header: jsonHead, Body: []byte(`{"n":1,"visit":{"n":5}}`)}, 5},
		{deep, Request{Header: jsonHead, Body: []byte(`{"visit":{"n":5},"visit":{"n":50}}`)}, 0},
		{deep, Request{Header: jsonHead, Body: []byte(`{"visit":5}`)}, 0},
		{deep, Request{Header: jsonHead, Body: []byte(`{"visit":{}}`)}, 0},
	} {
		n, err := c.op.Charge(c.r)
		if _, refused := errors.AsType[*ChargeError](err); n != c.want || (err != nil) != (c.want == 0) || err != nil && !refused {
			t.Errorf("%s of %q %s: %d, %v; want %d", c.op.Units.Source, c.r.Query, c.r.Body, n, err, c.want)
		}
	}
	keyed := &Operation{KeySource: ParamSource{In: InHeader, Name: "Idempotency-Key"}, Units: Units{Fixed: 1}}
	for _, c := range []struct {
		h    head
		want bool
	}{{head{"Idempotency-Key": {"k"}}, true}, {head{}, false}, {head{"Idempotency-Key": {""}}, false}, {head{"Idempotency-Key": {"k", "l"}}, false}} {
		if _, err := keyed.Charge(Request{Header: c.h}); (err == nil) != c.want {
			t.Errorf("key in %v: %v", c.h, err)
		}
	}
}
