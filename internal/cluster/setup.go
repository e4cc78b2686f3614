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

// errNothing says that there is nothing to serve yet.
var errNothing = errors.New("no description is agreed on yet: gateway config apply")

// setups turns agreed states into what an instance is told. It keeps what is dear to make
// from one state to the next.
type setups struct {
	key       []byte // what the table was compiled of
	table     *routing.Table
	check     gateway.Checker
	licensees map[string]licensee
}

type licensee struct {
	text  json.RawMessage
	value gateway.Licensee
}

func compileOptions(classes []clusterconfig.Class, most int) routing.Options {
	opt := routing.Options{MaxUnits: most}
	for _, c := range classes {
		opt.Classes = append(opt.Classes, routing.Class{Name: c.Name, PriorityWeight: c.PriorityWeight, LateFraction: c.LateFraction,
			LatencyObjective: time.Duration(c.LatencyObjectiveMs) * time.Millisecond, Deadline: time.Duration(c.DeadlineMs) * time.Millisecond})
	}
	return opt
}

// of returns the setup of a state.
func (u *setups) of(s *clusterconfig.State, full bool) (out gateway.Setup, err error) {
	key, n := binary.AppendVarint(nil, int64(s.MaxUnits())), 0
	s.Each("description", func(_ string, text json.RawMessage) { key, n = append(key, text...), n+1 })
	s.Each("class", func(name string, text json.RawMessage) { key = append(append(key, name...), text...) })
	if n == 0 {
		return out, errNothing
	}
	if n > 1 {
		return out, fmt.Errorf("%d descriptions are agreed on, and one is served: remove the others", n)
	}
	halls := clusterconfig.ObjectsByName[clusterconfig.Site](s, "hall")
	for _, name := range slices.Sorted(maps.Keys(halls)) {
		at, err := discovery.ParseAddress("register", halls[name].DiscoveryAddress)
		if err != nil {
			return out, fmt.Errorf("hall %s: %w", name, err)
		}
		out.Sites = append(out.Sites, gateway.Site{Name: name, Discovery: at})
	}
	if !bytes.Equal(key, u.key) {
		var d clusterconfig.Description
		for _, d = range clusterconfig.ObjectsByName[clusterconfig.Description](s, "description") {
		}
		table, doc, err := openapi.Compile(d.File, []byte(d.Text), compileOptions(s.Classes(), s.MaxUnits()))
		if err != nil {
			return out, err
		}
		u.key, u.table, u.check = key, table, nil
		if full {
			u.check = doc.Checker()
		}
	}
	out.Number, out.Table, out.Check = s.Version(), u.table, u.check
	plans := clusterconfig.ObjectsByName[clusterconfig.Plan](s, "plan")
	for _, name := range s.PlanOrder() {
		p, ok := plans[name]
		if !ok { // its place stays; no licensee can have it
			name = "/removed/" + name
		}
		out.Plans = append(out.Plans, policy.Plan{Name: name, Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.MaxInFlight, HardLimitRate: p.HardLimitRate,
			HardLimitBurst: p.HardLimitBurst, HardLimitSlack: p.HardLimitSlack, PriorityFactor: p.PriorityFactor, OverQuotaFraction: p.OverQuotaFraction, OverQuotaCost: p.OverQuotaCost})
	}
	next := make(map[string]licensee, len(u.licensees))
	out.Licensees = make(map[string]gateway.Licensee, len(u.licensees))
	s.Each("licensee", func(name string, text json.RawMessage) {
		l, ok := u.licensees[name]
		if !ok || !bytes.Equal(l.text, text) {
			var v clusterconfig.Licensee
			if json.Unmarshal(text, &v) != nil {
				return // it was checked when it was put
			}
			l = licensee{text, gateway.Licensee{Plan: v.Plan, Customer: gateway.CustomerOf(name)}}
		}
		next[name], out.Licensees[name] = l, l.value
	})
	u.licensees = next
	return out, nil
}
