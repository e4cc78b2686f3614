package routing

import (
	"fmt"
	"math"
	"strconv"
)

// Units says what a request of an operation takes from the quota.
type Units struct {
	Fixed      int // above 0: always so many
	Source     ParamSource
	Min, Max   int
	Default    int // where the parameter is missing
	HasDefault bool
}

// units reads what a request takes from the quota.
func (d *extensionReader) units() (u Units) {
	f, ok := d.fields["units"]
	if !ok {
		d.compiler.addProblemOnce(d.method.Pos, d.path+".x-mulleinmux.units", "no units are declared here, on the path or on the document: a whole number is wanted, or the parameter that tells it")
		return u
	}
	limit := d.compiler.options.MaxUnits
	if limit <= 0 {
		limit = maxUnits
	}
	if f.Value.Kind == NumberValue {
		n, err := parseWholeNumber(f.Value, limit)
		if err != nil {
			d.report(f, "%v", err)
		}
		u.Fixed = n
		return u
	}
	if f.Value.Kind != MappingValue {
		d.report(f, "a whole number is wanted, or a parameter such as {query: count, least: 1, most: 50}")
		return u
	}
	var schema *Schema
	bounds := map[string]int{}
	var places int
	for _, part := range f.Value.Fields {
		switch part.Name {
		case "least", "most", "default":
			n, err := parseWholeNumber(part.Value, limit)
			if err != nil {
				d.report(declaredField{part, f.path + "." + part.Name}, "%v", err)
				return u
			}
			bounds[part.Name] = n
		default:
			var err error
			if u.Source, schema, err = d.paramSource(part); err != nil {
				d.report(declaredField{part, f.path + "." + part.Name}, "%v", err)
				return u
			}
			places++
		}
	}
	if places != 1 || u.Source.In == InPath {
		d.report(f, "one of query, header and body must tell the units")
		return u
	}
	if schema == nil || !schema.Integer {
		d.report(f, "%s is not described as an integer: units are whole", u.Source)
		return u
	}
	u.Min, u.Max = 1, 0
	if schema.Minimum != nil && *schema.Minimum > 1 {
		u.Min = int(math.Min(math.Ceil(*schema.Minimum), float64(limit)))
	}
	if schema.Maximum != nil {
		u.Max = int(math.Max(math.Min(math.Floor(*schema.Maximum), float64(limit)), 0))
	}
	if n, ok := bounds["least"]; ok {
		u.Min = n
	}
	if n, ok := bounds["most"]; ok {
		u.Max = n
	}
	u.Default, u.HasDefault = bounds["default"], bounds["default"] > 0
	switch {
	case u.Max == 0:
		d.report(f, "no most is told: add most, or a maximum to the schema of %s", u.Source)
	case u.Min > u.Max:
		d.report(f, "least %d is over most %d", u.Min, u.Max)
	case u.HasDefault && (u.Default < u.Min || u.Default > u.Max):
		d.report(f, "default %d is outside %d to %d", u.Default, u.Min, u.Max)
	}
	return u
}

// maxUnits is the most units of one request: what a message between instances holds.
const maxUnits = 1_000_000

func parseWholeNumber(v Value, most int) (int, error) {
	n, err := strconv.Atoi(v.Text)
	if v.Kind != NumberValue || err != nil {
		return 0, fmt.Errorf("%q is no whole number", v.Text)
	}
	if n < 1 || n > most {
		return 0, fmt.Errorf("%d is outside 1 to %d", n, most)
	}
	return n, nil
}
