package routing

import (
	"fmt"
	"strings"
)

// Problem is one error in a description.
type Problem struct {
	File  string
	Pos   Pos
	Field string // dotted path such as "paths./visits.post.x-mulleinmux.units"; empty for the document itself
	Text  string // what is wrong and how to correct it
}

// Error returns the text, prefixed with the file, the position and the field.
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

// Problems are the errors in a description, in the order of the file.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
