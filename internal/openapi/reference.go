package openapi

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"
)

// localPrefix begins a reference that stays within the file.
const localPrefix = "#/"

// maxReferenceChain is how many references one after another are followed.
const maxReferenceChain = 32

// pointerUnescaper decodes one part of a JSON pointer.
var pointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~", "%7B", "{", "%7D", "}", "%7b", "{", "%7d", "}")

// checkReference checks that a reference stays within the file, has a target and is not
// part of a circular chain.
func (r *reader) checkReference(node *yaml.Node, field string) {
	seen := map[*yaml.Node]bool{}
	for reference := node; ; {
		if !strings.HasPrefix(reference.Value, localPrefix) {
			r.addProblem(node, field,
				"%q lies outside this file and is not fetched: copy what it names into components", reference.Value)
			return
		}
		target := r.lookup(reference.Value)
		if target == nil {
			r.addProblem(node, field, "%q is not in this file", reference.Value)
			return
		}
		if seen[target] {
			r.addProblem(node, field, "%q refers to itself in a circle", node.Value)
			return
		}
		seen[target] = true
		reference = fieldValue(target, "$ref")
		if reference == nil || reference.Kind != yaml.ScalarNode {
			return
		}
	}
}

// lookup follows a JSON pointer from the root, through references on its way. It returns
// nil if the pointer has no target.
func (r *reader) lookup(pointer string) *yaml.Node {
	node := r.root
	for _, part := range pointerParts(pointer) {
		if node = r.dereference(node); node == nil {
			return nil
		}
		if node.Kind == yaml.SequenceNode {
			node = element(node, part)
		} else {
			node = fieldValue(node, pointerUnescaper.Replace(part))
		}
	}
	return node
}

// element returns the element of a sequence that a pointer's part names, or nil.
func element(sequence *yaml.Node, part string) *yaml.Node {
	index := -1
	if _, err := fmt.Sscanf(part, "%d", &index); err != nil || index < 0 || index >= len(sequence.Content) {
		return nil
	}
	return sequence.Content[index]
}

// dereference follows references to a node that is not one. It returns nil if a
// reference has no target or the chain is longer than [maxReferenceChain].
func (r *reader) dereference(node *yaml.Node) *yaml.Node {
	for range maxReferenceChain {
		if node = resolveAlias(node); node == nil {
			return nil
		}
		reference := fieldValue(node, "$ref")
		if reference == nil || reference.Kind != yaml.ScalarNode || !strings.HasPrefix(reference.Value, localPrefix) {
			return node
		}
		target := r.root
		for _, part := range pointerParts(reference.Value) {
			if target = fieldValue(target, pointerUnescaper.Replace(part)); target == nil {
				return nil
			}
		}
		node = target
	}
	return nil
}

// pointerParts splits a local reference into the parts of its JSON pointer.
func pointerParts(pointer string) []string {
	return strings.Split(strings.TrimPrefix(pointer, localPrefix), "/")
}
