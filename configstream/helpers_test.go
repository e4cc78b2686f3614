package configstream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
)

// seconds returns a time on the virtual clock from a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// committedVersions returns the versions that the lists of changes make, one for each list.
func committedVersions(t *testing.T, changes ...[]clusterconfig.Change) []*Version {
	t.Helper()
	sim := newVersionLog(t, rand.New(rand.NewPCG(1, 1)))
	for _, cs := range changes {
		sim.commit(cs...)
	}
	return sim.log
}

// numberedVersions returns n versions. The first one has a follower named f and a plan, and each later one changes a
// limit.
func numberedVersions(t *testing.T, n int) []*Version {
	t.Helper()
	changes := [][]clusterconfig.Change{{
		clusterconfig.NewPutChange("follower", "f", clusterconfig.Follower{}),
		clusterconfig.NewPutChange("plan", "big", clusterconfig.Plan{Rate: 1, Burst: 1}),
	}}
	for i := range n - 1 {
		limit := clusterconfig.NewPutChange("limit", "units", clusterconfig.Limit{Max: i + 1})
		changes = append(changes, []clusterconfig.Change{limit})
	}
	return committedVersions(t, changes...)
}

// describeStreamActions returns a publisher's actions as text for comparisons. A "!" marks a confirmed push.
func describeStreamActions(actions []PublisherAction) string {
	var all []string
	for _, a := range actions {
		all = append(all, fmt.Sprint(a.SessionID, " ", describeStreamAction(&a)))
	}
	return strings.Join(all, ", ")
}

func describeStreamAction(a *PublisherAction) string {
	if a.CloseReason != "" {
		return "close"
	}
	if a.Push == nil {
		return fmt.Sprintf("pong %d %v", a.Pong.Sequence, a.Pong.IsConfirmed)
	}
	text := fmt.Sprintf("push %d", a.Push.Body.Number)
	if base := a.Push.Body.Base; base != nil {
		text += fmt.Sprintf(" on %d", base.Number)
	}
	if a.Push.IsConfirmed {
		text += "!"
	}
	return text
}

// describeActions returns a follower's actions as text for comparisons.
func describeActions(actions []FollowerAction) string {
	var all []string
	for _, a := range actions {
		all = append(all, describeAction(&a))
	}
	return strings.Join(all, ", ")
}

func describeAction(a *FollowerAction) string {
	switch {
	case a.Persist != nil:
		return "persist"
	case a.Check != nil:
		return fmt.Sprint("check ", a.Check.Number)
	case a.Activate != nil:
		return fmt.Sprint("activate ", a.Activate.Number)
	case a.Send != nil:
		return fmt.Sprintf("%d %v %d", a.Send.Nonce, a.Send.Result, a.Send.Ref.Number)
	case a.Ping != 0:
		return "ping"
	case a.CloseStream != "":
		return "close"
	case a.Rejected != nil:
		return fmt.Sprint("rejected ", a.Rejected.Number)
	}
	return "warning"
}
