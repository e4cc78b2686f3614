package multisite

import (
	"errors"
	"slices"
	"strings"
	"time"
)

// HealthConfig configures a [HealthMonitor].
type HealthConfig struct {
	InstanceID       uint64
	MinUnanswered    int           // number of consecutive unanswered attempts or health checks that make a site silent
	LossTimeout      time.Duration // a site silent to a majority for this long is lost
	ViewTTL          time.Duration // age above which another instance's view is outdated
	RecoveryDelay    time.Duration // time for which a lost site must answer before it counts as recovered
	MaxRecoveryDelay time.Duration // upper limit of the recovery delay, which grows with repeated losses
	LossWindow       time.Duration // age above which a loss no longer lengthens the recovery delay
	WarmUpWindow     time.Duration // time for which a recovered site counts as warming up
}

// HealthMonitor tracks the health of all sites as one instance sees it. It proposes only changes that follow from the
// views of a majority of the members, so that a fault near one instance moves no keys.
//
// It is not safe for concurrent use.
type HealthMonitor struct {
	cfg             HealthConfig
	members         []uint64                          // instance IDs
	sites           map[string]*agreedSite            // by name
	own             map[string]*ownObservation        // by site
	isRemote        map[string]bool                   // sites that this instance reaches only through another site
	peers           map[uint64]map[string]observation // by member and site
	viewsReceivedAt map[uint64]time.Duration          // when a member last announced its views
}

// agreedSite is the state of a site that the members have agreed on.
type agreedSite struct {
	isClosed    bool
	isLost      bool            // the site owns only the part of its keys that keyEighths states
	keyEighths  int             // if isLost: eighths of its keys that the site owns
	changedAt   time.Duration   // when keyEighths last changed
	lossTimes   []time.Duration // within LossWindow
	recoveredAt time.Duration   // when the last loss ended; 0 if none has ended
}

// hasNoKeys reports whether the site was lost and has not begun to recover.
func (a *agreedSite) hasNoKeys() bool { return a.isLost && a.keyEighths == 0 }

// NewHealthMonitor returns a monitor without sites. The error names the fields that are out of range.
func NewHealthMonitor(cfg HealthConfig) (*HealthMonitor, error) {
	if cfg.MinUnanswered < 1 || cfg.LossTimeout <= 0 || cfg.ViewTTL <= 0 || cfg.RecoveryDelay <= 0 ||
		cfg.MaxRecoveryDelay < cfg.RecoveryDelay {
		return nil, errors.New("multisite: MinUnanswered, LossTimeout, ViewTTL and RecoveryDelay must be above 0, " +
			"MaxRecoveryDelay at least RecoveryDelay")
	}
	return &HealthMonitor{
		cfg:             cfg,
		sites:           map[string]*agreedSite{},
		own:             map[string]*ownObservation{},
		isRemote:        map[string]bool{},
		peers:           map[uint64]map[string]observation{},
		viewsReceivedAt: map[uint64]time.Duration{},
	}, nil
}

// ApplyAgreed sets the state that the members have agreed on: the sites, open unless operators closed them; the lost
// sites, by name, with the eighths of their keys that they own again; and the members.
func (h *HealthMonitor) ApplyAgreed(now time.Duration, sites []Site, lost map[string]int, members []uint64) {
	h.members = slices.Clone(members)
	isListed := map[string]bool{}
	for _, site := range sites {
		isListed[site.Name] = true
		agreed := h.sites[site.Name]
		if agreed == nil {
			agreed = &agreedSite{}
			h.sites[site.Name] = agreed
		}
		agreed.isClosed = !site.IsOpen
		keyEighths, isLost := lost[site.Name]
		agreed.update(now, isLost, keyEighths)
	}
	for name := range h.sites {
		if !isListed[name] {
			delete(h.sites, name)
			delete(h.own, name)
		}
	}
	for member := range h.peers {
		if !slices.Contains(members, member) {
			delete(h.peers, member)
			delete(h.viewsReceivedAt, member)
		}
	}
}

func (a *agreedSite) update(now time.Duration, isLost bool, keyEighths int) {
	if isLost && keyEighths == 0 && !a.hasNoKeys() {
		a.lossTimes = append(a.lossTimes, now)
	}
	if keyEighths != a.keyEighths {
		a.changedAt = now
	}
	if !isLost && a.isLost {
		a.recoveredAt = now
	}
	a.isLost = isLost
	a.keyEighths = keyEighths
}

// SetRemote sets whether this instance reaches a site only through another site's instances. Its own observations of
// the site may then be due to a fault of the path instead.
func (h *HealthMonitor) SetRemote(site string, isRemote bool) {
	h.isRemote[site] = isRemote
	if o := h.ownObservation(site); o != nil {
		o.isRemote = isRemote
	}
}

// RecordAnswer records an answer of any kind from a site.
func (h *HealthMonitor) RecordAnswer(now time.Duration, site string) {
	if o := h.ownObservation(site); o != nil {
		o.recordAnswer(now)
	}
}

// RecordUnanswered records that an attempt or a health check that was sent to a site at sentAt was not answered.
func (h *HealthMonitor) RecordUnanswered(now time.Duration, site string, sentAt time.Duration) {
	if o := h.ownObservation(site); o != nil {
		o.recordUnanswered(now, sentAt, h.cfg.MinUnanswered)
	}
}

// RecordCapacity records the capacity of a site, in warm servers.
func (h *HealthMonitor) RecordCapacity(site string, warmServers float64) {
	if o := h.ownObservation(site); o != nil {
		o.capacity = warmServers
	}
}

// ownObservation returns this instance's observation of a site, or nil if the site is not an agreed one.
func (h *HealthMonitor) ownObservation(site string) *ownObservation {
	o := h.own[site]
	if o == nil && h.sites[site] != nil {
		o = &ownObservation{}
		h.own[site] = o
	}
	return o
}

// Views returns the views to announce to the other instances, sorted by site.
func (h *HealthMonitor) Views(now time.Duration) (views []SiteView) {
	for site, o := range h.own {
		if o.isCurrent(now, h.cfg.ViewTTL) {
			views = append(views, SiteView{
				Site:     site,
				IsSilent: o.isSilent,
				Duration: max(now-o.since, 0),
				Capacity: o.capacity,
				IsRemote: o.isRemote,
			})
		} else if o.isRemote { // without a current view, it adopts that of the members that reach the site directly
			views = append(views, SiteView{Site: site, Duration: -1, IsRemote: true})
		}
	}
	slices.SortFunc(views, func(a, b SiteView) int { return strings.Compare(a.Site, b.Site) })
	return views
}

// Receive records the views that another member has announced.
func (h *HealthMonitor) Receive(now time.Duration, from uint64, views []SiteView) {
	if from == h.cfg.InstanceID || !slices.Contains(h.members, from) {
		return
	}
	observations := make(map[string]observation, len(views))
	for _, v := range views {
		if h.sites[v.Site] == nil {
			continue
		}
		observations[v.Site] = observation{
			isKnown:    v.Duration >= 0,
			isSilent:   v.IsSilent,
			since:      now - v.Duration,
			observedAt: now,
			capacity:   v.Capacity,
			isRemote:   v.IsRemote,
		}
	}
	h.peers[from], h.viewsReceivedAt[from] = observations, now
}

// State returns the state of a site as this instance sees it; a site that is not agreed on is healthy.
func (h *HealthMonitor) State(now time.Duration, site string) SiteState {
	agreed := h.sites[site]
	if agreed == nil {
		return SiteHealthy
	}
	votes := h.votes(now, site, 0, 0)
	evidence := siteEvidence{
		hasNoKeys:          agreed.hasNoKeys(),
		isLost:             agreed.isLost,
		hasRecovered:       agreed.recoveredAt > 0,
		timeSinceRecovered: now - agreed.recoveredAt,
		answersMajority:    h.isMajority(votes.answering),
		isSilentToMajority: h.isMajority(votes.silent),
	}
	if own := h.own[site]; own != nil && own.isSilent && own.isCurrent(now, h.cfg.ViewTTL) {
		evidence.isSilentLocally = true
		evidence.localSilence = now - own.since
	}
	return evidence.state(h.cfg.LossTimeout, h.cfg.WarmUpWindow)
}
