package gatewayconfig

import (
	"fmt"
	"strings"

	"mulleinmux/internal/gateway"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// Upper bounds of values, which catch typing errors.
const (
	maxUnits          = 1_000_000 // of a request
	maxPriorityWeight = 1e9
	maxPlanValue      = 1e12
)

func (p *parser) requireDescription(form *agreedForm) {
	if form.Description == "" {
		p.addProblem("description", "is missing: set it to the file name of an OpenAPI description")
	}
}

func (p *parser) sites(form *agreedForm, cfg *gateway.Config) {
	names := map[string]bool{}
	for i, s := range form.Sites {
		section := fmt.Sprintf("%s[%d]", fieldSite, i)
		if s.Name == "" || names[s.Name] || strings.Contains(s.Name, "/") {
			p.addProblem(section+".name", "%q is empty, used twice or contains a slash", s.Name)
		}
		names[s.Name] = true
		site := gateway.Site{Name: s.Name, Discovery: p.address(section+"."+fieldDiscovery, s.Register)}
		cfg.Sites = append(cfg.Sites, site)
	}
	if len(form.Sites) == 0 {
		p.addProblem(fieldSite, textNoSite)
	}
}

func (p *parser) classes(form *agreedForm, cfg *gateway.Config) {
	if len(form.Classes) == 0 {
		p.addProblem("class", textNoClass)
	}
	names := map[string]bool{}
	for i, c := range form.Classes {
		section := fmt.Sprintf("class[%d]", i)
		switch { // the comparisons are negated as a whole, so that NaN is rejected
		case c.Name == "" || names[c.Name]:
			p.addProblem(section+".name", "%q is empty or used twice", c.Name)
		case !(c.Worth > 0 && c.Worth < maxPriorityWeight):
			p.addProblem(section+"."+fieldPriorityWeight, "%v is not above 0 and below 1e9", c.Worth)
		case !(c.Late >= 0 && c.Late <= 1):
			p.addProblem(section+"."+fieldLateFraction, "%v is outside 0 to 1", c.Late)
		case c.Aim.d <= 0 || c.Deadline.d <= 0:
			p.addProblem(section+".deadline", textNoDeadline)
		case c.Aim.d > c.Deadline.d:
			p.addProblem(section+"."+fieldLatencyObjective, "%v is longer than the deadline %v", c.Aim.d, c.Deadline.d)
		}
		names[c.Name] = true
		cfg.Classes = append(cfg.Classes, routing.Class{
			Name:             c.Name,
			PriorityWeight:   c.Worth,
			LateFraction:     c.Late,
			LatencyObjective: c.Aim.d,
			Deadline:         c.Deadline.d,
		})
	}
}

func (p *parser) plans(form *agreedForm, cfg *gateway.Config) {
	names := map[string]bool{}
	for i := range form.Plans {
		plan := &form.Plans[i]
		section := fmt.Sprintf("plan[%d]", i)
		if plan.Name == "" || names[plan.Name] {
			p.addProblem(section+".name", "%q is empty or used twice", plan.Name)
		}
		names[plan.Name] = true
		p.checkPlan(section, plan)
		cfg.Settings.Plans = append(cfg.Settings.Plans, policy.Plan{
			Name:              plan.Name,
			Rate:              plan.Rate,
			Burst:             plan.Burst,
			MaxInFlight:       plan.Open,
			HardLimitRate:     plan.CeilingRate,
			HardLimitBurst:    plan.CeilingBurst,
			HardLimitSlack:    plan.CeilingSlack,
			PriorityFactor:    plan.Price,
			OverQuotaFraction: plan.OverWorth,
			OverQuotaCost:     plan.OverCost,
		})
	}
}

func (p *parser) checkPlan(section string, plan *planForm) {
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"rate", plan.Rate},
		{"burst", plan.Burst},
		{fieldHardLimitRate, plan.CeilingRate},
		{fieldHardLimitBurst, plan.CeilingBurst},
		{fieldHardLimitSlack, plan.CeilingSlack},
		{fieldPriorityFactor, plan.Price},
		{fieldOverQuotaFraction, plan.OverWorth},
		{fieldOverQuotaCost, plan.OverCost},
		{fieldMaxInFlight, float64(plan.Open)},
	} {
		if !(f.value >= 0 && f.value < maxPlanValue) { // negated, so that NaN is out of range
			p.addProblem(section+"."+f.name, "%v is out of range: use a value from 0 to below 1e12", f.value)
		}
	}
	if plan.Rate > 0 && plan.Burst <= 0 {
		p.addProblem(section+".burst", "must be above 0 if rate is set: without a burst no request is within the quota")
	}
	if plan.CeilingRate > 0 && (plan.CeilingBurst <= 0 || plan.CeilingRate < plan.Rate) {
		p.addProblem(section+"."+fieldHardLimitRate, textHardLimit)
	}
}

// licensees reads the licensees and checks that each names a plan of the same file.
func (p *parser) licensees(form *agreedForm, cfg *gateway.Config) {
	plans := map[string]bool{}
	for i := range form.Plans {
		plans[form.Plans[i].Name] = true
	}
	cfg.Licensees = map[string]gateway.Licensee{}
	for i, l := range form.Licensees {
		section := fmt.Sprintf("licensee[%d]", i)
		if _, exists := cfg.Licensees[l.Name]; l.Name == "" || exists {
			p.addProblem(section+".name", "%q is empty or used twice", l.Name)
		}
		if !plans[l.Plan] {
			p.addProblem(section+".plan", "%q is not the name of a [[plan]] in this file", l.Plan)
		}
		cfg.Licensees[l.Name] = gateway.Licensee{Plan: l.Plan, Customer: gateway.CustomerID(l.Name)}
	}
}
