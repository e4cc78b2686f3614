package routing

import (
	"strings"
	"testing"
	"time"

	"mulleinmux/policy"
)

// extensionCase is an operation with extension fields. An invalid field must be reported with its path.
type extensionCase struct {
	name   string
	method string
	fields []Field
	want   string // part of the error; empty if the operation is valid
}

// checkExtensions compiles a description of the operation of each case.
func checkExtensions(t *testing.T, cases []extensionCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Compile(documentWithExtension(c.method, c.fields), classOptions())
			switch {
			case c.want == "" && err != nil:
				t.Error(err)
			case c.want != "" && err == nil:
				t.Error("got no error, want one")
			case c.want != "" && !strings.Contains(err.Error(), c.want):
				t.Errorf("error %q does not contain %q", err, c.want)
			case c.want != "" && !strings.Contains(err.Error(), "paths./a."):
				t.Errorf("error %q does not contain the path of the field", err)
			}
		})
	}
}

// documentWithExtension returns a description of one operation with parameters n, q and Idempotency-Key and a body with
// the property n.
func documentWithExtension(method string, fields []Field) *Document {
	d := makeDocument(method + " /a")
	m := &d.Paths[0].Methods[0]
	m.Params = []Param{
		{Name: "n", In: "query", Schema: Schema{Integer: true}},
		{Name: "q", In: "query"},
		{Name: "Idempotency-Key", In: "header"},
	}
	m.Body = &Schema{Properties: func(name string) *Schema {
		if name == "n" {
			return &Schema{Integer: true}
		}
		return nil
	}}
	if fields != nil {
		v := mappingValue(20, fields...)
		m.Extension = &v
	}
	return d
}

func TestEffectFields(t *testing.T) {
	key := Field{"key", Pos{20, 1}, mappingValue(20, textField(20, "header", "Idempotency-Key"))}
	otherKey := Field{"key", Pos{20, 1}, mappingValue(20, textField(20, "header", "Other"))}
	keyed := []Field{
		textField(20, "effect", "keyed"), key, textField(20, "group", "zone"), textField(20, "window", "4s"),
	}
	checkExtensions(t, []extensionCase{
		{"a safe GET", "GET", nil, ""},
		{"an unsafe GET", "GET", []Field{textField(20, "effect", "unsafe")}, ""},
		{"a POST that says it is safe", "POST", []Field{textField(20, "effect", "safe")}, "repeatable: true"},
		{
			"a POST that is repeatable", "POST",
			[]Field{textField(20, "effect", "safe"), boolField(20, "repeatable", "true")},
			"",
		},
		{
			"a POST that is not", "POST",
			[]Field{textField(20, "effect", "safe"), boolField(20, "repeatable", "false")},
			"repeatable: true",
		},
		{"a keyed POST", "POST", keyed, ""},
		{
			"keyed without a key", "POST",
			append([]Field{}, keyed[0], keyed[2], keyed[3]),
			"key: {header: Idempotency-Key}",
		},
		{"keyed without a window", "POST", keyed[:3], "window: 4s"},
		{
			"keyed without a group", "POST",
			append([]Field{}, keyed[0], keyed[1], keyed[3]),
			"group: all, zone or cell",
		},
		{
			"a key that is not described", "POST",
			append([]Field{otherKey}, keyed[0], keyed[2], keyed[3]),
			`no header parameter "Other"`,
		},
		{"a window of something else", "GET", []Field{textField(20, "window", "4s")}, "allowed only for keyed operations"},
	})
}

func TestClassFields(t *testing.T) {
	checkExtensions(t, []extensionCase{
		{"an unknown field", "GET", []Field{textField(20, "unit", "4")}, "is not a field of x-mulleinmux"},
		{
			"an unknown class", "GET", []Field{textField(20, "class", "cheap")},
			`"cheap" is not in the operators' configuration`,
		},
		{"an unknown effect", "GET", []Field{textField(20, "effect", "idempotent")}, "one of safe, keyed, unsafe"},
		{"an aim without a unit", "GET", []Field{numberField(20, "aim", "400")}, "write it with a unit"},
		{"a negative aim", "GET", []Field{textField(20, "aim", "-4s")}, "not a duration"},
		{"an aim past the deadline", "GET", []Field{textField(20, "aim", "3s")}, "longer than the deadline"},
	})
}

func TestUnitsFields(t *testing.T) {
	checkExtensions(t, []extensionCase{
		{"units below 1", "GET", []Field{numberField(20, "units", "0")}, "outside 1 to 100"},
		{"units over the most", "GET", []Field{numberField(20, "units", "101")}, "outside 1 to 100"},
		{"units in parts", "GET", []Field{numberField(20, "units", "1.5")}, "not a whole number"},
		{"units as a text", "GET", []Field{textField(20, "units", "2")}, "must be a whole number"},
	})
}

// unitsFields returns extension fields whose units are a mapping with the fields given.
func unitsFields(fields ...Field) []Field {
	return []Field{{"units", Pos{20, 1}, mappingValue(20, fields...)}}
}

func TestUnitsOfParameter(t *testing.T) {
	checkExtensions(t, []extensionCase{
		{"units of the query", "GET", unitsFields(textField(20, "query", "n"), numberField(20, "most", "9")), ""},
		{"units with no most", "GET", unitsFields(textField(20, "query", "n")), "no maximum is declared"},
		{
			"units of a text", "GET",
			unitsFields(textField(20, "query", "q"), numberField(20, "most", "9")),
			"not described as an integer",
		},
		{
			"units of nothing", "GET",
			unitsFields(textField(20, "query", "z"), numberField(20, "most", "9")),
			`no query parameter "z"`,
		},
		{
			"units of two places", "GET",
			unitsFields(textField(20, "query", "n"), textField(20, "body", "n"), numberField(20, "most", "9")),
			"one of query, header and body",
		},
		{
			"units of a body", "POST",
			unitsFields(textField(20, "body", "/n"), numberField(20, "most", "9"), numberField(20, "default", "2")),
			"",
		},
		{"units of no property", "POST", unitsFields(textField(20, "body", "/m"), numberField(20, "most", "9")), `"/m"`},
		{
			"a default out of range", "GET",
			unitsFields(textField(20, "query", "n"), numberField(20, "most", "9"), numberField(20, "default", "10")),
			"default 10 is outside",
		},
		{
			"least over most", "GET",
			unitsFields(textField(20, "query", "n"), numberField(20, "most", "9"), numberField(20, "least", "10")),
			"least 10 exceeds most 9",
		},
	})
}

// TestNearestExtensionApplies checks that each field is taken from the extension of the operation, or else of its path,
// or else of the document. An effect that the document declares must not make an unsafe method idempotent. A problem
// that applies to several operations must be reported once.
func TestNearestExtensionApplies(t *testing.T) {
	d := makeDocument("GET /a", "POST /a", "GET /b", "POST /b")
	d.Extension = makeExtension(1, textField(1, "effect", "safe"))
	pathExtension := mappingValue(5, numberField(5, "units", "4"))
	d.Paths[0].Extension = &pathExtension
	operationExtension := mappingValue(7, textField(7, "class", "book"), textField(7, "deadline", "5s"))
	d.Paths[0].Methods[1].Extension = &operationExtension
	table, err := Compile(d, classOptions())
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []struct {
		class    string
		units    int
		effect   policy.Idempotency
		deadline time.Duration
	}{
		{"check", 4, policy.Idempotent, 2e9},
		{"book", 4, policy.NonIdempotent, 5e9},
		{"check", 1, policy.Idempotent, 2e9},
		{"check", 1, policy.NonIdempotent, 2e9},
	} {
		o := table.Operations[i]
		if !strings.HasPrefix(o.Class.Name, want.class+"/") || o.Units.Fixed != want.units ||
			o.Class.Idempotency != want.effect || o.Class.Deadline != want.deadline {
			t.Errorf("%s: got class %+v, %d units, want %+v", o.ID, o.Class, o.Units.Fixed, want)
		}
	}
	d.Extension.Fields = append(d.Extension.Fields, textField(2, "unit", "4"))
	if _, err = Compile(d, classOptions()); err == nil || len(err.(Problems)) != 1 {
		t.Errorf("document with one unknown field: got error %v, want one problem", err)
	}
}
