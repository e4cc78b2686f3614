package routing

import (
	"errors"
	"fmt"
	"strings"
)

// maxBodyDepth is the maximum nesting depth of a property in a body.
const maxBodyDepth = 8

// Errors of a request's parameter.
var (
	errMissing   = errors.New("is missing")
	errDuplicate = errors.New("occurs more than once") // a parameter must occur once
	errSimilar   = errors.New("a field of a similar name, which servers could take for it, is not allowed")
)

// Location is the part of a request that holds a parameter.
type Location int

// Locations of parameters.
const (
	InNowhere Location = iota // there is no parameter
	InPath
	InQuery
	InHeader
	InBody // a property of a JSON body
)

// ParamSource names a parameter of a request.
type ParamSource struct {
	In   Location
	Name string
	Path []string // for InBody: the property names from the outermost object inwards
}

// String returns the location and name of the parameter for problems and errors.
func (s ParamSource) String() string {
	return [...]string{
		InNowhere: "nowhere",
		InPath:    "path parameter ",
		InQuery:   "query parameter ",
		InHeader:  "header ",
		InBody:    "body property ",
	}[s.In] + s.Name
}

// valueType is the required JSON type of a body property.
type valueType int

const (
	stringType valueType = iota
	numberType
)

// read returns the text of a parameter in a request. A body property must be of type want. The error is errMissing if
// the request does not have the parameter.
func (s ParamSource) read(r Request, want valueType) (string, error) {
	switch s.In {
	case InQuery:
		return queryValue(r.Query, s.Name)
	case InHeader:
		return headerValue(r.Header, s.Name)
	case InBody:
		if err := checkJSONType(r.Header); err != nil {
			return "", err
		}
		return bodyValue(r.Body, s.Path, want)
	}
	return "", errMissing
}

// headerValue returns the value of a header field, which must have a single line. A field whose name resembles its name
// is an error.
func headerValue(h Header, name string) (string, error) {
	value, lines := h.Values(name)
	if lines > 1 {
		return "", errDuplicate
	}
	if h.Resembles(name) {
		return "", errSimilar
	}
	if lines == 0 {
		return "", errMissing
	}
	return value, nil
}

// paramSource reads a field that names a parameter of the operation by location and name. It also returns the
// parameter's schema.
func (r *extensionReader) paramSource(field Field) (ParamSource, *Schema, error) {
	source := ParamSource{Name: field.Value.Text}
	if field.Value.Kind != TextValue || field.Value.Text == "" {
		return source, nil, fmt.Errorf("%s: must be the name of a parameter", field.Name)
	}
	switch field.Name {
	case locationPath:
		source.In = InPath
	case locationQuery:
		source.In = InQuery
	case locationHeader:
		source.In = InHeader
	case locationBody:
		source.In = InBody
		source.Path = strings.Split(strings.TrimPrefix(source.Name, "/"), "/")
		schema, err := r.method.bodyProperty(source)
		return source, schema, err
	default:
		return source, nil, fmt.Errorf("unknown parameter location %q: must be path, query, header or body", field.Name)
	}
	param := r.method.param(field.Name, source.Name)
	if param == nil {
		return source, nil, fmt.Errorf("no %s parameter %q is described for this operation", field.Name, source.Name)
	}
	return source, &param.Schema, nil
}

// param returns the described parameter with the location and the name, or nil.
func (m *Method) param(in, name string) *Param {
	for i := range m.Params {
		p := &m.Params[i]
		// Names of header fields are case-insensitive.
		if p.In == in && (p.Name == name || in == locationHeader && strings.EqualFold(p.Name, name)) {
			return p
		}
	}
	return nil
}

// bodyProperty returns the schema of a body property. A property that is not described is an error.
func (m *Method) bodyProperty(source ParamSource) (*Schema, error) {
	if len(source.Path) > maxBodyDepth {
		return nil, fmt.Errorf("body property %q is nested more than %d levels deep", source.Name, maxBodyDepth)
	}
	schema := m.Body
	for _, name := range source.Path {
		if schema != nil && schema.Properties != nil {
			schema = schema.Properties(name)
		} else {
			schema = nil
		}
		if schema == nil {
			return nil, fmt.Errorf("no property %q is described in a JSON body of this operation", source.Name)
		}
	}
	return schema, nil
}
