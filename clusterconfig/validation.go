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
	maxPlanFigure     = 1e12      // exclusive; for each numeric field of a plan, in the field's unit
	maxPriorityWeight = 1e9       // exclusive
	maxDeadlineMs     = 3_600_000 // one hour in milliseconds
	maxEighths        = 7         // a site that owns all eighths of its keys is not lost
	maxNoteBytes      = 1000
	maxEpochIDBytes   = 100
	maxUnitsLimit     = 1_000_000 // units per request
)

// canonicalizer checks the value of a put and returns its canonical encoding.
type canonicalizer func(json.RawMessage) (json.RawMessage, error)

// canonicalizers contains the canonicalizer of each kind. All members store the errors in outcomes, so that neither the
// error texts nor the order of the checks may change.
var canonicalizers = map[string]canonicalizer{
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

// newCanonicalizer returns the canonicalizer of a type. It rejects unknown fields and values that check rejects.
func newCanonicalizer[T any](check func(*T) error) canonicalizer {
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

// check rejects fields that are negative or too large, rates and hard limits without a burst, and hard limits below the
// rate. The order of the fields is fixed, since all members must reject with the same text.
func (p *Plan) check() error {
	for _, f := range []struct {
		key   string
		value float64
	}{
		{fieldRate, p.Rate},
		{fieldBurst, p.Burst},
		{fieldHardLimitRate, p.HardLimitRate},
		{fieldHardLimitBurst, p.HardLimitBurst},
		{fieldHardLimitSlack, p.HardLimitSlack},
		{fieldMaxInFlight, float64(p.MaxInFlight)},
		{fieldPriorityFactor, p.PriorityFactor},
		{fieldOverQuotaFraction, p.OverQuotaFraction},
		{fieldOverQuotaCost, p.OverQuotaCost},
	} {
		if !(f.value >= 0 && f.value < maxPlanFigure) {
			return fmt.Errorf("%s: out of range", f.key)
		}
	}
	switch {
	case p.Rate > 0 && p.Burst <= 0:
		return errors.New(fieldBurst + ": a rate needs one")
	case p.HardLimitRate > 0 && (p.HardLimitBurst <= 0 || p.HardLimitRate < p.Rate):
		return errors.New(fieldHardLimitRate + ": a ceiling needs a burst and lies above the rate")
	}
	return nil
}

// check rejects a customer without a plan. checkReferences checks that the plan exists.
func (l *Licensee) check() error {
	if l.Plan == "" {
		return errors.New("plan: is missing")
	}
	return nil
}

// check rejects a site whose discovery address is not an IP address with a port.
func (s *Site) check() error { return checkAddress(FieldDiscoveryAddress, s.DiscoveryAddress) }

// check rejects a loss without a reason for operators, and recovered eighths outside 0 to maxEighths.
func (l *LostSite) check() error {
	if l.Reason == "" {
		return errors.New(fieldLossReason + ": is missing")
	}
	if l.RecoveredEighths < 0 || l.RecoveredEighths > maxEighths {
		return fmt.Errorf("%s: is outside 0 to %d", fieldRecoveredEighths, maxEighths)
	}
	return nil
}

// check rejects a class without weight, one whose late responses would count more than timely ones, a latency objective
// that is not positive or longer than the deadline, and a deadline longer than maxDeadlineMs.
func (c *Class) check() error {
	switch {
	case c.Name != "":
		return errors.New("name: is that of the change")
	case !(c.PriorityWeight > 0 && c.PriorityWeight < maxPriorityWeight):
		return errors.New(fieldPriorityWeight + ": is not above 0")
	case !(c.LateFraction >= 0 && c.LateFraction <= 1):
		return errors.New(fieldLateFraction + ": is outside 0 to 1")
	case c.LatencyObjectiveMs <= 0 || c.DeadlineMs < c.LatencyObjectiveMs || c.DeadlineMs > maxDeadlineMs:
		return fmt.Errorf("%s: above 0 and up to %s, an hour at the most, is wanted",
			fieldLatencyObjective, fieldDeadline)
	}
	return nil
}

// check rejects a member unless both addresses are IP addresses with a port.
func (m *Member) check() error {
	if err := checkAddress(fieldRaftAddress, m.RaftAddress); err != nil {
		return err
	}
	return checkAddress(fieldAdminAddress, m.AdminAddress)
}

// check rejects a note that is too long. Any version may be pinned, including one that is not committed yet.
func (f *Follower) check() error {
	if len(f.Note) > maxNoteBytes {
		return fmt.Errorf("note: %d bytes are the most", maxNoteBytes)
	}
	return nil
}

// check rejects an epoch without a number or with an invalid ID. checkReferences checks that it is later than the epoch
// in force.
func (e *Epoch) check() error {
	if e.Number == 0 || e.ID == "" || len(e.ID) > maxEpochIDBytes {
		return fmt.Errorf("number: from 1, and an id of 1 to %d bytes are wanted", maxEpochIDBytes)
	}
	return nil
}

// check rejects a limit outside 1 to maxUnitsLimit.
func (l *Limit) check() error {
	if l.Max < 1 || l.Max > maxUnitsLimit {
		return fmt.Errorf("%s: is outside 1 to %d", fieldLimitMax, maxUnitsLimit)
	}
	return nil
}

// check rejects a description without a file name or text. checkReferences checks the text against classes and limits.
func (d *Description) check() error {
	if d.File == "" || d.Text == "" {
		return errors.New("file or text is missing")
	}
	return nil
}

// checkAddress rejects an address that is not an IP address with a port.
func checkAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: an address with a port is wanted", field)
	}
	return nil
}
