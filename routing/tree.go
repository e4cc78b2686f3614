package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// node is a node in the tree of templates, with an edge for each segment that may follow.
type node struct {
	literals map[string]*node // by literal segment
	affixed  []edge           // longer literal parts first: of two that match a segment, the narrower
	wildcard *node            // for a parameter alone; nil: none
	item     *pathItem        // of the template that ends here; nil: none
}

// edge is a segment with a parameter between literal parts, at least one of which is not empty.
type edge struct {
	segment segment
	child   *node
}

// insert returns the node of a template, which it adds if there is none.
func (n *node) insert(segments []segment) *node {
	for _, s := range segments {
		n = n.ensureChild(s)
	}
	return n
}

// ensureChild returns the node after a segment, which it adds if there is none.
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
	child := &node{}
	n.affixed = append(n.affixed, edge{s, child})
	slices.SortStableFunc(n.affixed, func(a, b edge) int {
		return cmp.Compare(b.segment.literalLen(), a.segment.literalLen())
	})
	return child
}

// find returns the narrowest item below n that the rest of a path, without a leading slash, matches; nil: none. Of
// two templates that match, one is narrower at every segment, or Compile would have rejected them. So the first
// match is the narrowest if narrower edges are tried first.
func (n *node) find(rest string) *pathItem {
	text, more, isLast := rest, "", true
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		text, more, isLast = rest[:i], rest[i+1:], false
	}
	if child := n.literals[text]; child != nil {
		if item := child.descend(more, isLast); item != nil {
			return item
		}
	}
	for i := range n.affixed {
		if n.affixed[i].segment.matches(text) {
			if item := n.affixed[i].child.descend(more, isLast); item != nil {
				return item
			}
		}
	}
	if n.wildcard != nil && text != "" {
		return n.wildcard.descend(more, isLast)
	}
	return nil
}

// descend continues after a segment: the path ends here, or has more segments.
func (n *node) descend(more string, isLast bool) *pathItem {
	if isLast {
		return n.item
	}
	return n.find(more)
}

// visitOverlaps calls visit for each item below n whose template and segments have a path in common, always in the same
// order.
func (n *node) visitOverlaps(segments []segment, visit func(*pathItem)) {
	if len(segments) == 0 {
		if n.item != nil {
			visit(n.item)
		}
		return
	}
	s := segments[0]
	if !s.isParam {
		if child := n.literals[s.prefix]; child != nil {
			child.visitOverlaps(segments[1:], visit)
		}
	} else {
		for _, text := range slices.Sorted(maps.Keys(n.literals)) {
			if s.matches(text) {
				n.literals[text].visitOverlaps(segments[1:], visit)
			}
		}
	}
	for _, e := range n.affixed {
		if _, ok := s.common(e.segment); ok {
			e.child.visitOverlaps(segments[1:], visit)
		}
	}
	if n.wildcard != nil {
		n.wildcard.visitOverlaps(segments[1:], visit)
	}
}
