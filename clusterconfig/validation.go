package clusterconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Limits of objects' fields.
const (
	maxPlanFigure     = 1e12 // exclusive
	maxPriorityWeight = 1e9  // exclusive
	maxDeadlineMs     = 3_600_000
	maxEighths        = 7
	maxNoteBytes      = 1000
	maxEpochIDBytes   = 100
	maxUnitsLimit     = 1_000_000
)

// canonicalizers check the value of a put, by kind, and return its canonical encoding. Their errors are stored in
// outcomes by all members, so that neither their texts nor the order of the checks may change.
var canonicalizers = map[string]func(json.RawMessage) (json.RawMessage, error){
	KindPlan:        newCanonicalizer((*Plan).check),
	KindLicensee:    newCanonicalizer((*Licensee).check),
	KindSite:        newCanonicalizer((*Site).check),
	KindLostSite:    newCanonicalizer((*LostSite).check),
	KindClass:       newCanonicalizer((*Class).check),
	KindMember:      newCanonicalizer((*Member).check),
	KindFollower:    newCanonicalizer((*Follower).check),
	KindEpoch:       newCanonicalizer((*Epoch).check),
	KindLimit:       newCanonicalizer((*Limit).check),
	KindDescription: newCanonicalizer((*Description).check),
}

// Kinds returns all kinds of objects, sorted.
func Kinds() []string { return slices.Sorted(maps.Keys(canonicalizers)) }

func newCanonicalizer[T any](check func(*T) error) func(json.RawMessage) (json.RawMessage, error) {
	return func(text json.RawMessage) (json.RawMessage, error) {
		var v T
		if err := decodeStrict(text, &v); err != nil {
			return nil, fmt.Errorf("value: %w", err)
		}
		if err := check(&v); err != nil {
			return nil, err
		}
		return json.Marshal(&v)
	}
}

func (p *Plan) check() error {
	// In a fixed order: all members must reject with the same text.
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"rate", p.Rate},
		{"burst", p.Burst},
		{"ceiling_rate", p.HardLimitRate},
		{"ceiling_burst", p.HardLimitBurst},
		{"ceiling_slack", p.HardLimitSlack},
		{"open", float64(p.MaxInFlight)},
		{"price", p.PriorityFactor},
		{"over_worth", p.OverQuotaFraction},
		{"over_cost", p.OverQuotaCost},
	} {
		if !(f.value >= 0 && f.value < maxPlanFigure) {
			return fmt.Errorf("%s: out of range", f.key)
		}
	}
	switch {
	case p.Rate > 0 && p.Burst <= 0:
		return errors.New("burst: a rate needs one")
	case p.HardLimitRate > 0 && (p.HardLimitBurst <= 0 || p.HardLimitRate < p.Rate):
		return errors.New("ceiling_rate: a ceiling needs a burst and lies above the rate")
	}
	return nil
}

func (l *Licensee) check() error {
	if l.Plan == "" {
		return errors.New("plan: is missing")
	}
	return nil
}

func (s *Site) check() error { return checkAddress("register", s.DiscoveryAddress) }

func (l *LostSite) check() error {
	if l.Reason == "" {
		return errors.New("why: is missing")
	}
	if l.RecoveredEighths < 0 || l.RecoveredEighths > maxEighths {
		return errors.New("part: is outside 0 to 7")
	}
	return nil
}

func (c *Class) check() error {
	switch {
	case c.Name != "":
		return errors.New("name: is that of the change")
	case !(c.PriorityWeight > 0 && c.PriorityWeight < maxPriorityWeight):
		return errors.New("worth: is not above 0")
	case !(c.LateFraction >= 0 && c.LateFraction <= 1):
		return errors.New("late: is outside 0 to 1")
	case c.LatencyObjectiveMs <= 0 || c.DeadlineMs < c.LatencyObjectiveMs || c.DeadlineMs > maxDeadlineMs:
		return errors.New("aim_ms: above 0 and up to deadline_ms, an hour at the most, is wanted")
	}
	return nil
}

func (m *Member) check() error {
	if err := checkAddress("raft", m.RaftAddress); err != nil {
		return err
	}
	return checkAddress("admin", m.AdminAddress)
}

func (f *Follower) check() error {
	if len(f.Note) > maxNoteBytes {
		return errors.New("note: 1000 bytes are the most")
	}
	return nil
}

func (e *Epoch) check() error {
	if e.Number == 0 || e.ID == "" || len(e.ID) > maxEpochIDBytes {
		return errors.New("number: from 1, and an id of 1 to 100 bytes are wanted")
	}
	return nil
}

func (l *Limit) check() error {
	if l.Max < 1 || l.Max > maxUnitsLimit {
		return errors.New("most: is outside 1 to 1000000")
	}
	return nil
}

func (d *Description) check() error {
	if d.File == "" || d.Text == "" {
		return errors.New("file or text is missing")
	}
	return nil
}

func checkAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: an address with a port is wanted", field)
	}
	return nil
}
