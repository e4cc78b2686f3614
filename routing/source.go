package routing

import (
	"errors"
	"fmt"
	"strings"
)

// Location is where in a request a parameter stands.
type Location int

// ParamSource names a parameter of a request.
type ParamSource struct {
	In   Location
	Name string
	Path []string // of a body: the names from the outermost object inwards
}

func (s ParamSource) String() string {
	return [...]string{"nowhere", "path parameter ", "query parameter ", "header ", "body property "}[s.In] + s.Name
}

// read returns the text of a parameter. Of a body, number says whether a number or a
// string is wanted.
func (s ParamSource) read(r Request, number bool) (string, error) {
	switch s.In {
	case InQuery:
		return queryValue(r.Query, s.Name)
	case InHeader:
		v, n := r.Header.Values(s.Name)
		switch {
		case n > 1 || r.Header.Resembles(s.Name):
			return "", errDuplicate
		case n == 0:
			return "", errMissing
		}
		return v, nil
	case InBody:
		if err := checkJSONType(r.Header); err != nil {
			return "", err
		}
		return bodyValue(r.Body, s.Path, number)
	}
	return "", errMissing
}

// keySource reads which parameter carries the key.
func (d *extensionReader) keySource() ParamSource {
	f, ok := d.fields["key"]
	if !ok {
		d.compiler.addProblemOnce(d.method.Pos, d.path+".x-mulleinmux.key", "a keyed operation must name the parameter with its key, such as key: {header: Idempotency-Key}")
		return ParamSource{}
	}
	if f.Value.Kind != MappingValue || len(f.Value.Fields) != 1 {
		d.report(f, "one place is wanted, such as {header: Idempotency-Key}")
		return ParamSource{}
	}
	src, _, err := d.paramSource(f.Value.Fields[0])
	if err != nil {
		d.report(f, "%v", err)
	}
	return src
}

// paramSource reads one of path, query, header and body with a described name.
func (d *extensionReader) paramSource(f Field) (ParamSource, *Schema, error) {
	src := ParamSource{Name: f.Value.Text}
	if f.Value.Kind != TextValue || f.Value.Text == "" {
		return src, nil, fmt.Errorf("%s: a name is wanted", f.Name)
	}
	switch f.Name {
	case "path":
		src.In = InPath
	case "query":
		src.In = InQuery
	case "header":
		src.In = InHeader
	case "body":
		src.In = InBody
		src.Path = strings.Split(strings.TrimPrefix(src.Name, "/"), "/")
		if len(src.Path) > maxBodyDepth {
			return src, nil, fmt.Errorf("%q is deeper than %d", src.Name, maxBodyDepth)
		}
		schema := d.method.Body
		for _, name := range src.Path {
			if schema == nil || schema.Properties == nil {
				return src, nil, fmt.Errorf("no property %q is described in a JSON body of this operation", src.Name)
			}
			if schema = schema.Properties(name); schema == nil {
				return src, nil, fmt.Errorf("no property %q is described in a JSON body of this operation", src.Name)
			}
		}
		return src, schema, nil
	default:
		return src, nil, fmt.Errorf("%q is no place: path, query, header or body is wanted", f.Name)
	}
	p := d.method.param(f.Name, src.Name)
	if p == nil {
		return src, nil, fmt.Errorf("no %s parameter %q is described for this operation", f.Name, src.Name)
	}
	return src, &p.Schema, nil
}

// maxBodyDepth bounds how deep in a body a property may stand.
const maxBodyDepth = 8

// errMissing is told of a parameter that is not there.
var errMissing = errors.New("is missing")

// errDuplicate is told of a name that stands more than once where one is wanted.
var errDuplicate = errors.New("stands more than once")

func (m *Method) param(in, name string) *Param {
	for i := range m.Params {
		p := &m.Params[i]
		// Header names know no case.
		if p.In == in && (p.Name == name || in == "header" && strings.EqualFold(p.Name, name)) {
			return p
		}
	}
	return nil
}
