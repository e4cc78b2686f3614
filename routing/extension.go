package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mulleinmux/policy"
)

// What an x-mulleinmux extension may hold.
var extensionFields = []string{"class", "effect", "repeatable", "key", "group", "window", "units", "aim", "deadline"}

// declaredField is a field of the nearest extension that has it.
type declaredField struct {
	Field
	path string // of the extension
}

// readExtensions fills in what the extensions say of an operation: for each field the nearest
// one counts, of the operation, its path or the document.
func (c *compiler) readExtensions(op *Operation, p *Path, m *Method, at string) {
	found := map[string]declaredField{}
	for _, level := range []struct {
		v  *Value
		at string
	}{{m.Extension, at}, {p.Extension, "paths." + p.Template}, {c.doc.Extension, ""}} {
		if level.v == nil {
			continue
		}
		at := strings.TrimPrefix(level.at+".x-mulleinmux", ".")
		if level.v.Kind != MappingValue {
			c.addProblemOnce(level.v.Pos, at, "a mapping is wanted, such as {class: slot-check, units: 1}")
			continue
		}
		for _, f := range level.v.Fields {
			if !slices.Contains(extensionFields, f.Name) {
				c.addProblemOnce(f.Pos, at+"."+f.Name, "is no field of x-mulleinmux: one of %s is wanted", strings.Join(extensionFields, ", "))
				continue
			}
			if _, ok := found[f.Name]; !ok {
				found[f.Name] = declaredField{f, at + "." + f.Name}
			}
		}
	}
	d := &extensionReader{compiler: c, fields: found, method: m, path: at}
	cls := d.class()
	cls.Idempotency = d.idempotency()
	cls.LatencyObjective = d.duration("aim", cls.LatencyObjective)
	cls.Deadline = d.duration("deadline", cls.Deadline)
	if cls.LatencyObjective > cls.Deadline {
		f := found["aim"]
		c.addProblemOnce(cmp.Or(f.Pos, m.Pos), cmp.Or(f.path, at), "the aim %v is past the deadline %v", cls.LatencyObjective, cls.Deadline)
	}
	if cls.Idempotency == policy.IdempotentWithKey {
		cls.DedupScope = d.dedupScope()
		if cls.DedupWindow = d.duration("window", 0); cls.DedupWindow == 0 {
			c.addProblemOnce(m.Pos, at+".x-mulleinmux.window", "a keyed operation must tell for how long a repeat is dropped, such as window: 4s")
		}
		op.KeySource = d.keySource()
	} else {
		for _, name := range []string{"key", "group", "window"} {
			if f, ok := found[name]; ok && f.path == at+".x-mulleinmux."+name {
				c.addProblemOnce(f.Pos, f.path, "only a keyed operation has a %s: declare effect: keyed", name)
			}
		}
	}
	op.Units = d.units()
	for _, name := range []string{"class", "units"} {
		if f, ok := found[name]; ok && f.path == "x-mulleinmux."+name && cls.Idempotency != policy.Idempotent {
			op.InheritedFields = append(op.InheritedFields, name)
		}
	}
	op.Class = c.internClass(cls)
}

// extensionReader reads the fields that hold for one operation.
type extensionReader struct {
	compiler *compiler
	fields   map[string]declaredField
	method   *Method
	path     string
}

func (d *extensionReader) report(f declaredField, format string, args ...any) {
	d.compiler.addProblemOnce(f.Value.Pos, f.path, format, args...)
}

// enum reads a field that is one of some words.
func (d *extensionReader) enum(name string, words ...string) (string, bool) {
	f, ok := d.fields[name]
	if !ok {
		return "", false
	}
	if f.Value.Kind != TextValue || !slices.Contains(words, f.Value.Text) {
		d.report(f, "%q is unknown: one of %s is wanted", f.Value.Text, strings.Join(words, ", "))
		return "", false
	}
	return f.Value.Text, true
}

func (d *extensionReader) class() (cls policy.Class) {
	var names []string
	for _, k := range d.compiler.options.Classes {
		names = append(names, k.Name)
	}
	f, ok := d.fields["class"]
	if !ok {
		d.compiler.addProblemOnce(d.method.Pos, d.path+".x-mulleinmux.class", "no class is declared here, on the path or on the document: one of %s is wanted", strings.Join(names, ", "))
		return cls
	}
	for _, k := range d.compiler.options.Classes {
		if f.Value.Kind == TextValue && k.Name == f.Value.Text {
			return policy.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, LateFraction: k.LateFraction, LatencyObjective: k.LatencyObjective, Deadline: k.Deadline}
		}
	}
	d.report(f, "class %q has no worth in the operator's file: one of %s is wanted", f.Value.Text, strings.Join(names, ", "))
	return cls
}

// idempotency reads what repeating the operation does. Where nothing is declared, HTTP's
// meaning of the method holds (RFC 9110, 9.2), but a method that is idempotent by HTTP
// and changes something counts as unsafe: a repeat that meets a change made in between
// undoes it.
func (d *extensionReader) idempotency() policy.Idempotency {
	safe := d.method.Name == "GET" || d.method.Name == "HEAD" || d.method.Name == "OPTIONS" || d.method.Name == "TRACE"
	f, ok := d.fields["effect"]
	if ok && !safe && !strings.HasPrefix(f.path, d.path+".") && f.Value.Text == "safe" {
		ok = false // a default for the reads among many
	}
	repeatable := false
	if r, has := d.fields["repeatable"]; has {
		if r.Value.Kind != BoolValue {
			d.report(r, "true or false is wanted")
		}
		repeatable = r.Value.Text == "true" && strings.HasPrefix(r.path, d.path+".")
	}
	if !ok {
		if safe {
			return policy.Idempotent
		}
		return policy.NonIdempotent
	}
	w, _ := d.enum("effect", "safe", "keyed", "unsafe")
	switch {
	case w == "keyed":
		return policy.IdempotentWithKey
	case w == "unsafe":
		return policy.NonIdempotent
	case w == "safe" && !safe && !repeatable:
		d.report(f, "%s changes something by HTTP, so it is not safe to repeat: if it is here, add repeatable: true to this operation", d.method.Name)
	}
	return policy.Idempotent
}

func (d *extensionReader) dedupScope() policy.DedupScope {
	switch w, _ := d.enum("group", "all", "zone", "cell"); w {
	case "zone":
		return policy.DedupZone
	case "cell":
		return policy.DedupCell
	case "all":
		return policy.DedupAllServers
	}
	if _, ok := d.fields["group"]; !ok {
		d.compiler.addProblemOnce(d.method.Pos, d.path+".x-mulleinmux.group", "a keyed operation must tell which servers drop a repeat: group: all, zone or cell")
	}
	return policy.DedupAllServers
}

func (d *extensionReader) duration(name string, otherwise time.Duration) time.Duration {
	f, ok := d.fields[name]
	if !ok {
		return otherwise
	}
	t, err := time.ParseDuration(f.Value.Text)
	if f.Value.Kind != TextValue || err != nil || t <= 0 || t > maxDuration {
		d.report(f, "%q is no duration from 1ns to %v: write it with a unit, such as 400ms or 2s", f.Value.Text, maxDuration)
		return otherwise
	}
	return t
}

// maxDuration bounds aims, deadlines and windows.
const maxDuration = time.Hour
