package configstream

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// gossipRetention is the time for which gossip about a follower is retained, as a multiple of the silence timeout.
const gossipRetention = 10

// GossipMessage contains a member's observations of followers, for the other members.
type GossipMessage struct {
	Member    uint64           `json:"Member"`
	Followers []ObservedStream `json:"Followers"`
}

// ObservedStream is a member's observation of one stream of a follower. Times are ages as of the message.
type ObservedStream struct {
	Name            string        `json:"Name"`
	ProcessID       uint64        `json:"Process"`
	StartCount      uint64        `json:"Start"`
	StreamNumber    uint64        `json:"Dial"`
	StreamAge       time.Duration `json:"Began"`
	SilentFor       time.Duration `json:"Heard"`
	Running         *Ref          `json:"Running"`
	RunningFor      time.Duration `json:"Since"`
	Offered         *Ref          `json:"Offered"`
	LatestRejection *Rejection    `json:"Refused"` // of the newest version that the follower has rejected
}

// aged returns the observation with its ages increased by a duration.
func (o ObservedStream) aged(by time.Duration) ObservedStream {
	o.StreamAge += by
	o.SilentFor += by
	o.RunningFor += by
	return o
}

// observationTable holds this and other members' observations of followers' streams, except those of streams that are
// open at this member.
type observationTable struct {
	member       uint64                                   // ID of this member
	disconnected map[string]localObservation              // latest ended streams at this member, by follower
	remote       map[uint64]map[string]remoteObservations // observations by member and follower
	changed      map[string]bool                          // followers whose streams have changed since the last gossip
}

// localObservation is this member's observation of a stream.
type localObservation struct {
	stream     ObservedStream
	observedAt time.Duration
}

// lastMessageAt returns when the follower sent its last message.
func (t *localObservation) lastMessageAt() time.Duration { return t.observedAt - t.stream.SilentFor }

// remoteObservations are another member's observations of a follower's streams.
type remoteObservations struct {
	streams    []ObservedStream
	receivedAt time.Duration
}

func newObservationTable(member uint64) observationTable {
	return observationTable{
		member:       member,
		disconnected: map[string]localObservation{},
		remote:       map[uint64]map[string]remoteObservations{},
		changed:      map[string]bool{},
	}
}

// recordDisconnect retains the last state of a stream that has ended, unless the retained stream of the same follower
// has received a later message.
func (t *observationTable) recordDisconnect(now time.Duration, s *session) {
	name := s.hello.Name
	before, ok := t.disconnected[name]
	if !ok || s.receivedAt >= before.lastMessageAt() {
		t.disconnected[name] = localObservation{s.observed(now), now}
	}
}

// dropRemovedFollowers drops the ended streams of followers that are no longer configured.
func (t *observationTable) dropRemovedFollowers(isFollower func(name string) bool) {
	maps.DeleteFunc(t.disconnected, func(name string, _ localObservation) bool { return !isFollower(name) })
}

// receive replaces a member's earlier observations of the followers in its message.
func (t *observationTable) receive(now time.Duration, m GossipMessage, isFollower func(name string) bool) {
	byName := t.remote[m.Member]
	if byName == nil {
		byName = map[string]remoteObservations{}
		t.remote[m.Member] = byName
	}
	for i := 0; i < len(m.Followers); {
		end := endOfNameGroup(m.Followers, i+1)
		if name := m.Followers[i].Name; isFollower(name) {
			byName[name] = remoteObservations{m.Followers[i:end], now}
		}
		i = end
	}
}

// expire drops gossip that is older than the retention and gossip about followers that are no longer configured.
func (t *observationTable) expire(now, retention time.Duration, isFollower func(name string) bool) {
	for _, byName := range t.remote {
		maps.DeleteFunc(byName, func(name string, streams remoteObservations) bool {
			return now-streams.receivedAt > retention || !isFollower(name)
		})
	}
}

// each calls f for each observation of a follower's streams, except those that are open at this member.
func (t *observationTable) each(now time.Duration, name string, f func(member uint64, o ObservedStream)) {
	if o, ok := t.disconnected[name]; ok {
		f(t.member, o.stream.aged(now-o.observedAt))
	}
	for _, member := range slices.Sorted(maps.Keys(t.remote)) {
		observed := t.remote[member][name]
		for _, o := range observed.streams {
			f(member, o.aged(now-observed.receivedAt))
		}
	}
}

// GossipMessages returns the messages to the other members, with about batchSize streams each. They contain all
// observations of this member if isFull is set, or else those of followers whose streams have changed since the last
// call.
func (p *Publisher) GossipMessages(now time.Duration, batchSize int, isFull bool) (messages []GossipMessage) {
	var all []ObservedStream
	p.sessions.each(func(s *session) []PublisherAction {
		if isFull || p.observations.changed[s.hello.Name] {
			all = append(all, s.observed(now))
		}
		return nil
	})
	for name, o := range p.observations.disconnected {
		if isFull || p.observations.changed[name] {
			all = append(all, o.stream.aged(now-o.observedAt))
		}
	}
	clear(p.observations.changed)
	slices.SortFunc(all, func(a, b ObservedStream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.SilentFor, b.SilentFor))
	})
	for i := 0; i < len(all); {
		end := endOfNameGroup(all, min(i+batchSize, len(all)))
		messages = append(messages, GossipMessage{p.cfg.MemberID, all[i:end]})
		i = end
	}
	return messages
}

// endOfNameGroup returns the index, at or after end, of the first stream with another name than the stream before end.
// All streams of a name are sent in one message. end must be above 0.
func endOfNameGroup(streams []ObservedStream, end int) int {
	for end < len(streams) && streams[end].Name == streams[end-1].Name {
		end++
	}
	return end
}

// GossipReceived handles another member's message. Its observations of a follower replace that member's earlier ones.
func (p *Publisher) GossipReceived(now time.Duration, m GossipMessage) {
	if m.Member != p.cfg.MemberID {
		p.observations.receive(now, m, p.versions.isFollower)
	}
}

// forEachObservation calls f for each observation of a follower's streams, by this member and by the others.
func (p *Publisher) forEachObservation(now time.Duration, name string, f func(member uint64, o ObservedStream)) {
	for _, s := range p.sessions.byName[name] {
		f(p.cfg.MemberID, s.observed(now))
	}
	p.observations.each(now, name, f)
}
