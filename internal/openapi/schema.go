package openapi

import (
	"github.com/getkin/kin-openapi/openapi3"

	"mulleinmux/routing"
)

// maxAllOfDepth is the maximum depth of nested allOf schemas that are searched for a
// property.
const maxAllOfDepth = 16

// convertSchema converts a schema. It returns nil if there is no schema or allOfDepth
// exceeds [maxAllOfDepth]. Properties are converted on demand, so that the conversion of a
// recursive schema terminates.
func convertSchema(reference *openapi3.SchemaRef, allOfDepth int) *routing.Schema {
	if reference == nil || reference.Value == nil || allOfDepth > maxAllOfDepth {
		return nil
	}
	schema := reference.Value
	property := func(name string) *routing.Schema {
		if p := schema.Properties[name]; p != nil {
			return convertSchema(p, 0)
		}
		for _, part := range schema.AllOf {
			if converted := convertSchema(part, allOfDepth+1); converted != nil {
				if p := converted.Properties(name); p != nil {
					return p
				}
			}
		}
		return nil
	}
	return &routing.Schema{
		Integer: schema.Type.Is("integer"), Minimum: schema.Min, Maximum: schema.Max, Properties: property,
	}
}
