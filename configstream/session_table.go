package configstream

import "slices"

// sessionTable holds the open streams at a member.
//
// Invariant: order holds the keys of byID in ascending order. byName holds the same streams in the same order and
// contains no empty list.
type sessionTable struct {
	byID   map[uint64]*session
	order  []uint64
	byName map[string][]*session
}

func newSessionTable() sessionTable {
	return sessionTable{byID: map[uint64]*session{}, byName: map[string][]*session{}}
}

func (t *sessionTable) count() int { return len(t.byID) }

// add adds a stream. Its ID must be higher than those of all streams in the table.
func (t *sessionTable) add(s *session) {
	t.byID[s.id] = s
	t.order = append(t.order, s.id)
	t.byName[s.hello.Name] = append(t.byName[s.hello.Name], s)
}

func (t *sessionTable) remove(s *session) {
	delete(t.byID, s.id)
	if i, ok := slices.BinarySearch(t.order, s.id); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
	name := s.hello.Name
	t.byName[name] = slices.DeleteFunc(t.byName[name], func(o *session) bool { return o == s })
	if len(t.byName[name]) == 0 {
		delete(t.byName, name)
	}
}

// each calls f for all streams in the order of their IDs and returns the actions of all calls. f may remove streams.
func (t *sessionTable) each(f func(*session) []PublisherAction) (actions []PublisherAction) {
	for _, id := range slices.Clone(t.order) {
		if s := t.byID[id]; s != nil {
			actions = append(actions, f(s)...)
		}
	}
	return actions
}
