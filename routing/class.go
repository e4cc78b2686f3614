package routing

import (
	"fmt"
	"strings"
	"time"

	"mulleinmux/policy"
)

// Class is a class as operators configure it: the priority of its requests, and the latency objective and deadline of
// operations that do not declare their own.
type Class struct {
	Name             string
	PriorityWeight   float64
	LateFraction     float64 // 0 to 1: fraction of PriorityWeight that applies between LatencyObjective and Deadline
	LatencyObjective time.Duration
	Deadline         time.Duration
}

// Options are the parts of the operators' configuration on which the compilation of a description depends.
type Options struct {
	Classes  []Class
	MaxUnits int // of one request; 0: the limit is maxUnits
}

// class reads the class of an operation, and takes its values from the operators' configuration.
func (r *extensionReader) class() policy.Class {
	var names []string
	for _, class := range r.compiler.options.Classes {
		names = append(names, class.Name)
	}
	field, ok := r.fields[fieldClass]
	if !ok {
		r.reportMissing(fieldClass,
			"no class is declared on the operation, its path or the document: declare one of %s",
			strings.Join(names, ", "))
		return policy.Class{}
	}
	for _, class := range r.compiler.options.Classes {
		if field.Value.Kind == TextValue && class.Name == field.Value.Text {
			return policy.Class{
				Name:             class.Name,
				PriorityWeight:   class.PriorityWeight,
				LateFraction:     class.LateFraction,
				LatencyObjective: class.LatencyObjective,
				Deadline:         class.Deadline,
			}
		}
	}
	r.report(field, "class %q is not in the operators' configuration: must be one of %s",
		field.Value.Text, strings.Join(names, ", "))
	return policy.Class{}
}

// internClass names a class after its combination of values, such that the name is unique in the table and the same in
// every table, and adds the class to the table unless it is already there.
func (c *compiler) internClass(class policy.Class) policy.Class {
	name := fmt.Sprintf("%s/%s/%v/%v",
		class.Name, idempotencyNames[class.Idempotency], class.LatencyObjective, class.Deadline)
	if class.Idempotency == policy.IdempotentWithKey {
		name += fmt.Sprintf("/%s/%v", dedupScopeNames[class.DedupScope], class.DedupWindow)
	}
	class.Name = name
	if !c.classNames[name] {
		c.classNames[name] = true
		c.table.Classes = append(c.table.Classes, class)
	}
	return class
}
