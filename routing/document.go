// Package routing classifies requests: it determines the operation, class, units and idempotency of each request from
// an OpenAPI description.
//
// [Compile] compiles a description, parsed by package openapi, into an immutable [Table]; [Table.Match] finds the
// operation of a request and [Operation.CheckAndReadUnits] reads its units. The package does no I/O and has no state. A
// table is safe for concurrent use. A request that holds its [Operation] continues to use the version of the
// description that it was matched with.
package routing

// Document is the part of a description on which routing and units depend.
type Document struct {
	File      string // file name, for problems
	Version   string // info.version
	Extension *Value // x-mulleinmux of the document; nil if it has none
	Paths     []Path
}

// Path is one path item.
type Path struct {
	Template  string // as written, beginning with a slash
	Pos       Pos
	Extension *Value // nil if it has none
	Methods   []Method
}

// Method is one operation of a path.
type Method struct {
	Name      string // upper case
	ID        string // operationId; empty if it has none
	Pos       Pos
	Extension *Value   // nil if it has none
	BasePaths []string // of the servers that apply to the operation, each without a trailing slash
	Params    []Param  // of the operation, and those of the path that the operation does not override
	Body      *Schema  // of a JSON body; nil if none is described
}

// Param is a described parameter.
type Param struct {
	Name, In string // In is "path", "query", "header" or "cookie"
	Schema   Schema
}

// Schema is the part of a schema on which units can depend.
type Schema struct {
	Integer          bool
	Minimum, Maximum *float64
	Properties       func(name string) *Schema // returns nil if no such property is described
}

// Pos is a position in a file. Lines and columns count from 1. The zero Pos is an unknown position.
type Pos struct{ Line, Column int }

// Value is a value of an x-mulleinmux extension, with its position.
type Value struct {
	Pos    Pos
	Kind   Kind
	Text   string  // of a scalar, as written
	Fields []Field // of a mapping
}

// Kind is the kind of a [Value].
type Kind int

// Kinds of values.
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
