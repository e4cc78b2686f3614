package openapi

import (
	"fmt"

	"go.yaml.in/yaml/v4"
)

// Limits on the YAML tree of a description.
const (
	maxNodes = 4_000_000 // number of values, with those of aliases counted at each use
	maxDepth = 200       // nesting depth of values
)

// countingAlias is the value in aliasSizes of an alias target whose size is being counted.
const countingAlias = -1

// limitReported is a node count that marks an excess over a limit as already reported.
const limitReported = 2 * maxNodes

// checkNode checks the tree below a node before it is interpreted: the size with aliases
// expanded, duplicate names, merge keys and references. Duplicate names are rejected because
// some programs would use the first value, such as the units of an operation, and some the
// last.
func (r *reader) checkNode(node *yaml.Node, field string, depth int) {
	if r.nodeCount++; r.nodeCount > maxNodes || depth > maxDepth {
		if r.nodeCount < limitReported {
			r.nodeCount = limitReported
			r.addProblem(node, field, "is too large (limit %d values and a depth of %d, with aliases expanded)",
				maxNodes, maxDepth)
		}
		return
	}
	switch node.Kind {
	case yaml.AliasNode:
		r.checkAlias(node, field, depth)
	case yaml.SequenceNode:
		r.checkSequence(node, field, depth)
	case yaml.MappingNode:
		r.checkMapping(node, field, depth)
	}
}

// checkAlias checks the target of an alias at its first use and counts its size at each use.
func (r *reader) checkAlias(node *yaml.Node, field string, depth int) {
	size, isKnown := r.aliasSizes[node.Alias]
	if size < 0 {
		r.addProblem(node, field, "alias *%s contains itself", node.Value)
		return
	}
	if !isKnown {
		r.aliasSizes[node.Alias] = countingAlias
		before := r.nodeCount
		r.checkNode(node.Alias, field, depth+1)
		r.aliasSizes[node.Alias] = r.nodeCount - before
		return
	}
	if r.nodeCount += size; r.nodeCount > maxNodes && r.nodeCount < limitReported {
		r.nodeCount = limitReported
		r.addProblem(node, field, "is too large with its aliases expanded (limit %d values)", maxNodes)
	}
}

// checkSequence checks the elements of a sequence.
func (r *reader) checkSequence(node *yaml.Node, field string, depth int) {
	for i, element := range node.Content {
		if element.Kind == yaml.ScalarNode {
			r.nodeCount++
			continue
		}
		r.checkNode(element, fmt.Sprintf("%s[%d]", field, i), depth+1)
	}
}

// checkMapping checks the keys and the values of a mapping.
func (r *reader) checkMapping(node *yaml.Node, field string, depth int) {
	firstKeys := make(map[string]*yaml.Node, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if first := firstKeys[key.Value]; first != nil {
			r.addProblem(key, joinField(field, key.Value), "duplicate name: first declared at line %d", first.Line)
		}
		firstKeys[key.Value] = key
		switch {
		case key.Kind != yaml.ScalarNode:
			r.addProblem(key, field, "mapping key must be a scalar")
		case isMergeKey(key):
			r.addProblem(key, field, "merge keys (<<) are not supported: write the fields out, or use $ref")
		case key.Value == "$ref" && value.Kind == yaml.ScalarNode:
			r.checkReference(value, joinField(field, "$ref"))
		case value.Kind != yaml.ScalarNode:
			r.checkNode(value, joinField(field, key.Value), depth+1)
		default:
			r.nodeCount++
		}
	}
}

// isMergeKey reports whether a key is an unquoted YAML merge key (<<).
func isMergeKey(key *yaml.Node) bool {
	return key.Value == "<<" && key.Style&(yaml.SingleQuotedStyle|yaml.DoubleQuotedStyle) == 0
}
