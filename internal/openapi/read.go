// Package openapi reads OpenAPI 3.0 and 3.1 descriptions, in YAML or JSON, into the
// form that package contract compiles. It reads the one file that it is given: what a
// description refers to outside itself is a problem, and never fetched.
package openapi

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"go.yaml.in/yaml/v4"

	"mulleinmux/routing"
)

// Bounds on a description.
const (
	MaxBytes = 16 << 20  // its length
	maxNodes = 4_000_000 // its values, with what aliases stand for counted each time
	maxDepth = 200       // how deep its values nest
	mostTold = 100       // problems that are told

	// From largeText bytes on, memory is collected between two steps of reading and at a
	// quicker pace until the end: the trees of a large text are short-lived.
	largeText = 1 << 20
	largeGC   = 30 // percent, as GOGC
)

// extension is the name of our own field.
const extension = "x-mulleinmux"

// Description is a description that was read.
type Description struct {
	Doc  *routing.Document
	spec *openapi3.T
}

// Read parses and validates a description. file names it in problems. The error is
// [routing.Problems].
func Read(file string, text []byte) (*Description, error) {
	r := &reader{file: file, text: text, sizes: map[*yaml.Node]int{}}
	if len(text) > MaxBytes {
		r.problem(nil, "", "is %d bytes long: %d are the most", len(text), MaxBytes)
		return nil, r.problems
	}
	if r.parse(); len(r.problems) > 0 {
		return nil, r.problems
	}
	r.nodes(r.root, "", 0)
	if v := get(r.root, "openapi"); len(r.problems) == 0 && (v == nil || !strings.HasPrefix(v.Value, "3.0.") && !strings.HasPrefix(v.Value, "3.1.")) {
		r.problem(orNode(v, r.root), "openapi", "version 3.0 or 3.1 is wanted")
	}
	if r.ids(); len(r.problems) > 0 {
		return nil, r.problems
	}
	doc := r.outline()
	r.root, r.sizes = nil, nil // as large as all that follows: it is not held through that
	if len(text) > largeText {
		runtime.GC() // or the library's trees would be laid beside this one
		defer debug.SetGCPercent(debug.SetGCPercent(largeGC))
	}
	spec, err := openapi3.NewLoader().LoadFromData(text) // refers to nothing outside: that was checked above
	if err != nil {
		r.library(err)
		return nil, r.problems
	}
	// Examples show; they decide nothing. The library does not know path items as components.
	err = spec.Validate(context.Background(), openapi3.EnableMultiError(), openapi3.DisableExamplesValidation(),
		openapi3.DisableSchemaPatternValidation(), openapi3.AllowExtraSiblingFields("pathItems"))
	if err != nil {
		r.library(err)
		return nil, r.problems
	}
	r.fill(doc, spec)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return &Description{Doc: doc, spec: spec}, nil
}

// Compile reads a description and compiles it.
func Compile(file string, text []byte, opt routing.Options) (*routing.Table, *Description, error) {
	d, err := Read(file, text)
	if err != nil {
		return nil, nil, err
	}
	t, err := routing.Compile(d.Doc, opt)
	return t, d, err
}

type reader struct {
	file     string
	text     []byte
	root     *yaml.Node         // nil once what is needed of it was taken
	sizes    map[*yaml.Node]int // of what aliases stand for; -1 while being counted
	total    int
	problems routing.Problems
}

// parse makes the tree.
func (r *reader) parse() {
	var root yaml.Node
	if err := yaml.Unmarshal(r.text, &root); err != nil {
		r.problems = append(r.problems, routing.Problem{File: r.file, Text: strings.TrimSpace(err.Error())})
		return
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode {
		r.problem(&root, "", "is no OpenAPI description: an object with openapi, info and paths is wanted")
		return
	}
	r.root = root.Content[0]
}

func (r *reader) problem(n *yaml.Node, field, format string, args ...any) {
	p := routing.Problem{File: r.file, Field: field, Text: fmt.Sprintf(format, args...)}
	if n != nil {
		p.Pos = routing.Pos{Line: n.Line, Column: n.Column}
	}
	if len(r.problems) < mostTold {
		r.problems = append(r.problems, p)
	}
}

// nodes checks the tree before anything interprets it: its size with aliases spelt out,
// names that stand twice, merge keys and references. A name that stands twice would let
// the last cost win in one program and the first in another.
func (r *reader) nodes(n *yaml.Node, at string, depth int) {
	if r.total++; r.total > maxNodes || depth > maxDepth {
		if r.total < 2*maxNodes {
			r.total = 2 * maxNodes // once
			r.problem(n, at, "is too large: %d values and a depth of %d are the most, aliases spelt out", maxNodes, maxDepth)
		}
		return
	}
	switch n.Kind {
	case yaml.AliasNode:
		size, seen := r.sizes[n.Alias]
		if size < 0 {
			r.problem(n, at, "alias *%s holds itself", n.Value)
			return
		}
		if !seen {
			r.sizes[n.Alias] = -1
			before := r.total
			r.nodes(n.Alias, at, depth+1)
			r.sizes[n.Alias] = r.total - before
			return
		}
		if r.total += size; r.total > maxNodes && r.total < 2*maxNodes {
			r.total = 2 * maxNodes
			r.problem(n, at, "is too large with its aliases spelt out: %d values are the most", maxNodes)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			if c.Kind != yaml.ScalarNode {
				r.nodes(c, fmt.Sprintf("%s[%d]", at, i), depth+1)
			} else {
				r.total++
			}
		}
	case yaml.MappingNode:
		first := make(map[string]*yaml.Node, len(n.Content)/2)
		for i := 0; i+1 < len(n.Content); i += 2 {
			key, val := n.Content[i], n.Content[i+1]
			if other := first[key.Value]; other != nil {
				r.problem(key, join(at, key.Value), "stands twice: first at line %d", other.Line)
			}
			first[key.Value] = key
			switch {
			case key.Kind != yaml.ScalarNode:
				r.problem(key, at, "a name is wanted before the colon")
			case key.Value == "<<" && key.Style&(yaml.SingleQuotedStyle|yaml.DoubleQuotedStyle) == 0:
				r.problem(key, at, "merge keys (<<) are not read: write the fields out, or use $ref")
			case key.Value == "$ref" && val.Kind == yaml.ScalarNode:
				r.reference(val, join(at, "$ref"))
			case val.Kind != yaml.ScalarNode:
				r.nodes(val, join(at, key.Value), depth+1)
			default:
				r.total++
			}
		}
	}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

// reference checks that a reference stays within the file, leads somewhere and is no
// chain that comes back to itself.
func (r *reader) reference(n *yaml.Node, at string) {
	seen := map[*yaml.Node]bool{}
	for ref := n; ; {
		if !strings.HasPrefix(ref.Value, "#/") {
			r.problem(n, at, "%q lies outside this file and is not fetched: copy what it names into components", ref.Value)
			return
		}
		to := r.lookup(ref.Value)
		if to == nil {
			r.problem(n, at, "%q is not in this file", ref.Value)
			return
		}
		if seen[to] {
			r.problem(n, at, "%q refers to itself in a circle", n.Value)
			return
		}
		seen[to] = true
		if ref = get(to, "$ref"); ref == nil || ref.Kind != yaml.ScalarNode {
			return
		}
	}
}

// ids checks that each operationId stands once: the library says so without the lines.
func (r *reader) ids() {
	first := map[string]*yaml.Node{}
	paths := get(r.root, "paths")
	for i := 0; paths != nil && i+1 < len(paths.Content); i += 2 {
		item := r.deref(paths.Content[i+1])
		for j := 0; item != nil && item.Kind == yaml.MappingNode && j+1 < len(item.Content); j += 2 {
			id := get(item.Content[j+1], "operationId")
			if id == nil {
				continue
			}
			if other := first[id.Value]; other != nil {
				r.problem(id, "paths."+paths.Content[i].Value+"."+item.Content[j].Value+".operationId",
					"%q names the operation at line %d too: give each its own", id.Value, other.Line)
				continue
			}
			first[id.Value] = id
		}
	}
}

var unescape = strings.NewReplacer("~1", "/", "~0", "~", "%7B", "{", "%7D", "}", "%7b", "{", "%7d", "}")

// lookup follows a JSON pointer from the root, through references on its way.
func (r *reader) lookup(pointer string) *yaml.Node {
	n := r.root
	for _, part := range strings.Split(strings.TrimPrefix(pointer, "#/"), "/") {
		if n = r.deref(n); n == nil {
			return nil
		}
		if n.Kind == yaml.SequenceNode {
			i := -1
			if _, err := fmt.Sscanf(part, "%d", &i); err != nil || i < 0 || i >= len(n.Content) {
				return nil
			}
			n = n.Content[i]
			continue
		}
		n = get(n, unescape.Replace(part))
	}
	return n
}

// deref follows references to a node that is none.
func (r *reader) deref(n *yaml.Node) *yaml.Node {
	for range 32 {
		if n = plain(n); n == nil {
			return nil
		}
		ref := get(n, "$ref")
		if ref == nil || ref.Kind != yaml.ScalarNode || !strings.HasPrefix(ref.Value, "#/") {
			return n
		}
		to := r.root
		for _, part := range strings.Split(strings.TrimPrefix(ref.Value, "#/"), "/") {
			if to = get(plain(to), unescape.Replace(part)); to == nil {
				return nil
			}
		}
		n = to
	}
	return nil
}

// plain is what an alias stands for.
func plain(n *yaml.Node) *yaml.Node {
	for n != nil && n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	return n
}

// entry returns a field's name and value, or nil.
func entry(n *yaml.Node, name string) (key, val *yaml.Node) {
	if n = plain(n); n == nil || n.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i], plain(n.Content[i+1])
		}
	}
	return nil, nil
}

func get(n *yaml.Node, name string) *yaml.Node {
	_, val := entry(n, name)
	return val
}

func orNode(a, b *yaml.Node) *yaml.Node {
	if a != nil {
		return a
	}
	return b
}

func pos(n *yaml.Node) routing.Pos {
	if n == nil {
		return routing.Pos{}
	}
	return routing.Pos{Line: n.Line, Column: n.Column}
}

// library takes over what the library found, each with the nearest place that its
// error names.
func (r *reader) library(err error) {
	if many, ok := errors.AsType[openapi3.MultiError](err); ok {
		for _, e := range many {
			r.library(e)
		}
		return
	}
	if r.root == nil {
		r.parse() // once more, for the places
	}
	n, field := r.root, ""
	at := func(name string) {
		if key, val := entry(n, name); key != nil {
			r := *key // the name's place, the value's content
			r.Kind, r.Content = val.Kind, val.Content
			n = &r
		}
		field = join(field, name)
	}
	var section *openapi3.SectionValidationError
	if errors.As(err, &section) {
		at(section.Section)
	}
	var component *openapi3.ComponentValidationError
	if errors.As(err, &component) {
		for _, key := range []string{component.Section, component.Section + "s"} {
			if key, _ := entry(n, key); key != nil {
				at(key.Value)
				break
			}
		}
		at(component.Name)
	}
	var path *openapi3.PathValidationError
	if errors.As(err, &path) {
		at(path.Path)
	}
	var op *openapi3.OperationValidationError
	if errors.As(err, &op) {
		at(strings.ToLower(op.Method))
	}
	r.problem(n, field, "%s", strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", " "))
}

// outline takes over places and extensions of all paths and operations.
func (r *reader) outline() *routing.Document {
	doc := &routing.Document{File: r.file, Extension: r.rules(r.root)}
	paths := get(r.root, "paths")
	if paths == nil || paths.Kind != yaml.MappingNode {
		return doc
	}
	for i := 0; i+1 < len(paths.Content); i += 2 {
		key, node := paths.Content[i], r.deref(paths.Content[i+1])
		p := routing.Path{Template: key.Value, Pos: pos(key), Extension: r.rules(node)}
		for j := 0; node != nil && node.Kind == yaml.MappingNode && j+1 < len(node.Content); j += 2 {
			name := strings.ToUpper(node.Content[j].Value)
			if slices.Contains(methods, name) && node.Content[j].Value == strings.ToLower(name) {
				p.Methods = append(p.Methods, routing.Method{Name: name, Pos: pos(node.Content[j]), Extension: r.rules(plain(node.Content[j+1]))})
			}
		}
		doc.Paths = append(doc.Paths, p)
	}
	return doc
}

var methods = []string{"GET", "PUT", "POST", "DELETE", "OPTIONS", "HEAD", "PATCH", "TRACE"}

// fill takes over the content from the library, with references resolved.
func (r *reader) fill(doc *routing.Document, spec *openapi3.T) {
	doc.Version = spec.Info.Version
	known := doc.Paths[:0]
	for _, p := range doc.Paths {
		item := spec.Paths.Value(p.Template)
		if item == nil {
			continue // an extension
		}
		for i := range p.Methods {
			if op := item.GetOperation(p.Methods[i].Name); op != nil {
				r.method(spec, item, op, &p.Methods[i], p.Template)
			}
		}
		known = append(known, p)
	}
	doc.Paths = known
}

func (r *reader) method(spec *openapi3.T, item *openapi3.PathItem, op *openapi3.Operation, m *routing.Method, path string) {
	m.ID = op.OperationID
	servers := spec.Servers
	if len(item.Servers) > 0 {
		servers = item.Servers
	}
	if op.Servers != nil && len(*op.Servers) > 0 {
		servers = *op.Servers
	}
	for _, s := range servers {
		base, err := basePath(s)
		if err != nil {
			r.problems = append(r.problems, routing.Problem{File: r.file, Pos: m.Pos,
				Field: "paths." + path + "." + strings.ToLower(m.Name) + ".servers", Text: err.Error()})
		}
		m.BasePaths = append(m.BasePaths, base)
	}
	seen := map[[2]string]bool{}
	for _, params := range []openapi3.Parameters{op.Parameters, item.Parameters} {
		for _, ref := range params {
			if p := ref.Value; p != nil && !seen[[2]string{p.In, p.Name}] {
				seen[[2]string{p.In, p.Name}] = true
				param := routing.Param{Name: p.Name, In: p.In}
				if s := schema(p.Schema, 0); s != nil {
					param.Schema = *s
				}
				m.Params = append(m.Params, param)
			}
		}
	}
	if op.RequestBody != nil && op.RequestBody.Value != nil {
		if media := op.RequestBody.Value.Content.Get("application/json"); media != nil {
			m.Body = schema(media.Schema, 0)
		}
	}
}

// mostParts bounds the schemas that are looked through for one property.
const mostParts = 16

// schema takes over a schema; its properties are looked up when they are asked for, so
// that one which holds itself has an end.
func schema(ref *openapi3.SchemaRef, depth int) *routing.Schema {
	if ref == nil || ref.Value == nil || depth > mostParts {
		return nil
	}
	s := ref.Value
	out := &routing.Schema{Integer: s.Type.Is("integer"), Minimum: s.Min, Maximum: s.Max}
	out.Properties = func(name string) *routing.Schema {
		if p := s.Properties[name]; p != nil {
			return schema(p, 0)
		}
		for _, part := range s.AllOf {
			if sub := schema(part, depth+1); sub != nil {
				if p := sub.Properties(name); p != nil {
					return p
				}
			}
		}
		return nil
	}
	return out
}

// basePath is the path of a server's address, with the defaults of its variables.
func basePath(s *openapi3.Server) (string, error) {
	url := s.URL
	for name, v := range s.Variables {
		if strings.Contains(url, "{"+name+"}") {
			if len(v.Enum) > 1 && strings.Contains(path(url), "{"+name+"}") {
				return "", fmt.Errorf("server %q: variable %q in the path has several values: list the servers one by one", s.URL, name)
			}
			url = strings.ReplaceAll(url, "{"+name+"}", v.Default)
		}
	}
	p := path(url)
	if p != "" && !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "{}?#") {
		return "", fmt.Errorf("server %q: a URL or a path that begins with a slash is wanted", s.URL)
	}
	return strings.TrimRight(p, "/"), nil
}

// path is what stands behind scheme and host.
func path(url string) string {
	_, rest, full := strings.Cut(url, "://")
	if !full {
		return url
	}
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return ""
}

// rules returns a node's own extension, or nil.
func (r *reader) rules(n *yaml.Node) *routing.Value {
	_, val := entry(n, extension)
	if val == nil {
		return nil
	}
	v := value(val, 0)
	return &v
}

func value(n *yaml.Node, depth int) routing.Value {
	v := routing.Value{Pos: pos(n), Kind: routing.OtherValue}
	if n = plain(n); n == nil || depth > 8 {
		return v
	}
	switch n.Kind {
	case yaml.MappingNode:
		v.Kind = routing.MappingValue
		for i := 0; i+1 < len(n.Content); i += 2 {
			v.Fields = append(v.Fields, routing.Field{Name: n.Content[i].Value, Pos: pos(n.Content[i]), Value: value(n.Content[i+1], depth+1)})
		}
	case yaml.ScalarNode:
		v.Text = n.Value
		switch n.ShortTag() {
		case "!!int", "!!float":
			v.Kind = routing.NumberValue
		case "!!bool":
			v.Kind = routing.BoolValue
		case "!!str":
			v.Kind = routing.TextValue
		}
	}
	return v
}
