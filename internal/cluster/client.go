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

const (
	clientDialTimeout      = time.Second
	clientHandshakeTimeout = 2 * time.Second
	clientIdleTimeout      = 10 * time.Second
	clientMaxIdleConns     = 4 // per instance
	clientMaxResponseBytes = 256 << 20
	memberStatusTimeout    = 2 * time.Second // for each member's response
)

// Client calls the admin API as an operator. It uses the first address that can be reached.
type Client struct {
	cluster    string
	addrs      []string
	httpClient *http.Client
}

// ResponseError is an instance's response with a status other than 200.
type ResponseError struct {
	Status  int
	Message string
}

func (e *ResponseError) Error() string { return e.Message }

// NewClient returns a client of a cluster's instances at admin addresses. Close it after use.
func NewClient(cluster string, creds raftnode.Credentials, addrs ...string) *Client {
	transport := &http.Transport{
		TLSClientConfig:     creds.TLSConfig(),
		TLSHandshakeTimeout: clientHandshakeTimeout,
		DialContext:         (&net.Dialer{Timeout: clientDialTimeout}).DialContext,
		MaxIdleConnsPerHost: clientMaxIdleConns,
		IdleConnTimeout:     clientIdleTimeout,
	}
	return &Client{cluster: cluster, addrs: addrs, httpClient: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// adminCall is a call of the admin API.
type adminCall struct {
	method, path string
	request      any // marshaled as the request body; nil for no body
	response     any // the response body is unmarshaled into it

	isForwarded bool // whether a member forwards the call to the leader
}

// call calls the instances in turn until one can be reached.
func (c *Client) call(ctx context.Context, call adminCall) error {
	var unreachable error
	for _, addr := range c.addrs {
		err := c.callAt(ctx, addr, call)
		if _, hasResponse := errors.AsType[*ResponseError](err); err == nil || hasResponse || ctx.Err() != nil {
			return err
		}
		unreachable = errors.Join(unreachable, err)
	}
	return unreachable
}

func (c *Client) get(ctx context.Context, path string, response any) error {
	return c.call(ctx, adminCall{method: http.MethodGet, path: path, response: response})
}

func (c *Client) post(ctx context.Context, path string, request, response any) error {
	return c.call(ctx, adminCall{method: http.MethodPost, path: path, request: request, response: response})
}

// callAt calls the instance at an admin address.
func (c *Client) callAt(ctx context.Context, addr string, call adminCall) error {
	request, err := call.newRequest(ctx, addr)
	if err != nil {
		return err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return c.explainUnreachable(addr, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, clientMaxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	if response.StatusCode != http.StatusOK {
		return newResponseError(response, text)
	}
	if err := json.Unmarshal(text, call.response); err != nil {
		return fmt.Errorf("%s: invalid response body: %w", addr, err)
	}
	return nil
}

func (call *adminCall) newRequest(ctx context.Context, addr string) (*http.Request, error) {
	var body io.Reader
	if call.request != nil {
		text, err := json.Marshal(call.request)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "https://"+addr+call.path, body)
	if err != nil {
		return nil, err
	}
	if call.isForwarded {
		request.Header.Set(headerForwarded, "1")
	}
	if deadline, ok := ctx.Deadline(); ok {
		// The instance times out a little earlier, so that its error arrives in time.
		timeout := max((time.Until(deadline) * 9 / 10).Milliseconds(), 1)
		request.Header.Set(headerTimeout, strconv.FormatInt(timeout, 10))
	}
	return request, nil
}

// explainUnreachable returns an error that distinguishes a certificate of another cluster from other reasons.
func (c *Client) explainUnreachable(addr string, err error) error {
	if errors.Is(err, raftnode.ErrUnknownAuthority) {
		return fmt.Errorf("%s: does not belong to cluster %q: %w", addr, c.cluster, raftnode.ErrUnknownAuthority)
	}
	// crypto/tls has no exported type for an alert from the other end.
	if strings.Contains(err.Error(), "remote error: tls") {
		return fmt.Errorf("%s: rejects the certificate: check that it belongs to cluster %q: %w", addr, c.cluster, err)
	}
	return fmt.Errorf("%s: %w", addr, err)
}

// newResponseError returns the error in a response body: an errorResponse, or a rejected proposal's outcome.
func newResponseError(response *http.Response, text []byte) *ResponseError {
	var body struct {
		errorResponse
		Rejected string `json:"refused"`
	}
	err := json.Unmarshal(text, &body)
	message := body.Error
	if err != nil || body.Error == "" && body.Rejected == "" {
		message = response.Status
	}
	if body.Rejected != "" {
		message = rejectedLabel + ": " + body.Rejected
	}
	return &ResponseError{response.StatusCode, message}
}

// Status returns the status of one instance.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	err = c.get(ctx, pathStatus, &s)
	return s, err
}

// StatusAt returns the status of the instance at an admin address.
func (c *Client) StatusAt(ctx context.Context, addr string) (s Status, err error) {
	err = c.callAt(ctx, addr, adminCall{method: http.MethodGet, path: pathStatus, response: &s})
	return s, err
}

// AllStatuses returns the statuses of all members that one instance knows of, and the errors of those that do not
// respond, by member ID.
func (c *Client) AllStatuses(ctx context.Context) (map[uint64]Status, map[uint64]error, error) {
	first, err := c.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	statuses, failures := map[uint64]Status{}, map[uint64]error{}
	for id, member := range first.Members {
		memberCtx, cancel := context.WithTimeout(ctx, memberStatusTimeout)
		if status, err := c.StatusAt(memberCtx, member.AdminAddress); err != nil {
			failures[id] = err
		} else {
			statuses[id] = status
		}
		cancel()
	}
	return statuses, failures, nil
}

// Objects returns the agreed objects or, with local, those of the version applied at the responding instance.
func (c *Client) Objects(ctx context.Context, local bool) (o Objects, err error) {
	path := pathConfig
	if local {
		path += "?" + queryLocal + "=1"
	}
	err = c.get(ctx, path, &o)
	return o, err
}

// History returns the versions that the cluster retains, the oldest first.
func (c *Client) History(ctx context.Context) (records []clusterconfig.HistoryRecord, err error) {
	err = c.get(ctx, pathHistory, &records)
	return records, err
}

// Check returns the outcome that a proposal would have. The error for a proposal that would be rejected is a
// [ResponseError] with status 409.
func (c *Client) Check(ctx context.Context, p *clusterconfig.Proposal) (o clusterconfig.Outcome, err error) {
	err = c.post(ctx, pathCheck, p, &o)
	return o, err
}

// Propose proposes a change and returns the outcome. The error for a rejected proposal is a [ResponseError] with status
// 409.
func (c *Client) Propose(ctx context.Context, p *clusterconfig.Proposal) (o clusterconfig.Outcome, err error) {
	err = c.post(ctx, pathPropose, p, &o)
	return o, err
}

// ChangeMembers applies a membership change, and returns the responding instance's status afterwards.
func (c *Client) ChangeMembers(ctx context.Context, change *MembershipChange) (s Status, err error) {
	err = c.post(ctx, pathMembers, change, &s)
	return s, err
}

// Followers returns the status of the followers as known to one instance.
func (c *Client) Followers(ctx context.Context) (list FollowerList, err error) {
	err = c.get(ctx, pathStream, &list)
	return list, err
}
