package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulleinmux/configstream"
)

const awaitPollInterval = 50 * time.Millisecond

// AwaitInstalled waits until a version is in force at the instances of all members, and at all but
// maxFollowersBehind followers. If ctx ends first, the error names the instances that were behind at the last complete
// check.
func (c *Client) AwaitInstalled(ctx context.Context, version uint64, maxFollowersBehind int) error {
	var reason awaitReason
	for {
		missing, err := c.instancesBehind(ctx, version, maxFollowersBehind)
		if err == nil && missing == "" {
			return nil
		}
		if err != nil {
			missing = "; " + err.Error()
		}
		reason.record(missing, ctx.Err() != nil)
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is agreed, but not yet in force everywhere%s", version, reason.text)
		case <-time.After(awaitPollInterval):
		}
	}
}

// awaitReason is the reason why a wait has not ended: the result of the last complete check.
type awaitReason struct{ text string }

// record records the result of a check, which lists the instances behind or is an error. A check that was canceled
// because the wait ended does not replace an earlier result.
func (r *awaitReason) record(missing string, wasCanceled bool) {
	if r.text == "" || !wasCanceled {
		r.text = missing
	}
}

// instancesBehind lists the members, or else the followers, at which a version is not in force yet. It returns "" if
// all members have the version in force and at most maxFollowersBehind followers do not.
func (c *Client) instancesBehind(ctx context.Context, version uint64, maxFollowersBehind int) (string, error) {
	missing, err := c.membersBehind(ctx, version)
	if err != nil || missing != "" {
		return missing, err
	}
	missing, count, err := c.followersBehind(ctx, version)
	if err != nil || count <= maxFollowersBehind {
		return "", err
	}
	return missing, nil
}

// membersBehind lists the members at whose instances a version is not in force, and those that do not respond.
func (c *Client) membersBehind(ctx context.Context, version uint64) (string, error) {
	statuses, failures, err := c.AllStatuses(ctx)
	var missing strings.Builder
	for id, status := range statuses {
		if status.InstalledVersion >= version {
			continue
		}
		fmt.Fprintf(&missing, "; member %d has version %d", id, status.InstalledVersion)
		if status.InstallError != "" {
			fmt.Fprintf(&missing, " (%s)", status.InstallError)
		}
	}
	for id, failure := range failures {
		fmt.Fprintf(&missing, "; member %d: %v", id, failure)
	}
	return missing.String(), err
}

// followersBehind lists the followers that don't run a version, and counts them. If the responding member does not have
// the version itself, the count includes all followers and that member. An instance that serves no followers responds
// with status 400, and the count is 0.
func (c *Client) followersBehind(ctx context.Context, version uint64) (missing string, count int, err error) {
	list, err := c.Followers(ctx)
	if e, ok := errors.AsType[*ResponseError](err); ok && e.Status == http.StatusBadRequest {
		return "", 0, nil
	}
	if err != nil {
		return "", 0, err
	}
	if list.NewestVersion < version {
		missing = fmt.Sprintf("; the newest version of member %d is %d", list.MemberID, list.NewestVersion)
		return missing, 1 + len(list.Followers), nil
	}
	for _, follower := range list.Followers {
		if !runsVersion(follower, version) {
			count++
			missing += "; follower " + follower.Name + " " + follower.Summary()
		}
	}
	return missing, count, nil
}

// runsVersion reports whether a follower runs at least a version, or at least the version that it is pinned to.
func runsVersion(follower configstream.ObservedStatus, version uint64) bool {
	if follower.State != configstream.StateRunning {
		return false
	}
	running := follower.Running.Number
	return running >= version || follower.PinnedVersion > 0 && running >= follower.PinnedVersion
}
