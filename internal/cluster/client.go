package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/raftnode"
)

// Client asks instances as an operator. It asks the first address that can be reached.
type Client struct {
	cluster string
	addrs   []string
	http    *http.Client
}

// ResponseError is an instance's answer that is no success.
type ResponseError struct {
	Status  int
	Message string
}

func (e *ResponseError) Error() string { return e.Message }

// NewClient returns a client. at are admin addresses of instances.
func NewClient(cluster string, creds raftnode.Credentials, at ...string) *Client {
	tls := creds.TLS()
	return &Client{cluster: cluster, addrs: at, http: &http.Client{Transport: &http.Transport{TLSClientConfig: tls, TLSHandshakeTimeout: 2 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// doAt asks one instance.
func (c *Client) doAt(ctx context.Context, at, method, path string, body, to any, passed bool) error {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		in = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+at+path, in)
	if err != nil {
		return err
	}
	if passed {
		r.Header.Set("X-Passed", "1")
	}
	if end, ok := ctx.Deadline(); ok { // the instance gives up a little earlier, and tells why
		r.Header.Set("X-Timeout-Ms", strconv.FormatInt(max((time.Until(end)*9/10).Milliseconds(), 1), 10))
	}
	resp, err := c.http.Do(r)
	if err != nil {
		if errors.Is(err, raftnode.ErrAuthority) {
			return fmt.Errorf("%s: is not of cluster %q: %w", at, c.cluster, raftnode.ErrAuthority)
		}
		if strings.Contains(err.Error(), "remote error: tls") {
			return fmt.Errorf("%s: does not take the certificate: is it of cluster %q? %w", at, c.cluster, err)
		}
		return fmt.Errorf("%s: %w", at, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 256<<20))
	if err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	if resp.StatusCode != http.StatusOK {
		var f struct {
			Error   string `json:"error"`
			Refused string `json:"refused"`
		}
		if json.Unmarshal(text, &f) != nil || f.Error == "" && f.Refused == "" {
			f.Error = resp.Status
		}
		if f.Refused != "" {
			f.Error = "refused: " + f.Refused
		}
		return &ResponseError{resp.StatusCode, f.Error}
	}
	if err := json.Unmarshal(text, to); err != nil {
		return fmt.Errorf("%s: answer: %w", at, err)
	}
	return nil
}

// doAny asks the instances in turn until one can be reached.
func (c *Client) doAny(ctx context.Context, method, path string, body, to any) error {
	var all error
	for _, at := range c.addrs {
		err := c.doAt(ctx, at, method, path, body, to, false)
		if _, answered := errors.AsType[*ResponseError](err); err == nil || answered || ctx.Err() != nil {
			return err
		}
		all = errors.Join(all, err)
	}
	return all
}

// Status asks one instance for its view.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	err = c.doAny(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// StatusAt asks the instance at an admin address.
func (c *Client) StatusAt(ctx context.Context, at string) (s Status, err error) {
	err = c.doAt(ctx, at, http.MethodGet, "/v1/status", nil, &s, false)
	return s, err
}

// Objects returns the agreed objects; with local, as applied at the instance asked.
func (c *Client) Objects(ctx context.Context, local bool) (o Objects, err error) {
	path := "/v1/config"
	if local {
		path += "?local=1"
	}
	err = c.doAny(ctx, http.MethodGet, path, nil, &o)
	return o, err
}

// History returns the versions kept, the oldest first.
func (c *Client) History(ctx context.Context) (h []clusterconfig.Record, err error) {
	err = c.doAny(ctx, http.MethodGet, "/v1/history", nil, &h)
	return h, err
}

// Check asks what a proposal would come to.
func (c *Client) Check(ctx context.Context, p *clusterconfig.Proposal) (o clusterconfig.Outcome, err error) {
	err = c.doAny(ctx, http.MethodPost, "/v1/check", p, &o)
	return o, err
}

// Propose has a proposal applied. One that is refused is an [ResponseError] with status 409.
func (c *Client) Propose(ctx context.Context, p *clusterconfig.Proposal) (o clusterconfig.Outcome, err error) {
	err = c.doAny(ctx, http.MethodPost, "/v1/propose", p, &o)
	return o, err
}

// ChangeMembers changes the members.
func (c *Client) ChangeMembers(ctx context.Context, m *MembershipChange) (s Status, err error) {
	err = c.doAny(ctx, http.MethodPost, "/v1/members", m, &s)
	return s, err
}

// AllStatuses asks all members that one instance knows of. Those that don't answer have an
// error instead.
func (c *Client) AllStatuses(ctx context.Context) (map[uint64]Status, map[uint64]error, error) {
	first, err := c.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	all, failed := map[uint64]Status{}, map[uint64]error{}
	for id, m := range first.Members {
		one, cancel := context.WithTimeout(ctx, 2*time.Second)
		if s, err := c.StatusAt(one, m.Admin); err != nil {
			failed[id] = err
		} else {
			all[id] = s
		}
		cancel()
	}
	return all, failed, nil
}

// Followers asks one instance how the followers stand.
func (c *Client) Followers(ctx context.Context) (fs FollowerList, err error) {
	err = c.doAny(ctx, http.MethodGet, "/v1/stream", nil, &fs)
	return fs, err
}

// followersBehind words which followers don't run a version, and tells how many those are. Instances without a stream
// have none.
func (c *Client) followersBehind(ctx context.Context, version uint64) (missing string, n int, err error) {
	fs, err := c.Followers(ctx)
	if e, ok := errors.AsType[*ResponseError](err); ok && e.Status == http.StatusBadRequest {
		return "", 0, nil
	}
	for _, s := range fs.Followers {
		if s.State == "running" && (s.Running.Number >= version || s.Pinned > 0 && s.Running.Number >= s.Pinned) {
			continue // a pinned one stays where it was told to
		}
		n++
		missing += "; follower " + s.Name + " " + s.Plain()
	}
	if err == nil && fs.NewestVersion < version {
		return fmt.Sprintf("; member %d offers version %d", fs.MemberID, fs.NewestVersion), 1 + len(fs.Followers), nil
	}
	return missing, n, err
}

// AwaitInstalled waits until a version is in force at the instances of all members and at all followers but so many.
func (c *Client) AwaitInstalled(ctx context.Context, version uint64, but int) error {
	for {
		all, failed, err := c.AllStatuses(ctx)
		missing := ""
		for id, s := range all {
			if s.InstalledVersion < version {
				missing += fmt.Sprintf("; member %d has version %d", id, s.InstalledVersion)
				if s.InstallError != "" {
					missing += " (" + s.InstallError + ")"
				}
			}
		}
		for id, e := range failed {
			missing += fmt.Sprintf("; member %d: %v", id, e)
		}
		if err == nil && missing == "" {
			var n int
			if missing, n, err = c.followersBehind(ctx, version); err == nil && n <= but {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			if err != nil {
				missing = "; " + err.Error()
			}
			return fmt.Errorf("version %d is agreed on, and not in force everywhere%s", version, missing)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
