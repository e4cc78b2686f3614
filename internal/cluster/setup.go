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

// Kinds of the agreed configuration's objects.
const (
	kindClass       = "class"
	kindDescription = "description"
	kindEpoch       = "epoch"
	kindFollower    = "follower"
	kindSite        = "hall"
	kindLicensee    = "licensee"
	kindLimit       = "limit"
	kindLostSite    = "lost"
	kindMember      = "member"
	kindPlan        = "plan"
)

// objectKinds are all kinds, sorted.
var objectKinds = []string{
	kindClass, kindDescription, kindEpoch, kindFollower, kindSite,
	kindLicensee, kindLimit, kindLostSite, kindMember, kindPlan,
}

// changeRemove is the operation of a [clusterconfig.Change] that removes an object.
const changeRemove = "remove"

// removedPlanPrefix makes a name that no licensee's plan can have, for the place of a plan that was removed.
const removedPlanPrefix = "/removed/"

// errNoDescription says that there is nothing to serve yet.
var errNoDescription = errors.New("no description is agreed on yet: gateway config apply")

// setupBuilder builds an instance's setup from an agreed state. It caches what is expensive to make from one state to
// the next, and is not safe for concurrent use.
type setupBuilder struct {
	tableKey  []byte // what the table was compiled from
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
		return setup, fmt.Errorf("%d descriptions are agreed on, and one is served: remove the others", descriptionCount)
	}
	if setup.Sites, err = sitesOf(state); err != nil {
		return setup, err
	}
	if err := b.compile(state, key, fullValidation); err != nil {
		return setup, err
	}
	setup.Number, setup.Table, setup.Check = state.Version(), b.table, b.checker
	setup.Plans = plansOf(state)
	setup.Licensees = b.licenseesOf(state)
	return setup, nil
}

// compilationKey returns all that the compilation of the description depends on, and the number of descriptions.
func compilationKey(state *clusterconfig.State) (key []byte, descriptionCount int) {
	key = binary.AppendVarint(nil, int64(state.MaxUnits()))
	state.Each(kindDescription, func(_ string, text json.RawMessage) {
		key = append(key, text...)
		descriptionCount++
	})
	state.Each(kindClass, func(name string, text json.RawMessage) {
		key = append(key, name...)
		key = append(key, text...)
	})
	return key, descriptionCount
}

// compile compiles the state's description, unless the table in the cache is that of the same key.
func (b *setupBuilder) compile(state *clusterconfig.State, key []byte, fullValidation bool) error {
	if bytes.Equal(key, b.tableKey) {
		return nil
	}
	var description clusterconfig.Description
	for _, description = range clusterconfig.ObjectsByName[clusterconfig.Description](state, kindDescription) {
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
	agreed := clusterconfig.ObjectsByName[clusterconfig.Site](state, kindSite)
	for _, name := range slices.Sorted(maps.Keys(agreed)) {
		addr, err := discovery.ParseAddress("register", agreed[name].DiscoveryAddress)
		if err != nil {
			return nil, fmt.Errorf("hall %s: %w", name, err)
		}
		sites = append(sites, gateway.Site{Name: name, Discovery: addr})
	}
	return sites, nil
}

// plansOf returns the plans by their place, which a plan keeps for ever.
func plansOf(state *clusterconfig.State) (plans []policy.Plan) {
	agreed := clusterconfig.ObjectsByName[clusterconfig.Plan](state, kindPlan)
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

// licenseesOf returns the licensees by name, and reads only those that have changed since the state before.
func (b *setupBuilder) licenseesOf(state *clusterconfig.State) map[string]gateway.Licensee {
	next := make(map[string]cachedLicensee, len(b.licensees))
	licensees := make(map[string]gateway.Licensee, len(b.licensees))
	state.Each(kindLicensee, func(name string, text json.RawMessage) {
		l, cached := b.licensees[name]
		if !cached || !bytes.Equal(l.text, text) {
			var agreed clusterconfig.Licensee
			if json.Unmarshal(text, &agreed) != nil {
				return // can't be: it was checked before it was agreed on
			}
			l = cachedLicensee{text, gateway.Licensee{Plan: agreed.Plan, Customer: gateway.CustomerOf(name)}}
		}
		next[name], licensees[name] = l, l.value
	})
	b.licensees = next
	return licensees
}
