package routing

import (
	"fmt"
	"net/url"
	"sort"
	"strings"
	"time"

	"mulleinmux/policy"
)

// Class is what an operator's file says of a class: what its requests are worth, and
// the figures of operations that declare none.
type Class struct {
	Name             string
	PriorityWeight   float64
	LateFraction     float64 // share of Worth between Aim and Deadline
	LatencyObjective time.Duration
	Deadline         time.Duration
}

// Options go with a description.
type Options struct {
	Classes  []Class
	MaxUnits int // of one request; 0: no limit
}

// Operation is one operation of a description. It does not change.
type Operation struct {
	ID        string // operationId, or method and path
	Method    string
	Template  string // with its base path
	Pos       Pos
	Index     int // among the table's operations, from 0
	Class     policy.Class
	KeySource ParamSource // where a keyed operation's key stands
	Units     Units
	// Inherited names what an operation that changes something takes from the document's
	// extension, which is easily forgotten when one is added: class, units.
	InheritedFields []string

	table *Table
	path  string // template as written
}

// Table is a compiled description. Its invariant: any path matches at most one
// template that no other matching template is narrower than.
type Table struct {
	File       string
	Version    string // info.version of the description
	Operations []*Operation
	Classes    []policy.Class // each named once

	static        map[string]*item // templates without parameters, by path
	root          *node
	literalDelims [256]bool // delimiters in literal parts
}

// item is what stands at one path: its operations by method.
type item struct {
	template string
	segs     []segment
	from     string // path as the document writes it
	pos      Pos
	ops      []*Operation
	get      *Operation // the most frequent method
	allow    string     // value of an Allow header
}

func (it *item) op(method string) *Operation {
	if method == "GET" {
		return it.get
	}
	for _, o := range it.ops {
		if o.Method == method {
			return o
		}
	}
	if method == "HEAD" {
		// RFC 9110, 9.3.2: HEAD asks for what GET would answer, without its content.
		return it.get
	}
	return nil
}

// segment is one segment of a template: a literal, or a parameter between two literal
// parts, either of which may be empty.
type segment struct {
	param          bool
	prefix, suffix string // prefix is the whole of a literal
}

// node is a place in the tree of templates.
type node struct {
	literals map[string]*node
	mixed    []edge // the longer literal parts first: of two that nest, the narrower
	wild     *node
	item     *item
}

type edge struct {
	seg segment
	to  *node
}

// matches tells whether a segment of a path is one that the template's stands for.
func (s segment) matches(text string) bool {
	if !s.param {
		return text == s.prefix
	}
	return len(text) > len(s.prefix)+len(s.suffix) && strings.HasPrefix(text, s.prefix) && strings.HasSuffix(text, s.suffix)
}

// within tells whether all that s stands for, o stands for too.
func (s segment) within(o segment) bool {
	if !o.param {
		return !s.param && s.prefix == o.prefix
	}
	if !s.param {
		return o.matches(s.prefix)
	}
	return strings.HasPrefix(s.prefix, o.prefix) && strings.HasSuffix(s.suffix, o.suffix)
}

// common returns a text that both stand for, or false.
func (s segment) common(o segment) (string, bool) {
	switch {
	case !s.param:
		return s.prefix, o.matches(s.prefix)
	case !o.param:
		return o.prefix, s.matches(o.prefix)
	}
	p, q := s.prefix, o.prefix
	if len(p) < len(q) {
		p, q = q, p
	}
	x, y := s.suffix, o.suffix
	if len(x) < len(y) {
		x, y = y, x
	}
	return p + "x" + x, strings.HasPrefix(p, q) && strings.HasSuffix(x, y)
}

// insert returns the node of a template, made where there is none.
func (n *node) insert(segs []segment) *node {
	for _, s := range segs {
		n = n.child(s)
	}
	return n
}

func (n *node) child(s segment) *node {
	switch {
	case !s.param:
		if n.literals == nil {
			n.literals = map[string]*node{}
		}
		if n.literals[s.prefix] == nil {
			n.literals[s.prefix] = &node{}
		}
		return n.literals[s.prefix]
	case s.prefix == "" && s.suffix == "":
		if n.wild == nil {
			n.wild = &node{}
		}
		return n.wild
	}
	for _, e := range n.mixed {
		if e.seg == s {
			return e.to
		}
	}
	to := &node{}
	n.mixed = append(n.mixed, edge{s, to})
	sort.SliceStable(n.mixed, func(i, j int) bool {
		a, b := n.mixed[i].seg, n.mixed[j].seg
		return len(a.prefix)+len(a.suffix) > len(b.prefix)+len(b.suffix)
	})
	return to
}

// find returns the narrowest item below n that the rest of a path matches, or nil. The
// rest has no slash ahead. Where two templates match, one is narrower at every segment,
// or Compile would have refused them: the first found by trying the narrower edge first.
func (n *node) find(rest string) *item {
	seg, more, last := rest, "", true
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		seg, more, last = rest[:i], rest[i+1:], false
	}
	if to := n.literals[seg]; to != nil {
		if it := to.down(more, last); it != nil {
			return it
		}
	}
	for i := range n.mixed {
		if n.mixed[i].seg.matches(seg) {
			if it := n.mixed[i].to.down(more, last); it != nil {
				return it
			}
		}
	}
	if n.wild != nil && seg != "" {
		return n.wild.down(more, last)
	}
	return nil
}

func (n *node) down(more string, last bool) *item {
	if last {
		return n.item
	}
	return n.find(more)
}

// MatchResult says what a request's method and path come to.
type MatchResult int

const (
	Found         MatchResult = iota
	UnknownPath               // no template matches
	UnknownMethod             // the path is known, the method is not: see Allow
	Preflight                 // OPTIONS of a known path that describes none: see Allow
)

// Match finds the operation of a method and a path, which must have passed
// [Table.CheckPath]. It makes no allocation. With UnknownMethod and Preflight, allow is the
// value of an Allow header. HEAD is the operation GET where none of its own is described.
func (t *Table) Match(method, path string) (op *Operation, allow string, a MatchResult) {
	it := t.static[path]
	if it == nil && path != "" {
		it = t.root.find(path[1:])
	}
	if it == nil {
		return nil, "", UnknownPath
	}
	if op = it.op(method); op != nil {
		return op, "", Found
	}
	if method == "OPTIONS" {
		return nil, it.allow, Preflight
	}
	return nil, it.allow, UnknownMethod
}

// overlaps calls f for each item below n whose template and segs have a path in common.
func (n *node) overlaps(segs []segment, f func(*item)) {
	if len(segs) == 0 {
		if n.item != nil {
			f(n.item)
		}
		return
	}
	s := segs[0]
	if !s.param {
		if to := n.literals[s.prefix]; to != nil {
			to.overlaps(segs[1:], f)
		}
	} else {
		for text, to := range n.literals {
			if s.matches(text) {
				to.overlaps(segs[1:], f)
			}
		}
	}
	for _, e := range n.mixed {
		if _, ok := s.common(e.seg); ok {
			e.to.overlaps(segs[1:], f)
		}
	}
	if n.wild != nil {
		n.wild.overlaps(segs[1:], f)
	}
}

// conflict returns a path that both templates match if neither is the narrower.
func conflict(a, b []segment) (example string, bad bool) {
	aIn, bIn := true, true
	for i := range a {
		text, ok := a[i].common(b[i])
		if !ok {
			return "", false
		}
		example += "/" + text
		aIn = aIn && a[i].within(b[i])
		bIn = bIn && b[i].within(a[i])
	}
	return example, aIn == bIn
}

// parseTemplate splits a template into segments, with literals in the one spelling that
// [Table.CheckPath] lets pass.
func parseTemplate(text string) ([]segment, []string, error) {
	if !strings.HasPrefix(text, "/") {
		return nil, nil, fmt.Errorf("path %q does not begin with a slash", text)
	}
	var segs []segment
	var names []string
	seen := map[string]bool{}
	parts := strings.Split(text[1:], "/")
	for i, part := range parts {
		open, end := strings.IndexByte(part, '{'), strings.IndexByte(part, '}')
		if open < 0 && end < 0 {
			lit := escape(part)
			if part == "" && !(i == len(parts)-1) {
				return nil, nil, fmt.Errorf("path %q has an empty segment", text)
			}
			if reason := checkPath("/"+lit, &allDelims); part != "" && reason != "" {
				return nil, nil, fmt.Errorf("segment %q: %s", part, reason)
			}
			segs = append(segs, segment{prefix: lit})
			continue
		}
		if open < 0 || end < open+2 || strings.ContainsAny(part[end+1:], "{}") || strings.Count(part, "{") != 1 {
			return nil, nil, fmt.Errorf("segment %q: one parameter in braces is wanted, such as {id} or {id}.pdf", part)
		}
		name := part[open+1 : end]
		if seen[name] {
			return nil, nil, fmt.Errorf("parameter %q stands twice in the path", name)
		}
		seen[name] = true
		names = append(names, name)
		s := segment{param: true, prefix: escape(part[:open]), suffix: escape(part[end+1:])}
		if reason := checkPath("/"+s.prefix+"x"+s.suffix, &allDelims); reason != "" {
			return nil, nil, fmt.Errorf("segment %q: %s", part, reason)
		}
		segs = append(segs, s)
	}
	return segs, names, nil
}

// allDelims holds a template to one spelling of each delimiter.
var allDelims = func() (t [256]bool) {
	for c := range t {
		t[c] = pathByte[c] == 2
	}
	return t
}()

// escape writes what may not stand bare in a path in percent-encoding, and leaves what
// is encoded already.
func escape(s string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if c := s[i]; pathByte[c] != 0 || c == '%' {
			b.WriteByte(c)
		} else {
			b.WriteByte('%')
			b.WriteByte(hex[c>>4])
			b.WriteByte(hex[c&15])
		}
	}
	return b.String()
}

// PathParams returns the path of the operation as its document writes it, and the values that
// its parameters have, decoded, in a target that was matched to it.
func (o *Operation) PathParams(target string) (template string, values map[string]string) {
	path, _, _ := strings.Cut(target, "?")
	values = map[string]string{}
	segs, names, err := parseTemplate(o.Template)
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if err != nil || len(parts) != len(segs) {
		return o.path, values
	}
	for i, s := range segs {
		if s.param && s.matches(parts[i]) {
			v := parts[i][len(s.prefix) : len(parts[i])-len(s.suffix)]
			if d, err := url.PathUnescape(v); err == nil {
				v = d
			}
			values[names[0]], names = v, names[1:]
		}
	}
	return o.path, values
}

// KeyLifetimes is the longest time over which a client repeats a request that has a key, and the shortest for which halls drop
// repeats, as declared; 0 without such operations.
func (t *Table) KeyLifetimes() (deadline, window time.Duration) {
	for _, op := range t.Operations {
		if c := &op.Class; op.KeySource.In != InNowhere {
			if deadline = max(deadline, c.Deadline); window == 0 || c.DedupWindow < window {
				window = c.DedupWindow
			}
		}
	}
	return deadline, window
}
