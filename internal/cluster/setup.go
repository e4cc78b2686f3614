package cluster

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/openapi"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// objectKinds are the kinds of the agreed configuration's objects, sorted.
var objectKinds = clusterconfig.Kinds()

// removedPlanPrefix is prepended to the name of a removed plan, which keeps its index, so that the name differs from
// that of any licensee's plan.
const removedPlanPrefix = "/removed/"

// errNoDescription reports that no description has been agreed on, so that the instance has nothing to serve.
var errNoDescription = errors.New("no description is agreed on yet: apply one with gateway config apply")

// setupBuilder builds an instance's setup from an agreed state. It caches the parts that are expensive to build. It
// is not safe for concurrent use.
type setupBuilder struct {
	tableKey  []byte // inputs from which the table was compiled
	table     *routing.Table
	checker   gateway.Checker
	licensees map[string]cachedLicensee
}

type cachedLicensee struct {
	text  json.RawMessage
	value gateway.Licensee
}

// build returns the setup of a state. With fullValidation, requests are checked against the whole description.
func (b *setupBuilder) build(state *clusterconfig.State, fullValidation bool) (setup gateway.Setup, err error) {
	key, descriptionCount := compilationKey(state)
	if descriptionCount == 0 {
		return setup, errNoDescription
	}
	if descriptionCount > 1 {
		const text = "%d descriptions are agreed on, but only one can be served: remove the others"
		return setup, fmt.Errorf(text, descriptionCount)
	}
	if setup.Sites, err = sitesOf(state); err != nil {
		return setup, err
	}
	if err := b.compile(state, key, fullValidation); err != nil {
		return setup, err
	}
	setup.Number, setup.Table, setup.Checker = state.Version(), b.table, b.checker
	setup.Plans = plansOf(state)
	setup.Licensees = b.licenseesOf(state)
	return setup, nil
}

// compilationKey returns all inputs to the compilation of the description, and the number of descriptions.
func compilationKey(state *clusterconfig.State) (key []byte, descriptionCount int) {
	key = binary.AppendVarint(nil, int64(state.MaxUnits()))
	state.Each(clusterconfig.KindDescription, func(_ string, text json.RawMessage) {
		key = append(key, text...)
		descriptionCount++
	})
	state.Each(clusterconfig.KindClass, func(name string, text json.RawMessage) {
		key = append(key, name...)
		key = append(key, text...)
	})
	return key, descriptionCount
}

// compile compiles the state's description, unless the cached table has the same key.
func (b *setupBuilder) compile(state *clusterconfig.State, key []byte, fullValidation bool) error {
	if bytes.Equal(key, b.tableKey) {
		return nil
	}
	descriptions := clusterconfig.ObjectsByName[clusterconfig.Description](state, clusterconfig.KindDescription)
	var description clusterconfig.Description
	for _, description = range descriptions { // there is exactly one, as build has checked
	}
	options := compileOptions(state.Classes(), state.MaxUnits())
	table, document, err := openapi.Compile(description.File, []byte(description.Text), options)
	if err != nil {
		return err
	}
	b.tableKey, b.table, b.checker = key, table, nil
	if fullValidation {
		b.checker = document.Checker()
	}
	return nil
}

func compileOptions(classes []clusterconfig.Class, maxUnits int) routing.Options {
	options := routing.Options{MaxUnits: maxUnits}
	for _, c := range classes {
		options.Classes = append(options.Classes, routing.Class{
			Name:             c.Name,
			PriorityWeight:   c.PriorityWeight,
			LateFraction:     c.LateFraction,
			LatencyObjective: time.Duration(c.LatencyObjectiveMs) * time.Millisecond,
			Deadline:         time.Duration(c.DeadlineMs) * time.Millisecond,
		})
	}
	return options
}

func sitesOf(state *clusterconfig.State) (sites []gateway.Site, err error) {
	agreed := clusterconfig.ObjectsByName[clusterconfig.Site](state, clusterconfig.KindSite)
	for _, name := range slices.Sorted(maps.Keys(agreed)) {
		addr, err := discovery.ParseAddress(clusterconfig.FieldDiscoveryAddress, agreed[name].DiscoveryAddress)
		if err != nil {
			return nil, fmt.Errorf("%s %s: %w", clusterconfig.KindSite, name, err)
		}
		sites = append(sites, gateway.Site{Name: name, Discovery: addr})
	}
	return sites, nil
}

// plansOf returns the plans in plan order, in which each plan keeps its index permanently.
func plansOf(state *clusterconfig.State) (plans []policy.Plan) {
	agreed := clusterconfig.ObjectsByName[clusterconfig.Plan](state, clusterconfig.KindPlan)
	for _, name := range state.PlanOrder() {
		plan, exists := agreed[name]
		if !exists {
			name = removedPlanPrefix + name
		}
		plans = append(plans, policy.Plan{
			Name:              name,
			Rate:              plan.Rate,
			Burst:             plan.Burst,
			MaxInFlight:       plan.MaxInFlight,
			HardLimitRate:     plan.HardLimitRate,
			HardLimitBurst:    plan.HardLimitBurst,
			HardLimitSlack:    plan.HardLimitSlack,
			PriorityFactor:    plan.PriorityFactor,
			OverQuotaFraction: plan.OverQuotaFraction,
			OverQuotaCost:     plan.OverQuotaCost,
		})
	}
	return plans
}

// licenseesOf returns the licensees by name. It decodes only those that have changed since the last state.
func (b *setupBuilder) licenseesOf(state *clusterconfig.State) map[string]gateway.Licensee {
	next := make(map[string]cachedLicensee, len(b.licensees))
	licensees := make(map[string]gateway.Licensee, len(b.licensees))
	state.Each(clusterconfig.KindLicensee, func(name string, text json.RawMessage) {
		l, cached := b.licensees[name]
		if !cached || !bytes.Equal(l.text, text) {
			var agreed clusterconfig.Licensee
			if json.Unmarshal(text, &agreed) != nil {
				return // unreachable: the object was checked before it was agreed on
			}
			l = cachedLicensee{text, gateway.Licensee{Plan: agreed.Plan, Customer: gateway.CustomerID(name)}}
		}
		next[name] = l
		licensees[name] = l.value
	})
	b.licensees = next
	return licensees
}
