package openapi

import (
	"strings"

	"github.com/getkin/kin-openapi/openapi3"

	"mulleinmux/routing"
)

// jsonMediaType is the media type of the request bodies whose schema is converted.
const jsonMediaType = "application/json"

// fillDocument completes the outline of a document with what the library resolved:
// identifiers, servers, parameters and bodies. It removes fields under "paths" that are not
// paths.
func (r *reader) fillDocument(doc *routing.Document, spec *openapi3.T) {
	doc.Version = spec.Info.Version
	described := doc.Paths[:0]
	for _, path := range doc.Paths {
		item := spec.Paths.Value(path.Template)
		if item == nil {
			continue // not a path but an extension
		}
		for i := range path.Methods {
			if operation := item.GetOperation(path.Methods[i].Name); operation != nil {
				r.fillMethod(&path.Methods[i], path.Template, spec, item, operation)
			}
		}
		described = append(described, path)
	}
	doc.Paths = described
}

// fillMethod completes one operation with what the library resolved.
func (r *reader) fillMethod(method *routing.Method, template string, spec *openapi3.T, item *openapi3.PathItem,
	operation *openapi3.Operation) {
	method.ID = operation.OperationID
	for _, server := range effectiveServers(spec, item, operation) {
		base, err := basePath(server)
		if err != nil {
			r.problems = append(r.problems, routing.Problem{File: r.file, Pos: method.Pos,
				Field: "paths." + template + "." + strings.ToLower(method.Name) + ".servers", Text: err.Error()})
		}
		method.BasePaths = append(method.BasePaths, base)
	}
	method.Params = append(method.Params, params(operation.Parameters, item.Parameters)...)
	if operation.RequestBody != nil && operation.RequestBody.Value != nil {
		if media := operation.RequestBody.Value.Content.Get(jsonMediaType); media != nil {
			method.Body = convertSchema(media.Schema, 0)
		}
	}
}

// params converts the parameters of the lists. Of parameters with the same location and
// name, only the first one is converted.
func params(lists ...openapi3.Parameters) []routing.Param {
	type identity struct{ in, name string }
	seen := map[identity]bool{}
	var converted []routing.Param
	for _, list := range lists {
		for _, reference := range list {
			p := reference.Value
			if p == nil || seen[identity{p.In, p.Name}] {
				continue
			}
			seen[identity{p.In, p.Name}] = true
			param := routing.Param{Name: p.Name, In: p.In}
			if schema := convertSchema(p.Schema, 0); schema != nil {
				param.Schema = *schema
			}
			converted = append(converted, param)
		}
	}
	return converted
}
