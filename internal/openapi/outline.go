package openapi

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v4"

	"mulleinmux/routing"
)

// methods are the HTTP methods that a path item may describe.
var methods = []string{"GET", "PUT", "POST", "DELETE", "OPTIONS", "HEAD", "PATCH", "TRACE"}

// outline returns a document with the positions and extensions of all paths and operations.
func (r *reader) outline() *routing.Document {
	doc := &routing.Document{File: r.file, Extension: extension(r.root)}
	paths := fieldValue(r.root, "paths")
	if paths == nil || paths.Kind != yaml.MappingNode {
		return doc
	}
	for i := 0; i+1 < len(paths.Content); i += 2 {
		key, item := paths.Content[i], r.dereference(paths.Content[i+1])
		doc.Paths = append(doc.Paths, routing.Path{
			Template: key.Value, Pos: position(key), Extension: extension(item), Methods: outlineMethods(item),
		})
	}
	return doc
}

// outlineMethods returns the operations of a path item with their positions and
// extensions. item may be nil.
func outlineMethods(item *yaml.Node) []routing.Method {
	if item == nil || item.Kind != yaml.MappingNode {
		return nil
	}
	var found []routing.Method
	for i := 0; i+1 < len(item.Content); i += 2 {
		key := item.Content[i]
		name := strings.ToUpper(key.Value)
		if !slices.Contains(methods, name) || key.Value != strings.ToLower(name) {
			continue
		}
		found = append(found, routing.Method{
			Name: name, Pos: position(key), Extension: extension(item.Content[i+1]),
		})
	}
	return found
}
