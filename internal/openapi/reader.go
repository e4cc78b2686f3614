package openapi

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"

	"mulleinmux/routing"
)

// maxProblems is the maximum number of problems that are reported for one description.
const maxProblems = 100

// reader holds the state of reading one description.
type reader struct {
	file       string
	text       []byte
	root       *yaml.Node         // released by readDocument after its last use
	aliasSizes map[*yaml.Node]int // node counts of alias targets; countingAlias during the count
	nodeCount  int                // nodes checked so far, with those of aliases counted at each use
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
		r.addProblem(&document, "", "is not an OpenAPI description: must be an object with openapi, info and paths")
		return
	}
	r.root = document.Content[0]
}

// addProblem records a problem at a node, which may be nil. It discards problems beyond
// [maxProblems].
func (r *reader) addProblem(node *yaml.Node, field, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		return
	}
	r.problems = append(r.problems, routing.Problem{
		File: r.file, Pos: position(node), Field: field, Text: fmt.Sprintf(format, args...),
	})
}
