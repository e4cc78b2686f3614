package gatewayconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
)

const maxObjectNameBytes = 200

// ClusterFile is the parsed file of the configuration that a cluster's members agree on: sites, classes, plans and
// licensees, each written as in an instance's file, the followers, and the file name of an OpenAPI description.
type ClusterFile struct {
	Description string                                // file name, as written
	Objects     map[string]map[string]json.RawMessage // by kind and name, without the description
}

// ClusterFileKinds are the kinds of objects that a cluster's file lists completely: an agreed object of such a kind is
// to be removed if the file lacks it.
var ClusterFileKinds = []string{
	clusterconfig.KindClass, clusterconfig.KindDescription, clusterconfig.KindFollower, clusterconfig.KindSite,
	clusterconfig.KindLicensee, clusterconfig.KindLimit, clusterconfig.KindPlan,
}

// ParseClusterFile parses the text of a cluster's file. The error is [routing.Problems].
func ParseClusterFile(file string, text []byte) (*ClusterFile, error) {
	p := &parser{file: file, text: text}
	var form clusterForm
	if !p.decode(&form) {
		return nil, p.problems
	}
	p.requireDescription(&form.agreedForm)
	if form.MaxUnits < 0 || form.MaxUnits > maxUnits {
		p.addProblem(fieldMaxRequestUnits, "%d is outside 1 to %d", form.MaxUnits, maxUnits)
	}
	var cfg gateway.Config
	p.sites(&form.agreedForm, &cfg)
	p.classes(&form.agreedForm, &cfg)
	p.plans(&form.agreedForm, &cfg)
	p.licensees(&form.agreedForm, &cfg)
	objects := &objectSet{parser: p, objects: map[string]map[string]json.RawMessage{}}
	objects.addAll(&form, &cfg)
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return &ClusterFile{Description: form.Description, Objects: objects.objects}, nil
}

// objectSet collects the objects of a cluster's file. It adds a problem to the parser for each invalid name.
type objectSet struct {
	parser  *parser
	objects map[string]map[string]json.RawMessage
}

// add adds an object, or a problem if its name is invalid.
func (s *objectSet) add(kind, name string, object any) {
	text, err := json.Marshal(object)
	if err != nil || strings.ContainsAny(name, "/\n\x00") || len(name) > maxObjectNameBytes {
		s.parser.addProblem(kind, "%q is not a valid name: use at most 200 bytes without slash, newline and NUL", name)
		return
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]json.RawMessage{}
	}
	s.objects[kind][name] = text
}

// addAll adds all objects of a form, whose sites, classes, plans and licensees have already been read into cfg.
func (s *objectSet) addAll(form *clusterForm, cfg *gateway.Config) {
	for i, site := range cfg.Sites {
		s.add(clusterconfig.KindSite, site.Name, clusterconfig.Site{
			DiscoveryAddress: site.Discovery.String(),
			IsClosed:         form.Sites[i].Closed,
		})
	}
	for _, c := range cfg.Classes {
		s.add(clusterconfig.KindClass, c.Name, clusterconfig.Class{
			PriorityWeight:     c.PriorityWeight,
			LateFraction:       c.LateFraction,
			LatencyObjectiveMs: c.LatencyObjective.Milliseconds(),
			DeadlineMs:         c.Deadline.Milliseconds(),
		})
	}
	for _, plan := range form.Plans {
		s.add(clusterconfig.KindPlan, plan.Name, clusterconfig.Plan{
			Rate:              plan.Rate,
			Burst:             plan.Burst,
			HardLimitRate:     plan.CeilingRate,
			HardLimitBurst:    plan.CeilingBurst,
			HardLimitSlack:    plan.CeilingSlack,
			MaxInFlight:       plan.Open,
			PriorityFactor:    plan.Price,
			OverQuotaFraction: plan.OverWorth,
			OverQuotaCost:     plan.OverCost,
		})
	}
	for name, l := range cfg.Licensees {
		s.add(clusterconfig.KindLicensee, name, clusterconfig.Licensee{Plan: l.Plan})
	}
	s.addFollowers(form.Followers)
	if form.MaxUnits > 0 {
		s.add(clusterconfig.KindLimit, "units", clusterconfig.Limit{Max: form.MaxUnits})
	}
}

func (s *objectSet) addFollowers(followers []clusterFollowerForm) {
	for i, f := range followers {
		if _, exists := s.objects[clusterconfig.KindFollower][f.Name]; f.Name == "" || exists {
			s.parser.addProblem(fmt.Sprintf("follower[%d].name", i), "%q is empty or used twice", f.Name)
			continue
		}
		s.add(clusterconfig.KindFollower, f.Name, clusterconfig.Follower{Note: f.Note, PinnedVersion: f.Pin})
	}
}
