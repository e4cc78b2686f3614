package openapi

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"

	"mulleinmux/routing"
)

// maxProblems is how many problems of one description are reported.
const maxProblems = 100

// reader holds the state of reading one description.
type reader struct {
	file       string
	text       []byte
	root       *yaml.Node         // nil once what is needed of it was taken
	aliasSizes map[*yaml.Node]int // node counts of alias targets; countingAlias while being counted
	nodeCount  int
	problems   routing.Problems
}

// parse reads the text into a YAML tree.
func (r *reader) parse() {
	var document yaml.Node
	if err := yaml.Unmarshal(r.text, &document); err != nil {
		r.problems = append(r.problems, routing.Problem{File: r.file, Text: strings.TrimSpace(err.Error())})
		return
	}
	if document.Kind != yaml.DocumentNode || len(document.Content) != 1 ||
		document.Content[0].Kind != yaml.MappingNode {
		r.addProblem(&document, "", "is no OpenAPI description: an object with openapi, info and paths is wanted")
		return
	}
	r.root = document.Content[0]
}

// addProblem records a problem at a node, which may be nil, up to [maxProblems].
func (r *reader) addProblem(node *yaml.Node, field, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		return
	}
	r.problems = append(r.problems, routing.Problem{
		File: r.file, Pos: position(node), Field: field, Text: fmt.Sprintf(format, args...),
	})
}
