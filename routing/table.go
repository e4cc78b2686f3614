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

// MatchResult says whether a request's method and path have an operation.
type MatchResult int

// The results.
const (
	Found         MatchResult = iota
	UnknownPath               // no template matches
	UnknownMethod             // the path is known, the method is not: see the Allow header
	Preflight                 // OPTIONS of a known path that describes none: see the Allow header
)

// Match finds the operation of a method and a path, which must have passed
// [Table.CheckPath]. It makes no allocation. With UnknownMethod and Preflight, allow is the
// value of an Allow header. HEAD is the operation GET where none of its own is described.
func (t *Table) Match(method, path string) (op *Operation, allow string, result MatchResult) {
	item := t.literalPaths[path]
	if item == nil && path != "" {
		item = t.root.find(path[1:])
	}
	if item == nil {
		return nil, "", UnknownPath
	}
	if op = item.operation(method); op != nil {
		return op, "", Found
	}
	if method == "OPTIONS" {
		return nil, item.allowHeader, Preflight
	}
	return nil, item.allowHeader, UnknownMethod
}

// KeyLifetimes returns the longest time over which a client repeats a request that has an idempotency key, and the
// shortest over which servers drop repeats, as declared; 0 without such operations.
func (t *Table) KeyLifetimes() (deadline, dedupWindow time.Duration) {
	for _, op := range t.Operations {
		if op.KeySource.In == InNowhere {
			continue
		}
		deadline = max(deadline, op.Class.Deadline)
		if dedupWindow == 0 || op.Class.DedupWindow < dedupWindow {
			dedupWindow = op.Class.DedupWindow
		}
	}
	return deadline, dedupWindow
}

// addLiterals enters the literal parts of a template, and its whole path where it has no parameters.
func (t *Table) addLiterals(segments []segment, item *pathItem) {
	path := ""
	for _, s := range segments {
		path += "/" + s.prefix
		t.addDelimiters(s.prefix)
		t.addDelimiters(s.suffix)
	}
	if !hasParam(segments) {
		t.literalPaths[path] = item
	}
}

func (t *Table) addDelimiters(literal string) {
	for i := range len(literal) {
		c := literal[i]
		t.literalDelimiters[c] = pathBytes[c] == delimiter
	}
}
