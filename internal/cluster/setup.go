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
		opt.Classes = append(opt.Classes, routing.Class{Name: c.Name, PriorityWeight: c.Worth, LateFraction: c.Late,
			LatencyObjective: time.Duration(c.AimMs) * time.Millisecond, Deadline: time.Duration(c.DeadlineMs) * time.Millisecond})
	}
	return opt
}

// of returns the setup of a state.
func (u *setups) of(s *clusterconfig.State, full bool) (out gateway.Setup, err error) {
	key, n := binary.AppendVarint(nil, int64(s.MostUnits())), 0
	s.Each("description", func(_ string, text json.RawMessage) { key, n = append(key, text...), n+1 })
	s.Each("class", func(name string, text json.RawMessage) { key = append(append(key, name...), text...) })
	if n == 0 {
		return out, errNothing
	}
	if n > 1 {
		return out, fmt.Errorf("%d descriptions are agreed on, and one is served: remove the others", n)
	}
	halls := clusterconfig.Read[clusterconfig.Hall](s, "hall")
	for _, name := range slices.Sorted(maps.Keys(halls)) {
		at, err := discovery.ParseAddress("register", halls[name].Register)
		if err != nil {
			return out, fmt.Errorf("hall %s: %w", name, err)
		}
		out.Halls = append(out.Halls, gateway.Hall{Name: name, Register: at})
	}
	if !bytes.Equal(key, u.key) {
		var d clusterconfig.Description
		for _, d = range clusterconfig.Read[clusterconfig.Description](s, "description") {
		}
		table, doc, err := openapi.Compile(d.File, []byte(d.Text), compileOptions(s.Classes(), s.MostUnits()))
		if err != nil {
			return out, err
		}
		u.key, u.table, u.check = key, table, nil
		if full {
			u.check = doc.Checker()
		}
	}
	out.Number, out.Table, out.Check = s.Version(), u.table, u.check
	plans := clusterconfig.Read[clusterconfig.Plan](s, "plan")
	for _, name := range s.Places() {
		p, ok := plans[name]
		if !ok { // its place stays; no licensee can have it
			name = "/removed/" + name
		}
		out.Plans = append(out.Plans, policy.Plan{Name: name, Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.Open, HardLimitRate: p.CeilingRate,
			HardLimitBurst: p.CeilingBurst, HardLimitSlack: p.CeilingSlack, PriorityFactor: p.Price, OverQuotaFraction: p.OverWorth, OverQuotaCost: p.OverCost})
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
