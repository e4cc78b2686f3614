package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mulleinmux/policy"
)

// maxDuration is the maximum latency objective, deadline and deduplication window.
const maxDuration = time.Hour

// declaredField is a field of an extension, with its dotted path for problems.
type declaredField struct {
	Field
	path string // from the root of the document
}

// extensionReader reads the extension fields that apply to one operation.
type extensionReader struct {
	compiler *compiler
	fields   map[string]declaredField
	method   *Method
	path     string // of the operation, from the root of the document
}

// readExtensions sets the fields of an operation from the extensions. Each extension field is taken from the first of
// the operation, its path and the document whose extension declares it.
func (c *compiler) readExtensions(op *Operation, path *Path, method *Method, operationPath string) {
	r := &extensionReader{compiler: c, fields: map[string]declaredField{}, method: method, path: operationPath}
	r.collect(method.Extension, operationPath)
	r.collect(path.Extension, "paths."+path.Template)
	r.collect(c.doc.Extension, "")

	class := r.class()
	class.Idempotency = r.idempotency()
	class.LatencyObjective = r.duration(fieldLatencyObjective, class.LatencyObjective)
	class.Deadline = r.duration(fieldDeadline, class.Deadline)
	if class.LatencyObjective > class.Deadline {
		objective := r.fields[fieldLatencyObjective]
		c.addProblemOnce(cmp.Or(objective.Pos, method.Pos), cmp.Or(objective.path, operationPath),
			"aim %v is longer than the deadline %v", class.LatencyObjective, class.Deadline)
	}
	if class.Idempotency == policy.IdempotentWithKey {
		class.DedupScope = r.dedupScope()
		class.DedupWindow = r.dedupWindow()
		op.KeySource = r.keySource()
	} else {
		r.rejectKeyedFields()
	}
	op.Units = r.units()
	if class.Idempotency != policy.Idempotent {
		op.InheritedFields = r.inheritedFields()
	}
	op.Class = c.internClass(class)
}

// collect adds the fields of an extension that no extension collected before declares. owner is the dotted path of the
// object that has the extension.
func (r *extensionReader) collect(extension *Value, owner string) {
	if extension == nil {
		return
	}
	path := strings.TrimPrefix(owner+"."+ExtensionName, ".")
	if extension.Kind != MappingValue {
		r.compiler.addProblemOnce(extension.Pos, path, "must be a mapping, such as {class: slot-check, units: 1}")
		return
	}
	for _, field := range extension.Fields {
		if !slices.Contains(extensionFields, field.Name) {
			r.compiler.addProblemOnce(field.Pos, path+"."+field.Name,
				"is not a field of x-mulleinmux: use one of %s", strings.Join(extensionFields, ", "))
			continue
		}
		if _, isDeclared := r.fields[field.Name]; !isDeclared {
			r.fields[field.Name] = declaredField{field, path + "." + field.Name}
		}
	}
}

// operationFieldPath returns the dotted path of a field in the extension of the operation itself.
func (r *extensionReader) operationFieldPath(name string) string {
	return r.path + "." + ExtensionName + "." + name
}

// isDeclaredByOperation reports whether the field is in the extension of the operation itself.
func (r *extensionReader) isDeclaredByOperation(field declaredField) bool {
	return strings.HasPrefix(field.path, r.path+".")
}

// report adds a problem at a field's value.
func (r *extensionReader) report(field declaredField, format string, args ...any) {
	r.compiler.addProblemOnce(field.Value.Pos, field.path, format, args...)
}

// reportMissing adds a problem for a required field that no extension declares.
func (r *extensionReader) reportMissing(name, format string, args ...any) {
	r.compiler.addProblemOnce(r.method.Pos, r.operationFieldPath(name), format, args...)
}

// enum reads a field whose value is one of the words. It returns "" if the field is missing or has another value, which
// it reports.
func (r *extensionReader) enum(name string, words ...string) string {
	field, ok := r.fields[name]
	if !ok {
		return ""
	}
	if field.Value.Kind != TextValue || !slices.Contains(words, field.Value.Text) {
		r.report(field, "unknown value %q: must be one of %s", field.Value.Text, strings.Join(words, ", "))
		return ""
	}
	return field.Value.Text
}

// duration reads a field whose value is a duration. It returns the default value if the field is missing, or invalid,
// which it reports.
func (r *extensionReader) duration(name string, defaultValue time.Duration) time.Duration {
	field, ok := r.fields[name]
	if !ok {
		return defaultValue
	}
	value, err := time.ParseDuration(field.Value.Text)
	if field.Value.Kind != TextValue || err != nil || value <= 0 || value > maxDuration {
		r.report(field, "%q is not a duration from 1ns to %v: write it with a unit, such as 400ms or 2s",
			field.Value.Text, maxDuration)
		return defaultValue
	}
	return value
}

// rejectKeyedFields reports each field that requires an idempotency key, if the operation itself declares it. Fields
// that the path or the document declares are not reported, since they may be meant for other operations.
func (r *extensionReader) rejectKeyedFields() {
	for _, name := range []string{fieldKeySource, fieldDedupScope, fieldDedupWindow} {
		if field, ok := r.fields[name]; ok && field.path == r.operationFieldPath(name) {
			r.compiler.addProblemOnce(field.Pos, field.path,
				"allowed only for keyed operations: declare effect: keyed or remove %s", name)
		}
	}
}

// inheritedFields returns the names of the required fields that only the document's extension declares.
func (r *extensionReader) inheritedFields() []string {
	var inherited []string
	for _, name := range []string{fieldClass, fieldUnits} {
		if field, ok := r.fields[name]; ok && field.path == ExtensionName+"."+name {
			inherited = append(inherited, name)
		}
	}
	return inherited
}
