package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/openapi"
)

// changes of the description in the scenario contract-change: ten, of which two are bad.
const (
	changeCount   = 10
	firstInvalid  = 4
	secondInvalid = 8
)

// changingPrice is what version n says of an operation's units: those of three operations
// change with every version.
func changingPrice(version int, operation string, units int) int {
	if version > 1 && (operation == "getVisitSheet" || operation == "getDayReport" || operation == "changeVisit") {
		return units + (version-1)%5
	}
	return units
}

// descriptionVariant writes version n of the description: three prices and an aim differ in each, the
// aim making a class that the engine has not met. With bad, it is one that must be rejected.
func descriptionVariant(n int, bad bool) []byte {
	text := string(deploy.Booking)
	swap := func(old, to string) {
		if !strings.Contains(text, old) {
			panic("the embedded description has changed: it lacks " + old)
		}
		text = strings.ReplaceAll(text, old, to)
	}
	swap("x-mulleinmux: {units: 3}", fmt.Sprintf("x-mulleinmux: {units: %d}", changingPrice(n, "getVisitSheet", 3)))
	swap("x-mulleinmux: {units: 5, aim: 700ms}", fmt.Sprintf("x-mulleinmux: {units: %d, aim: %dms}",
		changingPrice(n, "getDayReport", 5), 600+10*n))
	swap("x-mulleinmux: {class: visit-book, units: 2}", fmt.Sprintf("x-mulleinmux: {class: visit-book, units: %d}",
		changingPrice(n, "changeVisit", 2)))
	if bad {
		swap("  /visits/new:\n",
			"  /{anything}/new/{more}:\n    get: {responses: {\"200\": {description: x}}}\n  /visits/new:\n")
	}
	return []byte(text)
}

// changeContract puts new descriptions in force at all instances, spread over the run.
func changeContract(ctx context.Context, w *environment) {
	gap := w.options.For / (changeCount + 1)
	number := 1
	for n := 1; n <= changeCount; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		bad := n == firstInvalid || n == secondInvalid
		table, _, err := openapi.Compile(fmt.Sprintf("booking-%d.yaml", number+1), descriptionVariant(number+1, bad),
			w.compile)
		w.mu.Lock()
		switch {
		case bad && err == nil:
			w.notes = append(w.notes, fmt.Sprintf("change %d is bad and was taken", n))
		case !bad && err != nil:
			w.notes = append(w.notes, fmt.Sprintf("change %d is good and was refused: %v", n, err))
		}
		w.changeCount++
		w.mu.Unlock()
		if err != nil {
			continue
		}
		number++
		for i, in := range w.instances {
			if err := in.Install(w.configs[i].Setup(uint64(number), table, nil)); err != nil {
				w.mu.Lock()
				w.notes = append(w.notes, err.Error())
				w.mu.Unlock()
			}
		}
	}
}
