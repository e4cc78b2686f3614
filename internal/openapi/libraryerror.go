package openapi

import (
	"errors"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"go.yaml.in/yaml/v4"
)

// addLibraryProblems records what the OpenAPI library found, each error with the nearest
// place that it names.
func (r *reader) addLibraryProblems(err error) {
	if several, ok := errors.AsType[openapi3.MultiError](err); ok {
		for _, e := range several {
			r.addLibraryProblems(e)
		}
		return
	}
	if r.root == nil {
		r.parse() // once more, for the places
	}
	place := locate(r.root, err)
	r.addProblem(place.node, place.field, "%s", strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", " "))
}

// nodePlace is a node of the tree and the path of the field that leads to it.
type nodePlace struct {
	node  *yaml.Node
	field string
}

// locate returns the nearest place that an error of the library names.
func locate(root *yaml.Node, err error) nodePlace {
	place := nodePlace{node: root}
	if section, ok := errors.AsType[*openapi3.SectionValidationError](err); ok {
		place.enter(section.Section)
	}
	if component, ok := errors.AsType[*openapi3.ComponentValidationError](err); ok {
		place.enterFirst(component.Section, component.Section+"s")
		place.enter(component.Name)
	}
	if path, ok := errors.AsType[*openapi3.PathValidationError](err); ok {
		place.enter(path.Path)
	}
	if operation, ok := errors.AsType[*openapi3.OperationValidationError](err); ok {
		place.enter(strings.ToLower(operation.Method))
	}
	return place
}

// enter moves to a field of the node. A field that the node lacks is named, but the node
// stays.
func (p *nodePlace) enter(name string) {
	if key, value := fieldEntry(p.node, name); key != nil {
		node := *key // the name's place, the value's content
		node.Kind, node.Content = value.Kind, value.Content
		p.node = &node
	}
	p.field = joinField(p.field, name)
}

// enterFirst moves to the first of the named fields that the node has, if any.
func (p *nodePlace) enterFirst(names ...string) {
	for _, name := range names {
		if key, _ := fieldEntry(p.node, name); key != nil {
			p.enter(name)
			return
		}
	}
}
