package clusterconfig

import "encoding/json"

// defaultMaxUnits is the limit of units per request if none is configured.
const defaultMaxUnits = 50

// ObjectsByName returns all objects of a kind by name. T must be the type of that kind.
func ObjectsByName[T any](s *State, kind string) map[string]T {
	out := map[string]T{}
	s.Each(kind, func(name string, value json.RawMessage) {
		var v T
		if json.Unmarshal(value, &v) == nil { // values are checked when they are put
			out[name] = v
		}
	})
	return out
}

// Classes returns the classes, sorted by name.
func (s *State) Classes() []Class { return classesOf(s.objects) }

// Epoch returns the epoch in force, or the zero value if none is configured.
func (s *State) Epoch() (e Epoch) {
	if text, ok := s.Get(KindEpoch, epochName); ok {
		json.Unmarshal(text, &e) // values are checked when they are put
	}
	return e
}

// MaxUnits returns the maximum number of units that one request may cost.
func (s *State) MaxUnits() int { return maxUnits(s.objects) }

func classesOf(objects *Tree) (classes []Class) {
	forEachObject(objects, KindClass, func(name string, value json.RawMessage) {
		var c Class
		if json.Unmarshal(value, &c) == nil {
			c.Name = name
			classes = append(classes, c)
		}
	})
	return classes
}

func maxUnits(objects *Tree) int {
	var l Limit
	text, ok := objects.Get(objectKey(KindLimit, unitsLimitName))
	if ok && json.Unmarshal(text, &l) == nil {
		return l.Max
	}
	return defaultMaxUnits
}

func forEachObject(objects *Tree, kind string, f func(name string, value json.RawMessage)) {
	prefix := objectKey(kind, "")
	objects.Root().WalkPrefix(prefix, func(key []byte, value json.RawMessage) bool {
		f(string(key[len(prefix):]), value)
		return false
	})
}
