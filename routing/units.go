package routing

import (
	"fmt"
	"math"
	"strconv"
)

// maxUnits is the maximum number of units of one request. Messages between instances have the same limit.
const maxUnits = 1_000_000

// Units determines how many units of the quota a request of an operation takes.
type Units struct {
	Fixed      int         // units of each request; 0 if Source holds them
	Source     ParamSource // parameter that holds the units, from Min to Max
	Min, Max   int
	Default    int // units of a request without the parameter, if HasDefault is set
	HasDefault bool
}

// unitsDeclaration is a mapping that declares the units as the value of a parameter.
type unitsDeclaration struct {
	source      ParamSource
	schema      *Schema        // of source
	sourceCount int            // number of parameters that the mapping names; must be 1
	bounds      map[string]int // values of fieldMin, fieldMax and fieldDefault, if declared
}

// units reads how many units of the quota a request takes.
func (r *extensionReader) units() Units {
	field, ok := r.fields[fieldUnits]
	if !ok {
		r.reportMissing(fieldUnits, "no units are declared on the operation, its path or the document: "+
			"declare a whole number or the parameter that holds it")
		return Units{}
	}
	limit := r.compiler.options.MaxUnits
	if limit <= 0 {
		limit = maxUnits
	}
	switch field.Value.Kind {
	case NumberValue:
		fixed, err := parseWholeNumber(field.Value, limit)
		if err != nil {
			r.report(field, "%v", err)
		}
		return Units{Fixed: fixed}
	case MappingValue:
		return r.parameterUnits(field, limit)
	}
	r.report(field, "must be a whole number, or a parameter such as {query: count, least: 1, most: 50}")
	return Units{}
}

// parameterUnits reads units that are declared as the value of a parameter.
func (r *extensionReader) parameterUnits(field declaredField, limit int) Units {
	declaration, ok := r.unitsDeclaration(field, limit)
	if !ok {
		return Units{}
	}
	source := declaration.source
	if declaration.sourceCount != 1 || source.In == InPath {
		r.report(field, "exactly one of query, header and body must name the parameter with the units")
		return Units{}
	}
	if declaration.schema == nil || !declaration.schema.Integer {
		r.report(field, "%s is not described as an integer: units are whole numbers", source)
		return Units{}
	}
	u := Units{Source: source}
	u.Min, u.Max = declaration.schema.unitsRange(limit)
	if smallest, ok := declaration.bounds[fieldMin]; ok {
		u.Min = smallest
	}
	if largest, ok := declaration.bounds[fieldMax]; ok {
		u.Max = largest
	}
	u.Default, u.HasDefault = declaration.bounds[fieldDefault]
	switch {
	case u.Max == 0:
		r.report(field, "no maximum is declared: add most, or a maximum to the schema of %s", source)
	case u.Min > u.Max:
		r.report(field, "least %d exceeds most %d", u.Min, u.Max)
	case u.HasDefault && (u.Default < u.Min || u.Default > u.Max):
		r.report(field, "default %d is outside %d to %d", u.Default, u.Min, u.Max)
	}
	return u
}

// unitsDeclaration reads the fields of a mapping. It reports the first invalid field and then returns false.
func (r *extensionReader) unitsDeclaration(field declaredField, limit int) (d unitsDeclaration, ok bool) {
	d.bounds = map[string]int{}
	for _, part := range field.Value.Fields {
		var err error
		switch part.Name {
		case fieldMin, fieldMax, fieldDefault:
			d.bounds[part.Name], err = parseWholeNumber(part.Value, limit)
		default:
			d.source, d.schema, err = r.paramSource(part)
			d.sourceCount++
		}
		if err != nil {
			r.report(declaredField{part, field.path + "." + part.Name}, "%v", err)
			return d, false
		}
	}
	return d, true
}

// unitsRange returns the range of units that a schema allows, up to limit. largest is 0 if the schema has no maximum.
func (s *Schema) unitsRange(limit int) (smallest, largest int) {
	smallest = 1
	if s.Minimum != nil && *s.Minimum > 1 {
		smallest = int(math.Min(math.Ceil(*s.Minimum), float64(limit)))
	}
	if s.Maximum != nil {
		largest = int(math.Max(math.Min(math.Floor(*s.Maximum), float64(limit)), 0))
	}
	return smallest, largest
}

// parseWholeNumber parses a whole number from 1 to limit.
func parseWholeNumber(v Value, limit int) (int, error) {
	n, err := strconv.Atoi(v.Text)
	if v.Kind != NumberValue || err != nil {
		return 0, fmt.Errorf("%q is not a whole number", v.Text)
	}
	if n < 1 || n > limit {
		return 0, fmt.Errorf("%d is outside 1 to %d", n, limit)
	}
	return n, nil
}
