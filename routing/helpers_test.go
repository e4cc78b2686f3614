package routing

import (
	"strings"
	"testing"
	"time"
)

// makeDocument returns a description of operations such as "GET /a/{x}", each on its own line, from line 10.
func makeDocument(ops ...string) *Document {
	d := &Document{File: "d.yaml", Extension: makeExtension(1)}
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

// mustCompile returns the table of a description of the operations.
func mustCompile(t *testing.T, ops ...string) *Table {
	t.Helper()
	table, err := Compile(makeDocument(ops...), classOptions())
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// makeExtension returns an extension with class, units and the fields given.
func makeExtension(line int, fields ...Field) *Value {
	required := []Field{textField(line, "class", "check"), numberField(line, "units", "1")}
	v := mappingValue(line, append(required, fields...)...)
	return &v
}

// scalarValue returns a value of a kind at a line.
func scalarValue(line int, kind Kind, text string) Value {
	return Value{Pos: Pos{line, 1}, Kind: kind, Text: text}
}

func mappingValue(line int, fields ...Field) Value {
	return Value{Pos: Pos{line, 1}, Kind: MappingValue, Fields: fields}
}

func textField(line int, name, v string) Field {
	return Field{name, Pos{line, 1}, scalarValue(line, TextValue, v)}
}

func numberField(line int, name, v string) Field {
	return Field{name, Pos{line, 1}, scalarValue(line, NumberValue, v)}
}

func boolField(line int, name, v string) Field {
	return Field{name, Pos{line, 1}, scalarValue(line, BoolValue, v)}
}

func classOptions() Options {
	return Options{MaxUnits: 100, Classes: []Class{
		{Name: "check", PriorityWeight: 3, LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second},
		{Name: "book", PriorityWeight: 9, LatencyObjective: 750 * time.Millisecond, Deadline: 2 * time.Second}}}
}

// testHeader implements [Header] with a map from names to values.
type testHeader map[string][]string

func (h testHeader) Values(name string) (string, int) {
	for n, vs := range h {
		if strings.EqualFold(n, name) {
			return vs[0], len(vs)
		}
	}
	return "", 0
}

func (h testHeader) Resembles(name string) bool {
	for n := range h {
		if strings.Contains(n, "_") && strings.EqualFold(strings.ReplaceAll(n, "_", "-"), name) {
			return true
		}
	}
	return false
}

var jsonHeader = testHeader{"Content-Type": {"application/json"}}
