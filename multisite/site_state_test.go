package multisite

import (
	"testing"
	"time"
)

// The state of a site depends first on the agreed changes, then on the site's silence to this instance.
func TestSiteStateOfEvidence(t *testing.T) {
	const lossTimeout, warmUpWindow = time.Second, time.Minute
	silent := siteEvidence{isSilentLocally: true, localSilence: lossTimeout - 1}
	silentForLong := siteEvidence{isSilentLocally: true, localSilence: lossTimeout}
	silentToAll := siteEvidence{isSilentLocally: true, localSilence: lossTimeout, isSilentToMajority: true}
	for _, c := range []struct {
		name     string
		evidence siteEvidence
		want     SiteState
	}{
		{"nothing is known", siteEvidence{}, SiteHealthy},
		{"silent to this instance for a moment", silent, SiteSuspected},
		{"silent to this instance alone for the loss timeout", silentForLong, SitePartitioned},
		{"silent to a majority, not agreed on yet", silentToAll, SiteSuspected},
		{"lost", siteEvidence{hasNoKeys: true, isLost: true}, SiteLost},
		{"lost and answering a majority", siteEvidence{hasNoKeys: true, isLost: true, answersMajority: true}, SiteRecovering},
		{"a part of its keys", siteEvidence{isLost: true, answersMajority: true}, SiteWarmingUp},
		{"all its keys, just now", siteEvidence{hasRecovered: true, timeSinceRecovered: warmUpWindow - 1}, SiteWarmingUp},
		{"all its keys for long", siteEvidence{hasRecovered: true, timeSinceRecovered: warmUpWindow}, SiteHealthy},
		{"a part of its keys, and silent to this instance",
			siteEvidence{isLost: true, isSilentLocally: true, localSilence: lossTimeout}, SitePartitioned},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.evidence.state(lossTimeout, warmUpWindow); got != c.want {
				t.Errorf("site state: got %v, want %v", got, c.want)
			}
		})
	}
}
