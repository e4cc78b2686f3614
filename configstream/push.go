package configstream

import (
	"slices"
	"time"
)

// bodyKey identifies the body of a push by its base (zero: the body is complete) and the version.
type bodyKey struct{ base, version Ref }

// ReportReceived handles a follower's report.
func (p *Publisher) ReportReceived(now time.Duration, id uint64, r Report) []StreamAction {
	s := p.sessions.byID[id]
	if s == nil {
		return nil
	}
	p.updateSession(now, s, &r)
	if r.Nonce == 0 || r.Nonce != s.pendingNonce {
		return nil // a status, or the reply to a push of another stream
	}
	s.pendingNonce = 0
	switch r.Result {
	case ResultApplied, ResultRejected:
		s.needsFull = false
		return p.offer(now, s)
	case ResultNeedsFull:
		if s.needsFull {
			return p.endStream(now, s, "the whole version did not reach it as it is")
		}
		s.needsFull = true
		return p.offer(now, s)
	case ResultNotNewer:
		isBehind := r.Running != nil && p.newest.Compare(*r.Running) == OrderNewer
		if isBehind && s.offered != nil && p.newest.Ref != *s.offered {
			return p.offer(now, s)
		}
	}
	return nil // the next version or confirmation causes the next push
}

// updateSession records the follower's state from a report.
func (p *Publisher) updateSession(now time.Duration, s *session, r *Report) {
	s.heardAt = now
	if r.Running != nil && (s.running == nil || *s.running != *r.Running) {
		s.running = r.Running
		s.runningSince = now
		p.changed[s.hello.Name] = true
	}
	if r.Result == ResultRejected {
		rejection := Rejection{Ref: r.Ref, Problems: r.Problems, IsUnsupportedFormat: r.IsUnsupportedFormat}
		s.rejections = appendRejection(s.rejections, rejection)
		p.changed[s.hello.Name] = true
	}
}

// offer pushes a follower's target version to it, if it needs it and may get it now. One push is in flight at a time:
// versions published meanwhile are not queued; the newest is pushed after the reply.
func (p *Publisher) offer(now time.Duration, s *session) []StreamAction {
	v := p.targetVersion(s.hello.Name)
	if v == nil || s.pendingNonce != 0 || s.nameConflict != "" {
		return nil
	}
	isConfirmed := p.confirmation.isValid && p.confirmation.askedAt >= s.beganAt
	if s.running == nil && !isConfirmed {
		return nil // the follower could not recognize an old version
	}
	if s.running != nil && v.Compare(*s.running) != OrderNewer {
		return nil
	}
	if findRejection(s.rejections, v.Ref) != nil {
		return nil
	}
	p.lastNonce++
	ref := v.Ref
	s.pendingNonce = p.lastNonce
	s.offered = &ref
	s.pushedAt = now
	push := &Push{Nonce: s.pendingNonce, Body: p.bodyFor(s, v), IsConfirmed: isConfirmed}
	return []StreamAction{{SessionID: s.id, Push: push}}
}

// targetVersion returns the version that a follower should run: the newest or the one that it is pinned to; nil: it is
// not retained here.
func (p *Publisher) targetVersion(name string) *Version {
	pin, ok := p.pins[name]
	if !ok || p.newest == nil || pin >= p.newest.Number {
		return p.newest
	}
	return p.findRetained(func(v *Version) bool { return v.Number == pin && v.Epoch == p.newest.Epoch })
}

// findRetained returns the oldest retained version that matches; nil: none does.
func (p *Publisher) findRetained(matches func(*Version) bool) *Version {
	i := slices.IndexFunc(p.retained, matches)
	if i < 0 {
		return nil
	}
	return p.retained[i]
}

// bodyFor returns the content of a version for a follower: the difference to the version that it runs if that is
// retained and the difference is smaller, or else the complete content. Followers with the same base share it.
func (p *Publisher) bodyFor(s *session, v *Version) *Body {
	var base Ref // none
	if s.running != nil && !s.needsFull && !p.cfg.DisableDeltas {
		base = *s.running
	}
	key := bodyKey{base, v.Ref}
	if b, ok := p.bodies[key]; ok {
		return b
	}
	full := p.fullBody(v)
	baseVersion := p.findRetained(func(o *Version) bool { return o.Ref == base })
	if baseVersion == nil {
		return full // not cached under key: a follower may claim to run anything
	}
	body := v.Body(baseVersion)
	if body.Size() >= full.Size() {
		body = full
	}
	p.bodies[key] = body
	return body
}

// fullBody returns the complete content of a version.
func (p *Publisher) fullBody(v *Version) *Body {
	key := bodyKey{version: v.Ref}
	if p.bodies[key] == nil {
		p.bodies[key] = v.Body(nil)
	}
	return p.bodies[key]
}
