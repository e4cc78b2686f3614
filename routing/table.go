package routing

import (
	"time"

	"mulleinmux/policy"
)

// Table is a compiled description. Its invariant: any path matches at most one
// template that no other matching template is narrower than.
type Table struct {
	File       string
	Version    string // info.version of the description
	Operations []*Operation
	Classes    []policy.Class // each named once

	literalPaths      map[string]*pathItem // templates without parameters, by path
	root              *node
	literalDelimiters [256]bool // delimiters in literal parts
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
	it := t.literalPaths[path]
	if it == nil && path != "" {
		it = t.root.find(path[1:])
	}
	if it == nil {
		return nil, "", UnknownPath
	}
	if op = it.operation(method); op != nil {
		return op, "", Found
	}
	if method == "OPTIONS" {
		return nil, it.allowHeader, Preflight
	}
	return nil, it.allowHeader, UnknownMethod
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
