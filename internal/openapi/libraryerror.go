package openapi

import (
	"errors"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"go.yaml.in/yaml/v4"
)

// addLibraryProblems records the errors of the OpenAPI library as problems, each at the
// innermost node that the error identifies.
func (r *reader) addLibraryProblems(err error) {
	if several, ok := errors.AsType[openapi3.MultiError](err); ok {
		for _, e := range several {
			r.addLibraryProblems(e)
		}
		return
	}
	if r.root == nil {
		r.parse() // again, for the positions of the problems
	}
	location := locate(r.root, err)
	r.addProblem(location.node, location.field, "%s", strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", " "))
}

// nodeLocation is a node of the YAML tree and the dotted path of its field.
type nodeLocation struct {
	node  *yaml.Node
	field string
}

// locate returns the location of the innermost node that an error of the library
// identifies.
func locate(root *yaml.Node, err error) nodeLocation {
	location := nodeLocation{node: root}
	if section, ok := errors.AsType[*openapi3.SectionValidationError](err); ok {
		location.enter(section.Section)
	}
	if component, ok := errors.AsType[*openapi3.ComponentValidationError](err); ok {
		location.enterFirst(component.Section, component.Section+"s")
		location.enter(component.Name)
	}
	if path, ok := errors.AsType[*openapi3.PathValidationError](err); ok {
		location.enter(path.Path)
	}
	if operation, ok := errors.AsType[*openapi3.OperationValidationError](err); ok {
		location.enter(strings.ToLower(operation.Method))
	}
	return location
}

// enter moves to a field of the node. If the node does not have the field, only the path
// changes.
func (l *nodeLocation) enter(name string) {
	if key, value := fieldEntry(l.node, name); key != nil {
		node := *key // with the position of the key and the content of the value
		node.Kind, node.Content = value.Kind, value.Content
		l.node = &node
	}
	l.field = joinField(l.field, name)
}

// enterFirst moves to the first of the named fields that the node has. If it has none of
// them, the location does not change.
func (l *nodeLocation) enterFirst(names ...string) {
	for _, name := range names {
		if key, _ := fieldEntry(l.node, name); key != nil {
			l.enter(name)
			return
		}
	}
}
