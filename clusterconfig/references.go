package clusterconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// checkReferences checks that names are valid and that referenced objects exist. It checks only the objects that may
// depend on the touched ones, in the order of their keys, since all members must reject a proposal with the same text.
func (s *State) checkReferences(objects *Tree, touched touchedSet) error {
	for _, key := range affectedKeys(objects, touched) {
		if err := s.checkObject(objects, touched, key); err != nil {
			return err
		}
	}
	return nil
}

// affectedKeys returns the sorted keys of the objects that a proposal touched and of those that may depend on them.
func affectedKeys(objects *Tree, touched touchedSet) []string {
	keys := []string{}
	for key := range touched {
		if _, exists := objects.Get([]byte(key)); exists {
			keys = append(keys, key)
		}
	}
	dependents := []string{KindDescription}
	if touched.hasKind(KindPlan) {
		dependents = append(dependents, KindLicensee)
	}
	for _, kind := range dependents {
		forEachObject(objects, kind, func(name string, _ json.RawMessage) {
			keys = append(keys, string(objectKey(kind, name)))
		})
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// checkObject checks an object's name and references. It skips checks whose result cannot have changed with the touched
// objects.
func (s *State) checkObject(objects *Tree, touched touchedSet, key string) error {
	kind, name := splitKey(key)
	value, _ := objects.Get([]byte(key))
	switch kind {
	case KindLicensee:
		return checkLicenseePlan(objects, name, value)
	case KindMember:
		return checkMemberName(name)
	case KindLostSite:
		return checkLostSite(objects, name, touched.hasKey(key))
	case KindEpoch:
		return s.checkEpoch(name, value)
	case KindLimit:
		return checkLimitName(name)
	case KindDescription:
		if touched.hasKind(KindDescription) || touched.hasKind(KindClass) || touched.hasKind(KindLimit) {
			return s.checkDescription(objects, name, value)
		}
	}
	return nil
}

// checkLicenseePlan checks that the licensee's plan exists.
func checkLicenseePlan(objects *Tree, name string, value json.RawMessage) error {
	var l Licensee
	if err := json.Unmarshal(value, &l); err != nil {
		return err
	}
	if _, ok := objects.Get(objectKey(KindPlan, l.Plan)); !ok {
		const text = "licensee %s: plan %q is not there: put it first, or in the same proposal"
		return fmt.Errorf(text, name, l.Plan)
	}
	return nil
}

// checkMemberName checks that a member's name is its number, which is positive and written without leading zeros.
func checkMemberName(name string) error {
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil || n == 0 || strconv.FormatUint(n, 10) != name {
		return fmt.Errorf("member %s: name: a number from 1 is wanted", name)
	}
	return nil
}

// checkLimitName checks that the name of a limit is known.
func checkLimitName(name string) error {
	if name != unitsLimitName {
		return fmt.Errorf("limit %s: is not known: %s is", name, unitsLimitName)
	}
	return nil
}

// checkLostSite checks that the lost site exists and, if the proposal touches the loss, that another site can own its
// keys.
func checkLostSite(objects *Tree, name string, isTouched bool) error {
	if _, ok := objects.Get(objectKey(KindSite, name)); !ok {
		return fmt.Errorf("%s %s: there is no such %s", KindLostSite, name, KindSite)
	}
	if isTouched && !hasAvailableSite(objects) {
		return fmt.Errorf("%s %s: no other %s takes keys", KindLostSite, name, KindSite)
	}
	return nil
}

// checkEpoch checks that the epoch has the only valid name and is later than the one in force, since followers treat
// versions of later epochs as newer.
func (s *State) checkEpoch(name string, value json.RawMessage) error {
	if name != epochName {
		return fmt.Errorf("epoch %s: there is one, called epoch", name)
	}
	var e Epoch
	current := s.Epoch().Number
	if err := json.Unmarshal(value, &e); err != nil || e.Number <= current {
		return fmt.Errorf("epoch: number: above %d is wanted", current)
	}
	return nil
}

// checkDescription checks a description with the validator, against the classes and the limit of units.
func (s *State) checkDescription(objects *Tree, name string, value json.RawMessage) error {
	if s.validate == nil {
		return nil
	}
	var d Description
	if err := json.Unmarshal(value, &d); err != nil {
		return err
	}
	if err := s.validate(d.File, d.Text, classesOf(objects), maxUnits(objects)); err != nil {
		return fmt.Errorf("description %s: %w", name, err)
	}
	return nil
}
