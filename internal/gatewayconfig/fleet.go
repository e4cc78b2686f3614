package gatewayconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
)

// ClusterFile is the file of what instances agree on: halls, classes, plans and licensees in the
// form that they have in an instance's file, and a description's file name.
type ClusterFile struct {
	Description string // file name, as written
	Objects     map[string]map[string]json.RawMessage
}

// ClusterFileKinds are the kinds of objects that such a file says all of.
var ClusterFileKinds = []string{"class", "description", "follower", "hall", "licensee", "limit", "plan"}

// ParseClusterFile reads a file's text. The error is [contract.Problems].
func ParseClusterFile(file string, text []byte) (*ClusterFile, error) {
	r := &reader{file: file, text: text}
	var in struct {
		MostUnits int `toml:"most_units"`
		Followers []struct {
			Name string `toml:"name"`
			Note string `toml:"note"`
			Pin  uint64 `toml:"pin"`
		} `toml:"follower"`
		shared
	}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		r.decoding(err)
		return nil, r.problems
	}
	var c gateway.Config
	if in.Description == "" {
		r.bad("description", "is missing: the file name of an OpenAPI description")
	}
	if in.MostUnits < 0 || in.MostUnits > 1_000_000 {
		r.bad("most_units", "%d is outside 1 to 1000000", in.MostUnits)
	}
	r.halls(&in.shared, &c)
	r.classes(&in.shared, &c)
	r.plans(&in.shared, &c)
	out := &ClusterFile{Description: in.Description, Objects: map[string]map[string]json.RawMessage{}}
	put := func(kind, name string, v any) {
		text, err := json.Marshal(v)
		if err != nil || strings.ContainsAny(name, "/\n\x00") || len(name) > 200 {
			r.bad(kind, "%q can't be a name", name)
			return
		}
		if out.Objects[kind] == nil {
			out.Objects[kind] = map[string]json.RawMessage{}
		}
		out.Objects[kind][name] = text
	}
	for i, h := range c.Halls {
		put("hall", h.Name, clusterconfig.Hall{Register: h.Register.String(), Closed: in.Halls[i].Closed})
	}
	for _, k := range c.Classes {
		put("class", k.Name, clusterconfig.Class{Worth: k.Worth, Late: k.Late, AimMs: k.Aim.Milliseconds(), DeadlineMs: k.Deadline.Milliseconds()})
	}
	for _, p := range in.Plans {
		put("plan", p.Name, clusterconfig.Plan{Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingSlack: p.CeilingSlack,
			Open: p.Open, Price: p.Price, OverWorth: p.OverWorth, OverCost: p.OverCost})
	}
	for name, l := range c.Licensees {
		put("licensee", name, clusterconfig.Licensee{Plan: l.Plan})
	}
	for i, f := range in.Followers {
		if _, twice := out.Objects["follower"][f.Name]; f.Name == "" || twice {
			r.bad(fmt.Sprintf("follower[%d].name", i), "%q is empty or stands twice", f.Name)
			continue
		}
		put("follower", f.Name, clusterconfig.Follower{Note: f.Note, Pin: f.Pin})
	}
	if in.MostUnits > 0 {
		put("limit", "units", clusterconfig.Limit{Most: in.MostUnits})
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return out, nil
}
