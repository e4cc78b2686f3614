package policy

import (
	"fmt"
	"time"
)

// ValidateTables reports whether classes and plans can be put in force: the error names what cannot.
func (e *Engine) ValidateTables(classes []Class, plans []Plan) error {
	set := e.settings
	set.Classes, set.Plans = classes, plans
	if err := set.validate(); err != nil {
		return err
	}
	if len(plans) < len(e.settings.Plans) {
		return &SettingError{Field: "Plans:", Problem: fmt.Sprintf("%d, and %d have a place", len(plans), len(e.settings.Plans))}
	}
	return nil
}

// SetClasses replaces the table of classes while the engine runs. A class that has the name of one in force
// goes on with what was learned of it and takes over the new figures. One that is no longer there takes no
// new request; those in flight keep its figures. Its place is used again once the last of them has ended.
func (e *Engine) SetClasses(classes []Class) error {
	if err := e.ValidateTables(classes, e.settings.Plans); err != nil {
		return err
	}
	used := make([]bool, len(e.settings.Classes))
	for _, r := range e.requests.byID {
		used[r.class] = true
	}
	old := e.classIndex
	e.classIndex = make(map[string]int, len(classes))
	for _, c := range classes {
		if i, ok := old[c.Name]; ok {
			e.classIndex[c.Name], used[i], e.settings.Classes[i] = i, true, c
		}
	}
	for name, i := range old {
		if _, ok := e.classIndex[name]; !ok {
			e.settings.Classes[i].PriorityWeight = 0 // or it would be weighed against the others
		}
	}
	e.addClasses(classes, used)
	return nil
}

// addClasses gives each new class a place that is not used, the lowest first.
func (e *Engine) addClasses(classes []Class, used []bool) {
	free := 0
	for _, c := range classes {
		if _, ok := e.classIndex[c.Name]; ok {
			continue
		}
		for free < len(used) && used[free] {
			free++
		}
		if free == len(e.settings.Classes) {
			e.settings.Classes = append(e.settings.Classes, Class{})
			e.latencies.classes = append(e.latencies.classes, classLatency{})
			used = append(used, false)
		}
		e.classIndex[c.Name], used[free] = free, true
		e.settings.Classes[free] = c
		e.latencies.classes[free] = classLatency{}
	}
}

// SetPlans replaces the table of plans while the engine runs. Nodes name a plan to each other by its place:
// all must have one order, in which a plan keeps its place for good. A customer's quota goes over to the new
// figures with what it has spent.
func (e *Engine) SetPlans(now time.Duration, plans []Plan) error {
	if err := e.ValidateTables([]Class{{}}, plans); err != nil {
		return err
	}
	e.now = now
	for _, st := range e.quotas.list {
		e.refill(st)
	}
	old := e.settings.Plans
	e.settings.Plans = append([]Plan(nil), plans...)
	e.planIndex = make(map[string]int, len(plans))
	for i, p := range plans {
		e.planIndex[p.Name] = i
	}
	for _, st := range e.quotas.list {
		if old[st.plan] != plans[st.plan] {
			e.changePlan(st, old[st.plan], st.plan)
		}
	}
	return nil
}
