// Package contract decides what a request is: which operation of an OpenAPI
// description it asks for, of which class it is, how many units it takes and
// what repeating it does.
//
// [Compile] turns a description, read by package openapi, into an immutable
// [Table]; [Table.Match] finds the operation of a request and
// [Operation.Charge] reads its units. The package does no I/O and keeps no
// state: a table may be used by any number of goroutines, and a request that
// holds its [Operation] keeps the version that it was matched with.
package routing

import (
	"fmt"
	"strings"
)

// Document is what a description says, as far as routing and cost depend on it.
type Document struct {
	File      string // named in problems
	Version   string // info.version
	Extension *Value // x-mulleinmux of the document; nil: none
	Paths     []Path
}

// Path is one path item.
type Path struct {
	Template  string // as written, beginning with a slash
	Pos       Pos
	Extension *Value
	Methods   []Method
}

// Method is one operation of a path.
type Method struct {
	Name      string // upper case
	ID        string // operationId; empty: none
	Pos       Pos
	Extension *Value
	BasePaths []string // base paths of the servers in force; each without a slash at its end
	Params    []Param  // of the operation, and of the path where the operation has none of that name
	Body      *Schema  // of a JSON body; nil: none is described
}

// Param is a described parameter.
type Param struct {
	Name, In string // In: "path", "query", "header" or "cookie"
	Schema   Schema
}

// Schema is the part of a schema that the cost can depend on.
type Schema struct {
	Integer          bool
	Minimum, Maximum *float64
	Properties       func(name string) *Schema // nil: no such property is described
}

// Pos is a place in a file, from line 1 and column 1. The zero Pos is unknown.
type Pos struct{ Line, Column int }

// Value is a value of an x-mulleinmux extension, with its place.
type Value struct {
	Pos    Pos
	Kind   Kind
	Text   string  // of a scalar, as written
	Fields []Field // of a mapping
}

// Kind is the kind of a [Value].
type Kind int

const (
	TextValue Kind = iota
	NumberValue
	BoolValue
	MappingValue
	OtherValue // a list or null
)

// Field is one field of a mapping.
type Field struct {
	Name  string
	Pos   Pos
	Value Value
}

// Problem is one thing that is wrong with a description.
type Problem struct {
	File  string
	Pos   Pos
	Field string // such as "paths./visits.post.x-mulleinmux.units"; empty: the document
	Text  string // what is wrong and what to do
}

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

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
