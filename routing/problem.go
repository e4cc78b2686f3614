package routing

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a description.
type Problem struct {
	File  string
	Pos   Pos
	Field string // such as "paths./visits.post.x-mulleinmux.units"; empty: the document
	Text  string // what is wrong and what to do
}

// Error names the file, the position and the field ahead of the text.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Pos.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Pos.Line)
		if p.Pos.Column > 0 {
			fmt.Fprintf(&b, ":%d", p.Pos.Column)
		}
	}
	b.WriteString(": ")
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	return b.String() + p.Text
}

// Problems are all that is wrong with a description, in its order.
type Problems []Problem

// Error has a line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
