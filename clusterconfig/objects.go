package clusterconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// Plan is a tariff's quotas. Rates are in units a second.
type Plan struct {
	Rate              float64 `json:"rate"`
	Burst             float64 `json:"burst"`
	HardLimitRate     float64 `json:"ceiling_rate,omitempty"`
	HardLimitBurst    float64 `json:"ceiling_burst,omitempty"`
	HardLimitSlack    float64 `json:"ceiling_slack,omitempty"`
	MaxInFlight       int     `json:"open,omitempty"`
	PriorityFactor    float64 `json:"price"`
	OverQuotaFraction float64 `json:"over_worth,omitempty"`
	OverQuotaCost     float64 `json:"over_cost,omitempty"`
}

// Licensee is a licensed provider.
type Licensee struct {
	Plan string `json:"plan"`
}

// Site is a site's servers.
type Site struct {
	DiscoveryAddress string `json:"register"`         // address with a port
	IsClosed         bool   `json:"closed,omitempty"` // keyed requests have their home elsewhere
}

// LostSite says that the instances agree to have lost the hall of that name: homes of keys
// leave it until it is removed. One that is coming back takes a part of its keys. Instances
// put and remove it (see package sites).
type LostSite struct {
	Reason           string `json:"why"`
	RecoveredEighths int    `json:"part,omitempty"` // eighths of its keys that it takes
}

// Class is what requests of a class are worth, and the figures of operations that declare
// none. Times are in milliseconds.
type Class struct {
	Name               string  `json:"name,omitempty"` // that of its object
	PriorityWeight     float64 `json:"worth"`
	LateFraction       float64 `json:"late,omitempty"`
	LatencyObjectiveMs int64   `json:"aim_ms"`
	DeadlineMs         int64   `json:"deadline_ms"`
}

// Member is where an instance of the gateway is reached.
type Member struct {
	RaftAddress  string `json:"raft"`  // by the other members: an address with a port
	AdminAddress string `json:"admin"` // by operators: an address with a port
}

// Follower is an instance that is no member and is told the configuration: see package confstream. Its name is that in
// its certificate.
type Follower struct {
	Note          string `json:"note,omitempty"` // for operators
	PinnedVersion uint64 `json:"pin,omitempty"`  // the version that it is to stay at; 0: the newest
}

// Epoch tells versions of a control service that was restored or replaced, and whose numbers went back, from late ones: a
// later epoch has a higher number, and no two services have the same id. The one object is called "epoch".
type Epoch struct {
	Number uint64 `json:"number"`
	ID     string `json:"id"`
}

// Limit bounds what one request may ask for. The one that is known is "units".
type Limit struct {
	Max int `json:"most"`
}

// defaultMostUnits is the limit of units where none is agreed.
const defaultMostUnits = 50

// Description is an OpenAPI description.
type Description struct {
	File string `json:"file"`
	Text string `json:"text"`
}

// kinds checks a value of each kind and returns it in its one form.
var kinds = map[string]func(json.RawMessage) (json.RawMessage, error){
	"plan": as(func(p *Plan) error {
		// In one order: every member must word a refusal alike.
		for _, f := range []struct {
			name string
			v    float64
		}{{"rate", p.Rate}, {"burst", p.Burst}, {"ceiling_rate", p.HardLimitRate}, {"ceiling_burst", p.HardLimitBurst}, {"ceiling_slack", p.HardLimitSlack},
			{"open", float64(p.MaxInFlight)}, {"price", p.PriorityFactor}, {"over_worth", p.OverQuotaFraction}, {"over_cost", p.OverQuotaCost}} {
			if !(f.v >= 0 && f.v < 1e12) {
				return fmt.Errorf("%s: out of range", f.name)
			}
		}
		switch {
		case p.Rate > 0 && p.Burst <= 0:
			return errors.New("burst: a rate needs one")
		case p.HardLimitRate > 0 && (p.HardLimitBurst <= 0 || p.HardLimitRate < p.Rate):
			return errors.New("ceiling_rate: a ceiling needs a burst and lies above the rate")
		}
		return nil
	}),
	"licensee": as(func(l *Licensee) error {
		if l.Plan == "" {
			return errors.New("plan: is missing")
		}
		return nil
	}),
	"hall": as(func(h *Site) error {
		if _, err := netip.ParseAddrPort(h.DiscoveryAddress); err != nil {
			return errors.New("register: an address with a port is wanted")
		}
		return nil
	}),
	"lost": as(func(l *LostSite) error {
		if l.Reason == "" {
			return errors.New("why: is missing")
		}
		if l.RecoveredEighths < 0 || l.RecoveredEighths > 7 {
			return errors.New("part: is outside 0 to 7")
		}
		return nil
	}),
	"member": as(func(m *Member) error {
		if _, err := netip.ParseAddrPort(m.RaftAddress); err != nil {
			return errors.New("raft: an address with a port is wanted")
		}
		if _, err := netip.ParseAddrPort(m.AdminAddress); err != nil {
			return errors.New("admin: an address with a port is wanted")
		}
		return nil
	}),
	"follower": as(func(f *Follower) error {
		if len(f.Note) > 1000 {
			return errors.New("note: 1000 bytes are the most")
		}
		return nil
	}),
	"epoch": as(func(e *Epoch) error {
		if e.Number == 0 || e.ID == "" || len(e.ID) > 100 {
			return errors.New("number: from 1, and an id of 1 to 100 bytes are wanted")
		}
		return nil
	}),
	"limit": as(func(l *Limit) error {
		if l.Max < 1 || l.Max > 1_000_000 {
			return errors.New("most: is outside 1 to 1000000")
		}
		return nil
	}),
	"class": as(func(c *Class) error {
		switch {
		case c.Name != "":
			return errors.New("name: is that of the change")
		case !(c.PriorityWeight > 0 && c.PriorityWeight < 1e9):
			return errors.New("worth: is not above 0")
		case !(c.LateFraction >= 0 && c.LateFraction <= 1):
			return errors.New("late: is outside 0 to 1")
		case c.LatencyObjectiveMs <= 0 || c.DeadlineMs < c.LatencyObjectiveMs || c.DeadlineMs > 3_600_000:
			return errors.New("aim_ms: above 0 and up to deadline_ms, an hour at the most, is wanted")
		}
		return nil
	}),
	"description": as(func(d *Description) error {
		if d.File == "" || d.Text == "" {
			return errors.New("file or text is missing")
		}
		return nil
	}),
}

func as[T any](check func(*T) error) func(json.RawMessage) (json.RawMessage, error) {
	return func(text json.RawMessage) (json.RawMessage, error) {
		var v T
		if err := strict(text, &v); err != nil {
			return nil, fmt.Errorf("value: %w", err)
		}
		if err := check(&v); err != nil {
			return nil, err
		}
		return json.Marshal(&v)
	}
}

// ObjectsByName returns all objects of a kind by name.
func ObjectsByName[T any](s *State, kind string) map[string]T {
	out := map[string]T{}
	s.Each(kind, func(name string, value json.RawMessage) {
		var v T
		if json.Unmarshal(value, &v) == nil { // it was checked when it was put
			out[name] = v
		}
	})
	return out
}

// Classes returns the classes, by name.
func (s *State) Classes() []Class { return classesOf(s.objects) }

func classesOf(objects *Tree) (cs []Class) {
	each(objects, "class", func(name string, value json.RawMessage) {
		var c Class
		if json.Unmarshal(value, &c) == nil {
			c.Name = name
			cs = append(cs, c)
		}
	})
	return cs
}

// Epoch is the one agreed on; its number is 0 where none is.
func (s *State) Epoch() (e Epoch) {
	if text, ok := s.Get("epoch", "epoch"); ok {
		json.Unmarshal(text, &e) // it was checked when it was put
	}
	return e
}

// MaxUnits is the most units that one request may cost.
func (s *State) MaxUnits() int { return mostUnits(s.objects) }

func mostUnits(objects *Tree) int {
	var l Limit
	if text, ok := objects.Get(key("limit", "units")); ok && json.Unmarshal(text, &l) == nil {
		return l.Max
	}
	return defaultMostUnits
}

// takesKeys tells whether there is a hall that is neither closed nor lost.
func takesKeys(objects *Tree) (takes bool) {
	each(objects, "hall", func(name string, value json.RawMessage) {
		var h Site
		var l LostSite
		text, lost := objects.Get(key("lost", name))
		gone := lost && (json.Unmarshal(text, &l) != nil || l.RecoveredEighths == 0)
		takes = takes || !gone && json.Unmarshal(value, &h) == nil && !h.IsClosed
	})
	return takes
}

// consistent checks that what objects refer to is there. touched are the kinds and the
// objects changed: only what depends on those is looked at, in one order.
func (s *State) consistent(objects *Tree, touched map[string]bool) error {
	keys := []string{}
	for k := range touched {
		if _, there := objects.Get([]byte(k)); there {
			keys = append(keys, k)
		}
	}
	for kind, looked := range map[string]bool{"licensee": touched["plan"], "description": true} {
		if looked {
			each(objects, kind, func(name string, _ json.RawMessage) { keys = append(keys, kind+"/"+name) })
		}
	}
	slices.Sort(keys)
	for _, k := range slices.Compact(keys) {
		kind, name, _ := strings.Cut(k, "/")
		value, _ := objects.Get([]byte(k))
		switch {
		case kind == "licensee":
			var l Licensee
			if err := json.Unmarshal(value, &l); err != nil {
				return err
			}
			if _, ok := objects.Get(key("plan", l.Plan)); !ok {
				return fmt.Errorf("licensee %s: plan %q is not there: put it first, or in the same proposal", name, l.Plan)
			}
		case kind == "member":
			if n, err := strconv.ParseUint(name, 10, 64); err != nil || n == 0 || strconv.FormatUint(n, 10) != name {
				return fmt.Errorf("member %s: name: a number from 1 is wanted", name)
			}
		case kind == "lost":
			if _, ok := objects.Get(key("hall", name)); !ok {
				return fmt.Errorf("lost %s: there is no such hall", name)
			}
			if touched[k] && !takesKeys(objects) {
				return fmt.Errorf("lost %s: no other hall takes keys", name)
			}
		case kind == "epoch" && name != "epoch":
			return fmt.Errorf("epoch %s: there is one, called epoch", name)
		case kind == "epoch":
			var e Epoch
			if err := json.Unmarshal(value, &e); err != nil || e.Number <= s.Epoch().Number {
				return fmt.Errorf("epoch: number: above %d is wanted", s.Epoch().Number)
			}
		case kind == "limit" && name != "units":
			return fmt.Errorf("limit %s: is not known: units is", name)
		case kind == "description" && (touched["description"] || touched["class"] || touched["limit"]) && s.validate != nil:
			var d Description
			if err := json.Unmarshal(value, &d); err != nil {
				return err
			}
			if err := s.validate(d.File, d.Text, classesOf(objects), mostUnits(objects)); err != nil {
				return fmt.Errorf("description %s: %w", name, err)
			}
		}
	}
	return nil
}
