package multisite

import "time"

// siteVotes counts members by what they observe of a site.
type siteVotes struct {
	silent    int // members that the site does not answer
	answering int // members that the site answers
}

// add counts an observation if its silence lasted for at least minSilence, or its answers for at least minAnswering.
func (v *siteVotes) add(o observation, minSilence, minAnswering time.Duration) {
	switch age := o.observedAt - o.since; {
	case o.isSilent && age >= minSilence:
		v.silent++
	case !o.isSilent && age >= minAnswering:
		v.answering++
	}
}

// votes counts the members that a site has not answered for minSilence, and those that it has answered for
// minAnswering. A member that reaches the site only through another site adopts the view of the members that reach it
// directly: it counts as answered if one of those is answered, and as unanswered if all of them are unanswered. If none
// of their views is current, its own view counts.
func (h *HealthMonitor) votes(now time.Duration, site string, minSilence, minAnswering time.Duration) siteVotes {
	var direct, remote siteVotes
	directCount, remoteCount := 0, 0
	for _, member := range h.members {
		if !h.hasCurrentViews(now, member) {
			continue
		}
		o := h.observationOf(member, site)
		isCurrent := o.isCurrent(now, h.cfg.ViewTTL)
		if o.isRemote {
			remoteCount++
			if isCurrent {
				remote.add(o, minSilence, minAnswering)
			}
		} else if isCurrent {
			directCount++
			direct.add(o, minSilence, minAnswering)
		}
	}
	switch {
	case directCount == 0:
		return remote
	case direct.answering > 0:
		direct.answering += remoteCount
	case direct.silent == directCount:
		direct.silent += remoteCount
	}
	return direct
}

// hasCurrentViews reports whether a member has announced its views within ViewTTL; those of this instance are always
// current.
func (h *HealthMonitor) hasCurrentViews(now time.Duration, member uint64) bool {
	if member == h.cfg.InstanceID {
		return true
	}
	at, ok := h.viewsReceivedAt[member]
	return ok && now-at <= h.cfg.ViewTTL
}

// observationOf returns a member's observation of a site: as it announced it or, for this instance, its own.
func (h *HealthMonitor) observationOf(member uint64, site string) (o observation) {
	if member != h.cfg.InstanceID {
		return h.peers[member][site]
	}
	if own := h.own[site]; own != nil {
		o = own.observation
	}
	o.isRemote = h.isRemote[site]
	return o
}

func (h *HealthMonitor) isMajority(count int) bool { return 2*count > len(h.members) }
