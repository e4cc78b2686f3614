package configstream

import (
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
)

// A pinned follower is pushed versions up to the pinned one only, and the newest after it is unpinned.
func TestPinnedFollower(t *testing.T) {
	follower := func(pinned uint64) []clusterconfig.Change {
		f := clusterconfig.Follower{PinnedVersion: pinned}
		return []clusterconfig.Change{clusterconfig.NewPutChange("follower", "f", f)}
	}
	limit := clusterconfig.NewPutChange("limit", "units", clusterconfig.Limit{Max: 2})
	vs := committedVersions(t, follower(0), []clusterconfig.Change{limit}, follower(2), follower(0))
	p := &publisherTest{t: t, Publisher: NewPublisher(PublisherConfig{
		MemberID:            1,
		SilenceTimeout:      time.Hour,
		PushReplyTimeout:    time.Hour,
		MaxRetainedVersions: 9,
		MaxFollowers:        9,
		AdmissionBurst:      9,
	}, 0)}
	p.Publish(0, vs[0])
	p.OpenStream(0, 1, hello(1, 1, vs[0]))

	p.expect("not pinned", "1 push 2 on 1", p.Publish(0, vs[1]))
	p.Publish(0, vs[2])
	p.expect("pinned", "", p.ReportReceived(0, 1, p.reply(ResultApplied, vs[1], vs[1])))
	st := p.Statuses(0)[0]
	if st.PinnedVersion != 2 || !strings.Contains(st.Explain(3), "until it is unpinned") {
		t.Errorf("status of the pinned follower: got %+v, want version 2 pinned, explained as pinned", st)
	}
	p.expect("unpinned", "1 push 4 on 2", p.Publish(0, vs[3]))
}
