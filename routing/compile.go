package routing

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinmux/policy"
)

// mostProblems bounds the problems that are told of one description.
const mostProblems = 100

// compiler collects a table and all that is wrong with its description.
type compiler struct {
	doc      *Document
	opt      Options
	table    *Table
	items    []*item // in order, each once
	problems Problems
	classes  map[string]bool // names in table.Classes
}

// Compile checks a whole description and returns its table. The error is [Problems]: all
// that is wrong, in the order of the file.
func Compile(doc *Document, opt Options) (*Table, error) {
	c := &compiler{doc: doc, opt: opt, classes: map[string]bool{},
		table: &Table{File: doc.File, Version: doc.Version, static: map[string]*item{}, root: &node{}}}
	ids := map[string]Pos{}
	for i := range doc.Paths {
		p := &doc.Paths[i]
		for j := range p.Methods {
			m := &p.Methods[j]
			if m.ID != "" {
				if first, ok := ids[m.ID]; ok {
					c.problem(m.Pos, c.field(p, m)+".operationId", "%q names the operation at line %d too: give each its own", m.ID, first.Line)
					continue
				}
				ids[m.ID] = m.Pos
			}
			c.operation(p, m)
		}
	}
	c.conflicts()
	if len(c.table.Operations) == 0 && len(c.problems) == 0 {
		c.problem(Pos{}, "paths", "describes no operation")
	}
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b Problem) int {
			return cmp.Or(cmp.Compare(a.Pos.Line, b.Pos.Line), cmp.Compare(a.Pos.Column, b.Pos.Column))
		})
		if n := len(c.problems); n > mostProblems {
			c.problems = append(c.problems[:mostProblems], Problem{File: doc.File, Text: fmt.Sprintf("and %d more problems", n-mostProblems)})
		}
		return nil, c.problems
	}
	return c.table, nil
}

func (c *compiler) problem(pos Pos, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.doc.File, pos, field, fmt.Sprintf(format, args...)})
}

func (c *compiler) field(p *Path, m *Method) string {
	return "paths." + p.Template + "." + strings.ToLower(m.Name)
}

// operation compiles one operation and puts it under each of its paths.
func (c *compiler) operation(p *Path, m *Method) {
	at := c.field(p, m)
	before := len(c.problems)
	segs, names, err := parseTemplate(p.Template)
	if err != nil {
		c.problem(p.Pos, "paths."+p.Template, "%v", err)
		return
	}
	for _, name := range names {
		if m.param("path", name) == nil {
			c.problem(m.Pos, at+".parameters", "path parameter %q is not described: add it with in: path", name)
		}
	}
	op := &Operation{ID: m.ID, Method: m.Name, Pos: m.Pos, table: c.table, path: p.Template}
	if op.ID == "" {
		op.ID = m.Name + " " + p.Template
	}
	c.declare(op, p, m, at)
	if len(c.problems) > before {
		return
	}
	if len(m.BasePaths) == 0 {
		m.BasePaths = []string{""}
	}
	for i, base := range m.BasePaths {
		baseSegs, baseNames, err := parseTemplate(base + "/")
		if err != nil || len(baseNames) > 0 {
			c.problem(m.Pos, at+".servers", "base path %q can't be: a plain path such as /v1 is wanted", base)
			return
		}
		o := op
		if i > 0 {
			o = new(Operation)
			*o = *op
		}
		o.Template = base + p.Template
		c.place(o, p, append(slices.Clip(baseSegs[:len(baseSegs)-1]), segs...), at)
	}
}

// place enters an operation at its template.
func (c *compiler) place(op *Operation, p *Path, segs []segment, at string) {
	n := c.table.root.insert(segs)
	if n.item == nil {
		n.item = &item{template: op.Template, segs: segs, from: p.Template, pos: p.Pos}
		c.items = append(c.items, n.item)
	}
	it := n.item
	if it.from != p.Template || it.pos != p.Pos || it.template != op.Template {
		var b strings.Builder
		for _, s := range segs {
			text, _ := s.common(s)
			b.WriteString("/" + text)
		}
		c.problem(p.Pos, at, "%s %s and %s %s (line %d) are the same path to a router, for example %s: keep one",
			op.Method, op.Template, it.first(), it.template, it.pos.Line, b.String())
		return
	}
	for _, o := range it.ops {
		if o.Method == op.Method {
			return // the same base path twice
		}
	}
	op.Index = len(c.table.Operations)
	c.table.Operations = append(c.table.Operations, op)
	it.ops = append(it.ops, op)
	if op.Method == "GET" {
		it.get = op
	}
	it.allow = it.allowed()
	static, path := true, ""
	for _, s := range segs {
		static = static && !s.param
		path += "/" + s.prefix
		for _, lit := range []string{s.prefix, s.suffix} {
			for i := range len(lit) {
				c.table.literalDelims[lit[i]] = pathByte[lit[i]] == 2
			}
		}
	}
	if static {
		c.table.static[path] = it
	}
}

func (it *item) first() string {
	if len(it.ops) == 0 {
		return ""
	}
	return it.ops[0].Method
}

// allowed is the value of an Allow header: what is described, and what follows from it.
func (it *item) allowed() string {
	var ms []string
	for _, o := range it.ops {
		ms = append(ms, o.Method)
	}
	if it.get != nil && !slices.Contains(ms, "HEAD") {
		ms = append(ms, "HEAD")
	}
	if !slices.Contains(ms, "OPTIONS") {
		ms = append(ms, "OPTIONS")
	}
	slices.Sort(ms)
	return strings.Join(ms, ", ")
}

// conflicts finds pairs of templates of which neither is the narrower. A template without
// parameters is narrower than any other that matches its path.
func (c *compiler) conflicts() {
	order := map[*item]int{}
	for i, it := range c.items {
		order[it] = i
	}
	for _, it := range c.items {
		if !slices.ContainsFunc(it.segs, func(s segment) bool { return s.param }) {
			continue
		}
		c.table.root.overlaps(it.segs, func(other *item) {
			if order[other] >= order[it] || len(c.problems) > 10*mostProblems {
				return
			}
			if example, bad := conflict(it.segs, other.segs); bad {
				c.problem(it.pos, "paths."+it.from, "%s %s and %s %s (line %d) both match %s and neither is the narrower: rename one or describe that path by itself",
					it.first(), it.template, other.first(), other.template, other.pos.Line, example)
			}
		})
	}
}

func (m *Method) param(in, name string) *Param {
	for i := range m.Params {
		p := &m.Params[i]
		// Header names know no case.
		if p.In == in && (p.Name == name || in == "header" && strings.EqualFold(p.Name, name)) {
			return p
		}
	}
	return nil
}

// What an x-mulleinmux extension may hold.
var ruleFields = []string{"class", "effect", "repeatable", "key", "group", "window", "units", "aim", "deadline"}

// declared is a field of the nearest extension that has it.
type declared struct {
	Field
	at string // of the extension
}

// declare fills in what the extensions say of an operation: for each field the nearest
// one counts, of the operation, its path or the document.
func (c *compiler) declare(op *Operation, p *Path, m *Method, at string) {
	found := map[string]declared{}
	for _, level := range []struct {
		v  *Value
		at string
	}{{m.Extension, at}, {p.Extension, "paths." + p.Template}, {c.doc.Extension, ""}} {
		if level.v == nil {
			continue
		}
		at := strings.TrimPrefix(level.at+".x-mulleinmux", ".")
		if level.v.Kind != MappingValue {
			c.once(level.v.Pos, at, "a mapping is wanted, such as {class: slot-check, units: 1}")
			continue
		}
		for _, f := range level.v.Fields {
			if !slices.Contains(ruleFields, f.Name) {
				c.once(f.Pos, at+"."+f.Name, "is no field of x-mulleinmux: one of %s is wanted", strings.Join(ruleFields, ", "))
				continue
			}
			if _, ok := found[f.Name]; !ok {
				found[f.Name] = declared{f, at + "." + f.Name}
			}
		}
	}
	d := &declarer{c: c, found: found, m: m, at: at}
	cls := d.class()
	cls.Idempotency = d.effect()
	cls.LatencyObjective = d.duration("aim", cls.LatencyObjective)
	cls.Deadline = d.duration("deadline", cls.Deadline)
	if cls.LatencyObjective > cls.Deadline {
		f := found["aim"]
		c.once(cmp.Or(f.Pos, m.Pos), cmp.Or(f.at, at), "the aim %v is past the deadline %v", cls.LatencyObjective, cls.Deadline)
	}
	if cls.Idempotency == policy.IdempotentWithKey {
		cls.DedupScope = d.group()
		if cls.DedupWindow = d.duration("window", 0); cls.DedupWindow == 0 {
			c.once(m.Pos, at+".x-mulleinmux.window", "a keyed operation must tell for how long a repeat is dropped, such as window: 4s")
		}
		op.KeySource = d.key()
	} else {
		for _, name := range []string{"key", "group", "window"} {
			if f, ok := found[name]; ok && f.at == at+".x-mulleinmux."+name {
				c.once(f.Pos, f.at, "only a keyed operation has a %s: declare effect: keyed", name)
			}
		}
	}
	op.Units = d.units()
	for _, name := range []string{"class", "units"} {
		if f, ok := found[name]; ok && f.at == "x-mulleinmux."+name && cls.Idempotency != policy.Idempotent {
			op.InheritedFields = append(op.InheritedFields, name)
		}
	}
	op.Class = c.choiceClass(cls)
}

// once adds a problem unless it is there: what a path or the document declares is seen
// again with each operation.
func (c *compiler) once(pos Pos, field, format string, args ...any) {
	p := Problem{c.doc.File, pos, field, fmt.Sprintf(format, args...)}
	if !slices.Contains(c.problems, p) {
		c.problems = append(c.problems, p)
	}
}

// choiceClass gives each combination of class and figures a name of its own, the same
// in every table, and lists it once.
func (c *compiler) choiceClass(cls policy.Class) policy.Class {
	effect := [...]string{"safe", "keyed", "unsafe"}[cls.Idempotency]
	name := fmt.Sprintf("%s/%s/%v/%v", cls.Name, effect, cls.LatencyObjective, cls.Deadline)
	if cls.Idempotency == policy.IdempotentWithKey {
		name += fmt.Sprintf("/%s/%v", [...]string{"all", "zone", "cell"}[cls.DedupScope], cls.DedupWindow)
	}
	cls.Name = name
	if !c.classes[name] {
		c.classes[name] = true
		c.table.Classes = append(c.table.Classes, cls)
	}
	return cls
}

// declarer reads the fields that hold for one operation.
type declarer struct {
	c     *compiler
	found map[string]declared
	m     *Method
	at    string
}

func (d *declarer) bad(f declared, format string, args ...any) {
	d.c.once(f.Value.Pos, f.at, format, args...)
}

// word reads a field that is one of some words.
func (d *declarer) word(name string, words ...string) (string, bool) {
	f, ok := d.found[name]
	if !ok {
		return "", false
	}
	if f.Value.Kind != TextValue || !slices.Contains(words, f.Value.Text) {
		d.bad(f, "%q is unknown: one of %s is wanted", f.Value.Text, strings.Join(words, ", "))
		return "", false
	}
	return f.Value.Text, true
}

func (d *declarer) class() (cls policy.Class) {
	var names []string
	for _, k := range d.c.opt.Classes {
		names = append(names, k.Name)
	}
	f, ok := d.found["class"]
	if !ok {
		d.c.once(d.m.Pos, d.at+".x-mulleinmux.class", "no class is declared here, on the path or on the document: one of %s is wanted", strings.Join(names, ", "))
		return cls
	}
	for _, k := range d.c.opt.Classes {
		if f.Value.Kind == TextValue && k.Name == f.Value.Text {
			return policy.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, LateFraction: k.LateFraction, LatencyObjective: k.LatencyObjective, Deadline: k.Deadline}
		}
	}
	d.bad(f, "class %q has no worth in the operator's file: one of %s is wanted", f.Value.Text, strings.Join(names, ", "))
	return cls
}

// effect reads what repeating the operation does. Where nothing is declared, HTTP's
// meaning of the method holds (RFC 9110, 9.2), but a method that is idempotent by HTTP
// and changes something counts as unsafe: a repeat that meets a change made in between
// undoes it.
func (d *declarer) effect() policy.Idempotency {
	safe := d.m.Name == "GET" || d.m.Name == "HEAD" || d.m.Name == "OPTIONS" || d.m.Name == "TRACE"
	f, ok := d.found["effect"]
	if ok && !safe && !strings.HasPrefix(f.at, d.at+".") && f.Value.Text == "safe" {
		ok = false // a default for the reads among many
	}
	repeatable := false
	if r, has := d.found["repeatable"]; has {
		if r.Value.Kind != BoolValue {
			d.bad(r, "true or false is wanted")
		}
		repeatable = r.Value.Text == "true" && strings.HasPrefix(r.at, d.at+".")
	}
	if !ok {
		if safe {
			return policy.Idempotent
		}
		return policy.NonIdempotent
	}
	w, _ := d.word("effect", "safe", "keyed", "unsafe")
	switch {
	case w == "keyed":
		return policy.IdempotentWithKey
	case w == "unsafe":
		return policy.NonIdempotent
	case w == "safe" && !safe && !repeatable:
		d.bad(f, "%s changes something by HTTP, so it is not safe to repeat: if it is here, add repeatable: true to this operation", d.m.Name)
	}
	return policy.Idempotent
}

func (d *declarer) group() policy.DedupScope {
	switch w, _ := d.word("group", "all", "zone", "cell"); w {
	case "zone":
		return policy.DedupZone
	case "cell":
		return policy.DedupCell
	case "all":
		return policy.DedupAllServers
	}
	if _, ok := d.found["group"]; !ok {
		d.c.once(d.m.Pos, d.at+".x-mulleinmux.group", "a keyed operation must tell which servers drop a repeat: group: all, zone or cell")
	}
	return policy.DedupAllServers
}

// mostDuration bounds aims, deadlines and windows.
const mostDuration = time.Hour

func (d *declarer) duration(name string, otherwise time.Duration) time.Duration {
	f, ok := d.found[name]
	if !ok {
		return otherwise
	}
	t, err := time.ParseDuration(f.Value.Text)
	if f.Value.Kind != TextValue || err != nil || t <= 0 || t > mostDuration {
		d.bad(f, "%q is no duration from 1ns to %v: write it with a unit, such as 400ms or 2s", f.Value.Text, mostDuration)
		return otherwise
	}
	return t
}

// key reads which parameter carries the key.
func (d *declarer) key() ParamSource {
	f, ok := d.found["key"]
	if !ok {
		d.c.once(d.m.Pos, d.at+".x-mulleinmux.key", "a keyed operation must name the parameter with its key, such as key: {header: Idempotency-Key}")
		return ParamSource{}
	}
	if f.Value.Kind != MappingValue || len(f.Value.Fields) != 1 {
		d.bad(f, "one place is wanted, such as {header: Idempotency-Key}")
		return ParamSource{}
	}
	src, _, err := d.source(f.Value.Fields[0])
	if err != nil {
		d.bad(f, "%v", err)
	}
	return src
}

// source reads one of path, query, header and body with a described name.
func (d *declarer) source(f Field) (ParamSource, *Schema, error) {
	src := ParamSource{Name: f.Value.Text}
	if f.Value.Kind != TextValue || f.Value.Text == "" {
		return src, nil, fmt.Errorf("%s: a name is wanted", f.Name)
	}
	switch f.Name {
	case "path":
		src.In = InPath
	case "query":
		src.In = InQuery
	case "header":
		src.In = InHeader
	case "body":
		src.In = InBody
		src.Path = strings.Split(strings.TrimPrefix(src.Name, "/"), "/")
		if len(src.Path) > mostDepth {
			return src, nil, fmt.Errorf("%q is deeper than %d", src.Name, mostDepth)
		}
		schema := d.m.Body
		for _, name := range src.Path {
			if schema == nil || schema.Properties == nil {
				return src, nil, fmt.Errorf("no property %q is described in a JSON body of this operation", src.Name)
			}
			if schema = schema.Properties(name); schema == nil {
				return src, nil, fmt.Errorf("no property %q is described in a JSON body of this operation", src.Name)
			}
		}
		return src, schema, nil
	default:
		return src, nil, fmt.Errorf("%q is no place: path, query, header or body is wanted", f.Name)
	}
	p := d.m.param(f.Name, src.Name)
	if p == nil {
		return src, nil, fmt.Errorf("no %s parameter %q is described for this operation", f.Name, src.Name)
	}
	return src, &p.Schema, nil
}

// units reads what a request takes from the quota.
func (d *declarer) units() (u Units) {
	f, ok := d.found["units"]
	if !ok {
		d.c.once(d.m.Pos, d.at+".x-mulleinmux.units", "no units are declared here, on the path or on the document: a whole number is wanted, or the parameter that tells it")
		return u
	}
	limit := d.c.opt.MaxUnits
	if limit <= 0 {
		limit = maxUnits
	}
	if f.Value.Kind == NumberValue {
		n, err := wholeNumber(f.Value, limit)
		if err != nil {
			d.bad(f, "%v", err)
		}
		u.Fixed = n
		return u
	}
	if f.Value.Kind != MappingValue {
		d.bad(f, "a whole number is wanted, or a parameter such as {query: count, least: 1, most: 50}")
		return u
	}
	var schema *Schema
	bounds := map[string]int{}
	var places int
	for _, part := range f.Value.Fields {
		switch part.Name {
		case "least", "most", "default":
			n, err := wholeNumber(part.Value, limit)
			if err != nil {
				d.bad(declared{part, f.at + "." + part.Name}, "%v", err)
				return u
			}
			bounds[part.Name] = n
		default:
			var err error
			if u.Source, schema, err = d.source(part); err != nil {
				d.bad(declared{part, f.at + "." + part.Name}, "%v", err)
				return u
			}
			places++
		}
	}
	if places != 1 || u.Source.In == InPath {
		d.bad(f, "one of query, header and body must tell the units")
		return u
	}
	if schema == nil || !schema.Integer {
		d.bad(f, "%s is not described as an integer: units are whole", u.Source)
		return u
	}
	u.Min, u.Max = 1, 0
	if schema.Minimum != nil && *schema.Minimum > 1 {
		u.Min = int(math.Min(math.Ceil(*schema.Minimum), float64(limit)))
	}
	if schema.Maximum != nil {
		u.Max = int(math.Max(math.Min(math.Floor(*schema.Maximum), float64(limit)), 0))
	}
	if n, ok := bounds["least"]; ok {
		u.Min = n
	}
	if n, ok := bounds["most"]; ok {
		u.Max = n
	}
	u.Default, u.HasDefault = bounds["default"], bounds["default"] > 0
	switch {
	case u.Max == 0:
		d.bad(f, "no most is told: add most, or a maximum to the schema of %s", u.Source)
	case u.Min > u.Max:
		d.bad(f, "least %d is over most %d", u.Min, u.Max)
	case u.HasDefault && (u.Default < u.Min || u.Default > u.Max):
		d.bad(f, "default %d is outside %d to %d", u.Default, u.Min, u.Max)
	}
	return u
}

// maxUnits is the most units of one request: what a message between instances holds.
const maxUnits = 1_000_000

func wholeNumber(v Value, most int) (int, error) {
	n, err := strconv.Atoi(v.Text)
	if v.Kind != NumberValue || err != nil {
		return 0, fmt.Errorf("%q is no whole number", v.Text)
	}
	if n < 1 || n > most {
		return 0, fmt.Errorf("%d is outside 1 to %d", n, most)
	}
	return n, nil
}

// errTwice is told of a name that stands more than once where one is wanted.
var errTwice = errors.New("stands more than once")
