package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// node is a node in the tree of templates. It has an edge for each segment that can follow.
type node struct {
	literals map[string]*node // by literal segment
	affixed  []edge           // longest literal parts first, so that the first match is the most specific
	wildcard *node            // for a segment that is only a parameter; nil if there is none
	item     *pathItem        // of the template that ends at this node; nil if there is none
}

// edge leads to the child for a segment that has a parameter and a literal prefix, suffix or both.
type edge struct {
	segment segment
	child   *node
}

// insert returns the node at the end of a template, and adds missing nodes on the way to it.
func (n *node) insert(segments []segment) *node {
	for _, s := range segments {
		n = n.ensureChild(s)
	}
	return n
}

// ensureChild returns the child for a segment, and adds it if it is missing.
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

// find returns the item of the most specific template below n that matches the rest of a path, or nil if none does.
// rest has no leading slash. Of two templates that match, one is at least as specific at every segment, since [Compile]
// rejects conflicting templates. Therefore find tries more specific edges first and returns the first match.
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

// descend returns the item at n if the matched segment was the last one of the path, and otherwise continues the search
// with the rest of the path.
func (n *node) descend(more string, isLast bool) *pathItem {
	if isLast {
		return n.item
	}
	return n.find(more)
}

// visitOverlaps calls visit for each item below n whose template matches a path that the segments also match. The order
// of the calls is deterministic.
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
		if _, ok := s.commonText(e.segment); ok {
			e.child.visitOverlaps(segments[1:], visit)
		}
	}
	if n.wildcard != nil {
		n.wildcard.visitOverlaps(segments[1:], visit)
	}
}
