package openapi

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"
)

// localPrefix is the prefix of references to the same file.
const localPrefix = "#/"

// maxReferenceChain is the maximum number of references in a chain that is followed.
const maxReferenceChain = 32

// pointerUnescaper decodes one reference token of a JSON pointer (RFC 6901).
var pointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~", "%7B", "{", "%7D", "}", "%7b", "{", "%7d", "}")

// checkReference checks that a reference is to the same file, has a target and does not lead
// into a circular chain.
func (r *reader) checkReference(node *yaml.Node, field string) {
	seen := map[*yaml.Node]bool{}
	for reference := node; ; {
		if !strings.HasPrefix(reference.Value, localPrefix) {
			r.addProblem(node, field,
				"%q refers outside this file and is not fetched: copy its target into components", reference.Value)
			return
		}
		target := r.lookup(reference.Value)
		if target == nil {
			r.addProblem(node, field, "%q is not in this file", reference.Value)
			return
		}
		if seen[target] {
			r.addProblem(node, field, "%q is a circular reference", node.Value)
			return
		}
		seen[target] = true
		reference = fieldValue(target, "$ref")
		if reference == nil || reference.Kind != yaml.ScalarNode {
			return
		}
	}
}

// lookup returns the node that a JSON pointer identifies, and follows references on the way
// to it. It returns nil if the pointer has no target.
func (r *reader) lookup(pointer string) *yaml.Node {
	node := r.root
	for _, token := range referenceTokens(pointer) {
		if node = r.dereference(node); node == nil {
			return nil
		}
		if node.Kind == yaml.SequenceNode {
			node = element(node, token)
		} else {
			node = fieldValue(node, pointerUnescaper.Replace(token))
		}
	}
	return node
}

// element returns the element of a sequence whose index is the reference token, or nil.
func element(sequence *yaml.Node, token string) *yaml.Node {
	index := -1
	if _, err := fmt.Sscanf(token, "%d", &index); err != nil || index < 0 || index >= len(sequence.Content) {
		return nil
	}
	return sequence.Content[index]
}

// dereference follows references until it reaches a node that is not a local reference. It
// returns nil if a reference has no target or the chain is longer than [maxReferenceChain].
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
		for _, token := range referenceTokens(reference.Value) {
			if target = fieldValue(target, pointerUnescaper.Replace(token)); target == nil {
				return nil
			}
		}
		node = target
	}
	return nil
}

// referenceTokens splits a local reference into the reference tokens of its JSON pointer.
func referenceTokens(pointer string) []string {
	return strings.Split(strings.TrimPrefix(pointer, localPrefix), "/")
}
