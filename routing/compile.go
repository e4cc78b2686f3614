package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"mulleinmux/policy"
)

// maxProblems bounds the problems that are told of one description.
const maxProblems = 100

// compiler collects a table and all that is wrong with its description.
type compiler struct {
	doc        *Document
	options    Options
	table      *Table
	items      []*pathItem // in order, each once
	problems   Problems
	classNames map[string]bool // names in table.Classes
}

// Compile checks a whole description and returns its table. The error is [Problems]: all
// that is wrong, in the order of the file.
func Compile(doc *Document, opt Options) (*Table, error) {
	c := &compiler{doc: doc, options: opt, classNames: map[string]bool{},
		table: &Table{File: doc.File, Version: doc.Version, literalPaths: map[string]*pathItem{}, root: &node{}}}
	ids := map[string]Pos{}
	for i := range doc.Paths {
		p := &doc.Paths[i]
		for j := range p.Methods {
			m := &p.Methods[j]
			if m.ID != "" {
				if first, ok := ids[m.ID]; ok {
					c.addProblem(m.Pos, c.fieldOf(p, m)+".operationId", "%q names the operation at line %d too: give each its own", m.ID, first.Line)
					continue
				}
				ids[m.ID] = m.Pos
			}
			c.compileOperation(p, m)
		}
	}
	c.reportConflicts()
	if len(c.table.Operations) == 0 && len(c.problems) == 0 {
		c.addProblem(Pos{}, "paths", "describes no operation")
	}
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b Problem) int {
			return cmp.Or(cmp.Compare(a.Pos.Line, b.Pos.Line), cmp.Compare(a.Pos.Column, b.Pos.Column))
		})
		if n := len(c.problems); n > maxProblems {
			c.problems = append(c.problems[:maxProblems], Problem{File: doc.File, Text: fmt.Sprintf("and %d more problems", n-maxProblems)})
		}
		return nil, c.problems
	}
	return c.table, nil
}

func (c *compiler) addProblem(pos Pos, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.doc.File, pos, field, fmt.Sprintf(format, args...)})
}

func (c *compiler) fieldOf(p *Path, m *Method) string {
	return "paths." + p.Template + "." + strings.ToLower(m.Name)
}

// compileOperation compiles one operation and puts it under each of its paths.
func (c *compiler) compileOperation(p *Path, m *Method) {
	at := c.fieldOf(p, m)
	before := len(c.problems)
	segs, names, err := parseTemplate(p.Template)
	if err != nil {
		c.addProblem(p.Pos, "paths."+p.Template, "%v", err)
		return
	}
	for _, name := range names {
		if m.param("path", name) == nil {
			c.addProblem(m.Pos, at+".parameters", "path parameter %q is not described: add it with in: path", name)
		}
	}
	op := &Operation{ID: m.ID, Method: m.Name, Pos: m.Pos, table: c.table, declaredPath: p.Template}
	if op.ID == "" {
		op.ID = m.Name + " " + p.Template
	}
	c.readExtensions(op, p, m, at)
	if len(c.problems) > before {
		return
	}
	if len(m.BasePaths) == 0 {
		m.BasePaths = []string{""}
	}
	for i, base := range m.BasePaths {
		baseSegs, baseNames, err := parseTemplate(base + "/")
		if err != nil || len(baseNames) > 0 {
			c.addProblem(m.Pos, at+".servers", "base path %q can't be: a plain path such as /v1 is wanted", base)
			return
		}
		o := op
		if i > 0 {
			o = new(Operation)
			*o = *op
		}
		o.Template = base + p.Template
		c.addOperation(o, p, append(slices.Clip(baseSegs[:len(baseSegs)-1]), segs...), at)
	}
}

// addOperation enters an operation at its template.
func (c *compiler) addOperation(op *Operation, p *Path, segs []segment, at string) {
	n := c.table.root.insert(segs)
	if n.item == nil {
		n.item = &pathItem{template: op.Template, segments: segs, declaredPath: p.Template, pos: p.Pos}
		c.items = append(c.items, n.item)
	}
	it := n.item
	if it.declaredPath != p.Template || it.pos != p.Pos || it.template != op.Template {
		var b strings.Builder
		for _, s := range segs {
			text, _ := s.common(s)
			b.WriteString("/" + text)
		}
		c.addProblem(p.Pos, at, "%s %s and %s %s (line %d) are the same path to a router, for example %s: keep one",
			op.Method, op.Template, it.firstMethod(), it.template, it.pos.Line, b.String())
		return
	}
	for _, o := range it.operations {
		if o.Method == op.Method {
			return // the same base path twice
		}
	}
	op.Index = len(c.table.Operations)
	c.table.Operations = append(c.table.Operations, op)
	it.operations = append(it.operations, op)
	if op.Method == "GET" {
		it.get = op
	}
	it.allowHeader = it.buildAllowHeader()
	static, path := true, ""
	for _, s := range segs {
		static = static && !s.isParam
		path += "/" + s.prefix
		for _, lit := range []string{s.prefix, s.suffix} {
			for i := range len(lit) {
				c.table.literalDelimiters[lit[i]] = pathByte[lit[i]] == 2
			}
		}
	}
	if static {
		c.table.literalPaths[path] = it
	}
}

// reportConflicts finds pairs of templates of which neither is the narrower. A template without
// parameters is narrower than any other that matches its path.
func (c *compiler) reportConflicts() {
	order := map[*pathItem]int{}
	for i, it := range c.items {
		order[it] = i
	}
	for _, it := range c.items {
		if !slices.ContainsFunc(it.segments, func(s segment) bool { return s.isParam }) {
			continue
		}
		c.table.root.visitOverlaps(it.segments, func(other *pathItem) {
			if order[other] >= order[it] || len(c.problems) > 10*maxProblems {
				return
			}
			if example, bad := findConflict(it.segments, other.segments); bad {
				c.addProblem(it.pos, "paths."+it.declaredPath, "%s %s and %s %s (line %d) both match %s and neither is the narrower: rename one or describe that path by itself",
					it.firstMethod(), it.template, other.firstMethod(), other.template, other.pos.Line, example)
			}
		})
	}
}

// addProblemOnce adds a problem unless it is there: what a path or the document declares is seen
// again with each operation.
func (c *compiler) addProblemOnce(pos Pos, field, format string, args ...any) {
	p := Problem{c.doc.File, pos, field, fmt.Sprintf(format, args...)}
	if !slices.Contains(c.problems, p) {
		c.problems = append(c.problems, p)
	}
}

// internClass gives each combination of class and figures a name of its own, the same
// in every table, and lists it once.
func (c *compiler) internClass(cls policy.Class) policy.Class {
	effect := [...]string{"safe", "keyed", "unsafe"}[cls.Idempotency]
	name := fmt.Sprintf("%s/%s/%v/%v", cls.Name, effect, cls.LatencyObjective, cls.Deadline)
	if cls.Idempotency == policy.IdempotentWithKey {
		name += fmt.Sprintf("/%s/%v", [...]string{"all", "zone", "cell"}[cls.DedupScope], cls.DedupWindow)
	}
	cls.Name = name
	if !c.classNames[name] {
		c.classNames[name] = true
		c.table.Classes = append(c.table.Classes, cls)
	}
	return cls
}
