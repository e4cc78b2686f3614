package routing

import (
	"slices"
	"sort"
	"strings"
)

// node is a place in the tree of templates.
type node struct {
	literals map[string]*node
	affixed  []edge // the longer literal parts first: of two that nest, the narrower
	wildcard *node
	item     *pathItem
}

type edge struct {
	segment segment
	child   *node
}

// insert returns the node of a template, made where there is none.
func (n *node) insert(segs []segment) *node {
	for _, s := range segs {
		n = n.ensureChild(s)
	}
	return n
}

func (n *node) ensureChild(s segment) *node {
	switch {
	case !s.isParam:
		if n.literals == nil {
			n.literals = map[string]*node{}
		}
		if n.literals[s.prefix] == nil {
			n.literals[s.prefix] = &node{}
		}
		return n.literals[s.prefix]
	case s.prefix == "" && s.suffix == "":
		if n.wildcard == nil {
			n.wildcard = &node{}
		}
		return n.wildcard
	}
	for _, e := range n.affixed {
		if e.segment == s {
			return e.child
		}
	}
	to := &node{}
	n.affixed = append(n.affixed, edge{s, to})
	sort.SliceStable(n.affixed, func(i, j int) bool {
		a, b := n.affixed[i].segment, n.affixed[j].segment
		return len(a.prefix)+len(a.suffix) > len(b.prefix)+len(b.suffix)
	})
	return to
}

// find returns the narrowest item below n that the rest of a path matches, or nil. The
// rest has no slash ahead. Where two templates match, one is narrower at every segment,
// or Compile would have refused them: the first found by trying the narrower edge first.
func (n *node) find(rest string) *pathItem {
	seg, more, last := rest, "", true
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		seg, more, last = rest[:i], rest[i+1:], false
	}
	if to := n.literals[seg]; to != nil {
		if it := to.descend(more, last); it != nil {
			return it
		}
	}
	for i := range n.affixed {
		if n.affixed[i].segment.matches(seg) {
			if it := n.affixed[i].child.descend(more, last); it != nil {
				return it
			}
		}
	}
	if n.wildcard != nil && seg != "" {
		return n.wildcard.descend(more, last)
	}
	return nil
}

func (n *node) descend(more string, last bool) *pathItem {
	if last {
		return n.item
	}
	return n.find(more)
}

// visitOverlaps calls f for each item below n whose template and segs have a path in common.
func (n *node) visitOverlaps(segs []segment, f func(*pathItem)) {
	if len(segs) == 0 {
		if n.item != nil {
			f(n.item)
		}
		return
	}
	s := segs[0]
	if !s.isParam {
		if to := n.literals[s.prefix]; to != nil {
			to.visitOverlaps(segs[1:], f)
		}
	} else {
		for text, to := range n.literals {
			if s.matches(text) {
				to.visitOverlaps(segs[1:], f)
			}
		}
	}
	for _, e := range n.affixed {
		if _, ok := s.common(e.segment); ok {
			e.child.visitOverlaps(segs[1:], f)
		}
	}
	if n.wildcard != nil {
		n.wildcard.visitOverlaps(segs[1:], f)
	}
}

// pathItem is what stands at one path: its operations by method.
type pathItem struct {
	template     string
	segments     []segment
	declaredPath string // path as the document writes it
	pos          Pos
	operations   []*Operation
	get          *Operation // the most frequent method
	allowHeader  string     // value of an Allow header
}

func (it *pathItem) operation(method string) *Operation {
	if method == "GET" {
		return it.get
	}
	for _, o := range it.operations {
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

func (it *pathItem) firstMethod() string {
	if len(it.operations) == 0 {
		return ""
	}
	return it.operations[0].Method
}

// buildAllowHeader is the value of an Allow header: what is described, and what follows from it.
func (it *pathItem) buildAllowHeader() string {
	var ms []string
	for _, o := range it.operations {
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
