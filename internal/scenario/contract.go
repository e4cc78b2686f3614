package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/openapi"
	"mulleinmux/routing"
)

// Changes of the description in the scenario contract-change, of which two are invalid.
const (
	changeCount   = 10
	firstInvalid  = 4
	secondInvalid = 8
)

// changingPrice returns the units of an operation in a version of the description. Those of three operations differ
// from version to version.
func changingPrice(version int, operation string, units int) int {
	if version > 1 && (operation == "getVisitSheet" || operation == "getDayReport" || operation == "changeVisit") {
		return units + (version-1)%5
	}
	return units
}

// descriptionVariant returns version n of the description. Three prices and a latency objective differ in each; the
// objective makes a class that is new to the engine. An invalid variant must be rejected.
func descriptionVariant(n int, isInvalid bool) []byte {
	text := string(deploy.Booking)
	replace := func(old, to string) {
		if !strings.Contains(text, old) {
			panic("the embedded description has changed: it lacks " + old)
		}
		text = strings.ReplaceAll(text, old, to)
	}
	replace("x-mulleinmux: {units: 3}", fmt.Sprintf("x-mulleinmux: {units: %d}", changingPrice(n, "getVisitSheet", 3)))
	replace("x-mulleinmux: {units: 5, aim: 700ms}", fmt.Sprintf("x-mulleinmux: {units: %d, aim: %dms}",
		changingPrice(n, "getDayReport", 5), 600+10*n))
	replace("x-mulleinmux: {class: visit-book, units: 2}", fmt.Sprintf("x-mulleinmux: {class: visit-book, units: %d}",
		changingPrice(n, "changeVisit", 2)))
	if isInvalid {
		replace("  /visits/new:\n",
			"  /{anything}/new/{more}:\n    get: {responses: {\"200\": {description: x}}}\n  /visits/new:\n")
	}
	return []byte(text)
}

// changeContract installs new descriptions at all instances, at equal intervals over the run.
func changeContract(ctx context.Context, env *environment) {
	gap := env.options.Duration / (changeCount + 1)
	number := 1
	for n := 1; n <= changeCount; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		if table := env.compileChange(n, number+1); table != nil {
			number++
			env.install(number, table)
		}
	}
}

// compileChange compiles the n-th change of the description, as version number. It returns nil if the change is
// rejected, and reports an invalid change that was accepted or a valid one that was rejected.
func (env *environment) compileChange(n, number int) *routing.Table {
	isInvalid := n == firstInvalid || n == secondInvalid
	table, _, err := openapi.Compile(fmt.Sprintf("booking-%d.yaml", number), descriptionVariant(number, isInvalid),
		env.compileOptions)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.changeCount++
	switch {
	case isInvalid && err == nil:
		env.scenarioViolations = append(env.scenarioViolations, fmt.Sprintf("change %d is invalid and was accepted", n))
	case !isInvalid && err != nil:
		env.scenarioViolations = append(env.scenarioViolations,
			fmt.Sprintf("change %d is valid and was rejected: %v", n, err))
	}
	if err != nil {
		return nil
	}
	return table
}

// install installs a version of the description at all instances.
func (env *environment) install(number int, table *routing.Table) {
	for i, in := range env.instances {
		if err := in.Install(env.configs[i].Setup(uint64(number), table, nil)); err != nil {
			env.mu.Lock()
			env.scenarioViolations = append(env.scenarioViolations, err.Error())
			env.mu.Unlock()
		}
	}
}
