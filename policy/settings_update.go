package policy

import (
	"fmt"
	"time"
)

// ValidateTables returns an error that wraps a [*SettingError] if the classes and plans cannot replace those in force.
func (e *Engine) ValidateTables(classes []Class, plans []Plan) error {
	settings := e.settings
	settings.Classes = classes
	settings.Plans = plans
	if err := settings.validate(); err != nil {
		return err
	}
	if inForce := len(e.settings.Plans); len(plans) < inForce {
		return &SettingError{Field: "Plans:",
			Problem: fmt.Sprintf("%d, fewer than the %d in force, which can't be removed", len(plans), inForce)}
	}
	return nil
}

// SetClasses replaces the table of classes while the engine runs. A class with the name of one in force keeps its
// statistics and gets the new settings. New requests of a class that is not in the new table are rejected; those in
// flight keep its settings, and its index is reused once the last of them has ended. If [Engine.ValidateTables] returns
// an error, SetClasses returns it and changes nothing.
func (e *Engine) SetClasses(classes []Class) error {
	if err := e.ValidateTables(classes, e.settings.Plans); err != nil {
		return err
	}
	slots := classSlots{isUsed: make([]bool, len(e.settings.Classes))}
	for _, r := range e.requests.byID {
		slots.isUsed[r.class] = true
	}
	old := e.index.classes
	e.index.classes = make(map[string]int, len(classes))
	for _, c := range classes {
		if i, ok := old[c.Name]; ok {
			e.index.classes[c.Name] = i
			e.settings.Classes[i] = c
			slots.isUsed[i] = true
		}
	}
	for name, i := range old {
		if _, ok := e.index.classes[name]; !ok {
			e.settings.Classes[i].PriorityWeight = 0 // otherwise relativeValue would compare the other classes with it
		}
	}
	for _, c := range classes {
		if _, ok := e.index.classes[c.Name]; !ok {
			i := slots.take()
			e.index.classes[c.Name] = i
			e.settings.Classes = setAt(e.settings.Classes, i, c)
			e.latencies.classes = setAt(e.latencies.classes, i, classLatency{})
		}
	}
	return nil
}

// classSlots allocates the indexes of new classes.
type classSlots struct {
	isUsed []bool // by index
	next   int    // all indexes below it are used
}

// take allocates the lowest unused index. It may be one more than the highest index so far.
func (c *classSlots) take() int {
	for c.next < len(c.isUsed) && c.isUsed[c.next] {
		c.next++
	}
	c.isUsed = setAt(c.isUsed, c.next, true)
	return c.next
}

// setAt sets the value at an index, and appends it if the index is one more than the last.
func setAt[T any](values []T, i int, value T) []T {
	if i == len(values) {
		return append(values, value)
	}
	values[i] = value
	return values
}

// SetPlans replaces the table of plans while the engine runs. Gossip identifies a plan by its index: all nodes must
// have the same order, in which a plan keeps its index for good. Units that a customer has spent stay spent. If
// [Engine.ValidateTables] returns an error, SetPlans returns it and changes nothing.
func (e *Engine) SetPlans(now time.Duration, plans []Plan) error {
	if err := e.ValidateTables([]Class{{}}, plans); err != nil {
		return err
	}
	e.now = now
	e.settings.Plans = append([]Plan(nil), plans...)
	e.index.plans = make(map[string]int, len(plans))
	for i, p := range plans {
		e.index.plans[p.Name] = i
	}
	e.quotas.SetPlans(e.settings.Plans, now)
	return nil
}
