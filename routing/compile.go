package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxProblems is the maximum number of problems that are reported for one description.
const maxProblems = 100

// maxConflictProblems is the number of problems at which the search for conflicts ends. Without it, the number of
// conflicts could grow with the square of the number of templates.
const maxConflictProblems = 10 * maxProblems

// compiler builds a table and collects the problems of its description.
type compiler struct {
	doc        *Document
	options    Options
	table      *Table
	items      []*pathItem // all path items of the table, in the order of the description
	problems   Problems
	classNames map[string]bool // names in table.Classes
}

// Compile checks a description and returns its table. The error is of type [Problems] and holds the problems in the
// order of the file.
func Compile(doc *Document, options Options) (*Table, error) {
	c := newCompiler(doc, options)
	c.compileOperations()
	c.reportConflicts()
	if len(c.table.Operations) == 0 && len(c.problems) == 0 {
		c.addProblem(Pos{}, "paths", "describes no operation")
	}
	if len(c.problems) > 0 {
		return nil, c.sortedProblems()
	}
	return c.table, nil
}

func newCompiler(doc *Document, options Options) *compiler {
	return &compiler{
		doc:     doc,
		options: options,
		table: &Table{
			File:         doc.File,
			Version:      doc.Version,
			literalPaths: map[string]*pathItem{},
			root:         &node{},
		},
		classNames: map[string]bool{},
	}
}

// compileOperations compiles all operations. It reports an operation that has the operationId of an earlier one, and
// does not compile it.
func (c *compiler) compileOperations() {
	declaredAt := map[string]Pos{} // by operationId
	for i := range c.doc.Paths {
		path := &c.doc.Paths[i]
		for j := range path.Methods {
			method := &path.Methods[j]
			first, isTaken := declaredAt[method.ID]
			if isTaken {
				c.addProblem(method.Pos, operationField(path, method)+".operationId",
					"%q is already used by the operation at line %d: give each operation its own",
					method.ID, first.Line)
				continue
			}
			if method.ID != "" {
				declaredAt[method.ID] = method.Pos
			}
			c.compileOperation(path, method)
		}
	}
}

// compileOperation compiles one operation and adds it under each of its base paths.
func (c *compiler) compileOperation(path *Path, method *Method) {
	field := operationField(path, method)
	problemsBefore := len(c.problems)
	segments, names, err := parseTemplate(path.Template)
	if err != nil {
		c.addProblem(path.Pos, "paths."+path.Template, "%v", err)
		return
	}
	for _, name := range names {
		if method.param(locationPath, name) == nil {
			c.addProblem(method.Pos, field+".parameters",
				"path parameter %q is not described: add it with in: path", name)
		}
	}
	op := &Operation{ID: method.ID, Method: method.Name, Pos: method.Pos, table: c.table, declaredPath: path.Template}
	if op.ID == "" {
		op.ID = method.Name + " " + path.Template
	}
	c.readExtensions(op, path, method, field)
	if len(c.problems) > problemsBefore {
		return
	}
	c.addAtBasePaths(op, path, method, segments)
}

// addAtBasePaths adds an operation under each of its base paths. segments are those of its template, without a base
// path.
func (c *compiler) addAtBasePaths(op *Operation, path *Path, method *Method, segments []segment) {
	field := operationField(path, method)
	basePaths := method.BasePaths
	if len(basePaths) == 0 {
		basePaths = []string{""}
	}
	for i, base := range basePaths {
		baseSegments, baseNames, err := parseTemplate(base + "/")
		if err != nil || len(baseNames) > 0 {
			c.addProblem(method.Pos, field+".servers",
				"base path %q is invalid: use a plain path such as /v1", base)
			return
		}
		opAtBase := op
		if i > 0 {
			opAtBase = new(Operation)
			*opAtBase = *op
		}
		opAtBase.Template = base + path.Template
		prefix := baseSegments[:len(baseSegments)-1] // without the empty segment after the last slash
		c.addOperation(opAtBase, path, append(slices.Clip(prefix), segments...), field)
	}
}

// addOperation adds an operation to the table under its template, which has the segments.
func (c *compiler) addOperation(op *Operation, path *Path, segments []segment, field string) {
	templateNode := c.table.root.insert(segments)
	if templateNode.item == nil {
		templateNode.item = &pathItem{
			template:     op.Template,
			segments:     segments,
			declaredPath: path.Template,
			pos:          path.Pos,
		}
		c.items = append(c.items, templateNode.item)
	}
	item := templateNode.item
	if item.declaredPath != path.Template || item.pos != path.Pos || item.template != op.Template {
		c.addProblem(path.Pos, field,
			"%s %s and %s %s (line %d) match the same paths, for example %s: remove one of them",
			op.Method, op.Template, item.firstMethod(), item.template, item.pos.Line, examplePath(segments))
		return
	}
	if item.hasMethod(op.Method) {
		return // two servers of the operation have the same base path
	}
	op.Index = len(c.table.Operations)
	c.table.Operations = append(c.table.Operations, op)
	item.add(op)
	c.table.addLiterals(segments, item)
}

// reportConflicts reports each pair of templates that both match some path, if neither of them is more specific. A
// template without parameters is more specific than any other that matches its path.
func (c *compiler) reportConflicts() {
	order := map[*pathItem]int{}
	for i, item := range c.items {
		order[item] = i
	}
	for _, item := range c.items {
		if !hasParam(item.segments) {
			continue
		}
		c.table.root.visitOverlaps(item.segments, func(other *pathItem) {
			if order[other] >= order[item] || len(c.problems) > maxConflictProblems {
				return
			}
			if example, isConflict := findConflict(item.segments, other.segments); isConflict {
				c.addProblem(item.pos, "paths."+item.declaredPath,
					"%s %s and %s %s (line %d) both match %s and neither is more specific: "+
						"rename one or describe that path separately",
					item.firstMethod(), item.template, other.firstMethod(), other.template, other.pos.Line, example)
			}
		})
	}
}

// addProblem records a problem.
func (c *compiler) addProblem(pos Pos, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.doc.File, pos, field, fmt.Sprintf(format, args...)})
}

// addProblemOnce records a problem unless the same one is already recorded. Declarations of a path or the document are
// read again for each operation, which would otherwise report their problems repeatedly.
func (c *compiler) addProblemOnce(pos Pos, field, format string, args ...any) {
	problem := Problem{c.doc.File, pos, field, fmt.Sprintf(format, args...)}
	if !slices.Contains(c.problems, problem) {
		c.problems = append(c.problems, problem)
	}
}

// sortedProblems returns the first maxProblems problems in the order of the file. If there are more, it appends a
// problem that states the number of the others.
func (c *compiler) sortedProblems() Problems {
	problems := c.problems
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Pos.Line, b.Pos.Line), cmp.Compare(a.Pos.Column, b.Pos.Column))
	})
	if count := len(problems); count > maxProblems {
		rest := Problem{File: c.doc.File, Text: fmt.Sprintf("and %d more problems", count-maxProblems)}
		problems = append(problems[:maxProblems], rest)
	}
	return problems
}

// operationField returns the dotted path of an operation's field in the description, for problems.
func operationField(path *Path, method *Method) string {
	return "paths." + path.Template + "." + strings.ToLower(method.Name)
}
