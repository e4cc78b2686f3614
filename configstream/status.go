package configstream

import (
	"cmp"
	"fmt"
	"time"
)

// summaryPrecision is the precision to which durations in summaries are rounded.
const summaryPrecision = 100 * time.Millisecond

// ObservedStatus is the status of a follower as observed by the members.
type ObservedStatus struct {
	Name            string        `json:"name"`
	State           string        `json:"state"` // one of the State constants, such as StateRunning
	Running         *Ref          `json:"running,omitempty"`
	StateAge        time.Duration `json:"since_ns,omitempty"` // time in State with the version Running
	Offered         *Ref          `json:"offered,omitempty"`  // version in the last push
	LatestRejection *Rejection    `json:"refused,omitempty"`
	LastMember      uint64        `json:"member,omitempty"` // member with the latest observation
	IsBehind        bool          `json:"behind,omitempty"` // whether it runs another version than the newest
	PinnedVersion   uint64        `json:"pinned,omitempty"` // see [clusterconfig.Follower]; 0 if not pinned
	NameConflict    string        `json:"twin,omitempty"`   // see [Pong]
}

// Statuses returns the statuses of all configured followers, sorted by name.
func (p *Publisher) Statuses(now time.Duration) (all []ObservedStatus) {
	for _, name := range p.versions.followerNames() {
		all = append(all, p.status(now, name))
	}
	return all
}

func (p *Publisher) status(now time.Duration, name string) ObservedStatus {
	st := ObservedStatus{Name: name, State: StateNeverConnected, PinnedVersion: p.versions.pins[name]}
	for _, s := range p.sessions.byName[name] {
		st.NameConflict = cmp.Or(s.nameConflict, st.NameConflict)
	}
	latest, member, ok := p.latestObservation(now, name)
	if !ok {
		return st
	}
	st.LastMember = member
	st.Running = latest.Running
	st.StateAge = latest.RunningFor
	st.Offered = latest.Offered
	st.LatestRejection = latest.LatestRejection
	switch {
	case latest.SilentFor > p.cfg.SilenceTimeout:
		st.State, st.StateAge = StateUnknown, latest.SilentFor
	case latest.Running == nil:
		st.State, st.StateAge = StateWaiting, latest.StreamAge
	default:
		st.State = StateRunning
	}
	st.IsBehind = st.State == StateRunning && p.versions.newest.Compare(*st.Running) != OrderSame
	return st
}

// latestObservation returns the observation of a follower with the most recent message, and the member that made it. Of
// equally recent observations it returns that of the latest stream.
func (p *Publisher) latestObservation(now time.Duration, name string) (latest ObservedStream, member uint64, ok bool) {
	p.forEachObservation(now, name, func(from uint64, o ObservedStream) {
		order := cmp.Or(cmp.Compare(latest.SilentFor, o.SilentFor), cmp.Compare(o.StreamNumber, latest.StreamNumber))
		if !ok || order > 0 {
			latest, member, ok = o, from, true
		}
	})
	return latest, member, ok
}

// IsRejecting reports whether the follower has rejected a newer version than the one that it runs.
func (s *ObservedStatus) IsRejecting() bool {
	r := s.LatestRejection
	return r != nil && (s.Running == nil || r.Compare(*s.Running) == OrderNewer)
}

// Summary describes the status for operators.
func (s *ObservedStatus) Summary() string {
	text := s.stateSummary()
	if s.PinnedVersion > 0 {
		text += fmt.Sprintf(", pinned to %d", s.PinnedVersion)
	}
	if r := s.LatestRejection; s.IsRejecting() {
		text += fmt.Sprintf(", %s %v: %v", wordRejected, r.Ref, r.Problems)
	}
	return text
}

func (s *ObservedStatus) stateSummary() string {
	age := s.StateAge.Round(summaryPrecision)
	switch {
	case s.NameConflict != "":
		return s.NameConflict
	case s.State == StateRunning:
		return fmt.Sprintf("has run version %v for %v", *s.Running, age)
	case s.State == StateUnknown && s.Running != nil:
		return fmt.Sprintf("has been unknown for %v; it ran version %v", age, *s.Running)
	case s.State == StateUnknown, s.State == StateWaiting:
		return fmt.Sprintf("has been %s for %v", s.State, age)
	case s.State == StateNeverConnected:
		return "has never connected"
	}
	return s.State
}

// Explain describes the status for operators, with the reason for which the follower does not run the newest version.
func (s *ObservedStatus) Explain(newest uint64) string {
	text := s.Name + " " + s.Summary()
	if reason := s.reason(newest); reason != "" {
		text += ": " + reason
	}
	return text
}

// reason returns why the follower does not run the newest version, or "" if that is unknown.
func (s *ObservedStatus) reason(newest uint64) string {
	const (
		isOlder = "the members' newest version is %d, which is older: " +
			"after a restore, the control service needs a new epoch before followers accept its versions"
		isPinned = "until it is unpinned, it accepts no newer version; it never accepts one older than the one that it runs"
		isNever  = "no member has received a stream from it; " +
			"check that it runs, that its certificate has this name, and that it has the members' stream addresses"
	)
	isRunning := s.State == StateRunning
	switch {
	case isRunning && s.Running.Number == newest && s.NameConflict == "":
		return "this is the newest version"
	case s.PinnedVersion > 0 && isRunning && s.Running.Number >= s.PinnedVersion:
		return isPinned
	case isRunning && s.Running.Number > newest:
		return fmt.Sprintf(isOlder, newest)
	case s.LatestRejection != nil && s.LatestRejection.Number == newest:
		return "it will accept the next version that corrects this"
	case s.State == StateNeverConnected:
		return isNever
	case s.State == StateUnknown:
		return "no member receives messages from it; if it runs, it serves with the version that it had"
	case s.State == StateWaiting:
		return "it has no version in force and waits for one that a quorum confirms"
	case s.Offered != nil && s.Offered.Number == newest:
		return "the newest version was pushed to it, and it has not replied yet"
	}
	return ""
}
