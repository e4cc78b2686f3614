// Package routing decides what a request is: which operation of an OpenAPI
// description it asks for, of which class it is, how many units it takes and
// what repeating it does.
//
// [Compile] turns a description, read by package openapi, into an immutable
// [Table]; [Table.Match] finds the operation of a request and
// [Operation.Charge] reads its units. The package does no I/O and keeps no
// state: a table may be used by any number of goroutines, and a request that
// holds its [Operation] keeps the version that it was matched with.
package routing

// Document is what a description says, as far as routing and units depend on it.
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

// Schema is the part of a schema on which units can depend.
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

// The kinds.
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
