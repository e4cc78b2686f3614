package configstream

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// gossipRetention is how long gossip about a follower is retained, as a multiple of the silence timeout.
const gossipRetention = 10

// GossipMessage reports a member's observations of followers to the other members.
type GossipMessage struct {
	Member    uint64           `json:"Member"`
	Followers []ObservedStream `json:"Followers"`
}

// ObservedStream is a member's observation of one stream of a follower. Times are ages, relative to the message.
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
	LatestRejection *Rejection    `json:"Refused"` // of the newest version that it rejected
}

// aged returns the observation with its ages increased.
func (o ObservedStream) aged(by time.Duration) ObservedStream {
	o.StreamAge += by
	o.SilentFor += by
	o.RunningFor += by
	return o
}

// timedStream is an observation by this member.
type timedStream struct {
	stream     ObservedStream
	observedAt time.Duration
}

// timedStreams are another member's observations of the streams of one follower.
type timedStreams struct {
	streams    []ObservedStream
	receivedAt time.Duration
}

// GossipMessages returns the messages to the other members, of about batchSize followers each: with all observations of
// this member if isFull, or else of the followers whose streams have changed since the last call.
func (p *Publisher) GossipMessages(now time.Duration, batchSize int, isFull bool) (messages []GossipMessage) {
	var all []ObservedStream
	p.sessions.each(func(s *session) []StreamAction {
		if isFull || p.changed[s.hello.Name] {
			all = append(all, s.observed(now))
		}
		return nil
	})
	for name, o := range p.departed {
		if isFull || p.changed[name] {
			all = append(all, o.stream.aged(now-o.observedAt))
		}
	}
	clear(p.changed)
	slices.SortFunc(all, func(a, b ObservedStream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.SilentFor, b.SilentFor))
	})
	for i := 0; i < len(all); {
		end := endOfName(all, min(i+batchSize, len(all)))
		messages = append(messages, GossipMessage{p.cfg.Member, all[i:end]})
		i = end
	}
	return messages
}

// endOfName returns the index, from end on, after the streams with the same name as the one before end: all streams
// of a name are sent in one message. end is above 0.
func endOfName(streams []ObservedStream, end int) int {
	for end < len(streams) && streams[end].Name == streams[end-1].Name {
		end++
	}
	return end
}

// GossipReceived handles another member's message. Its observations of a name replace that member's earlier ones.
func (p *Publisher) GossipReceived(now time.Duration, m GossipMessage) {
	if m.Member == p.cfg.Member {
		return
	}
	byName := p.remote[m.Member]
	if byName == nil {
		byName = map[string]timedStreams{}
		p.remote[m.Member] = byName
	}
	for i := 0; i < len(m.Followers); {
		end := endOfName(m.Followers, i+1)
		if name := m.Followers[i].Name; p.isFollower(name) {
			byName[name] = timedStreams{m.Followers[i:end], now}
		}
		i = end
	}
}

// expireGossip drops old gossip, and gossip about names that are no longer agreed on.
func (p *Publisher) expireGossip(now time.Duration) {
	for _, byName := range p.remote {
		maps.DeleteFunc(byName, func(name string, t timedStreams) bool {
			return now-t.receivedAt > gossipRetention*p.cfg.SilenceTimeout || !p.isFollower(name)
		})
	}
}

// forEachObservation calls f for each observation of a follower's streams, by this and by other members.
func (p *Publisher) forEachObservation(now time.Duration, name string, f func(member uint64, o ObservedStream)) {
	for _, s := range p.sessions.byName[name] {
		f(p.cfg.Member, s.observed(now))
	}
	if o, ok := p.departed[name]; ok {
		f(p.cfg.Member, o.stream.aged(now-o.observedAt))
	}
	for _, member := range slices.Sorted(maps.Keys(p.remote)) {
		t := p.remote[member][name]
		for _, o := range t.streams {
			f(member, o.aged(now-t.receivedAt))
		}
	}
}
