// Package discovery watches the endpoint list that a discovery server or a local agent on the node publishes. It reads
// the list and its changes as watch events: JSON objects, usually one per line, in the body of an HTTP/1.1 response.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"mulleinmux/internal/logging"
)

// malformedListError is returned for an endpoint list that can't be parsed.
type malformedListError struct{ err error }

// Error implements error.
func (e *malformedListError) Error() string { return "malformed endpoint list: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *malformedListError) Unwrap() error { return e.err }

// Watcher watches the endpoint list of one discovery server or local agent. Its exported fields are set before Run.
type Watcher struct {
	// Addr is the address of the discovery server or agent.
	Addr netip.AddrPort
	// SilenceTimeout is how long a watch may receive nothing. It is the constant [SilenceTimeout] except in tests.
	SilenceTimeout time.Duration
	// LastGeneration is the generation of the endpoint list received last, or 0 if there is none.
	LastGeneration uint64
	// IsLocalAgent is true if Addr is an agent on this machine, to which lists are pushed. Otherwise Addr is a
	// discovery server that all nodes of the tier watch.
	IsLocalAgent bool
	// Backoff delays the retries at a discovery server; nil means the backoff of a tier of one node. It is not used
	// with a local agent.
	Backoff *Backoff
	// OnList is called by Run for each list received. Calls do not overlap.
	OnList func(EndpointList)
	// OnFailure is called by Run after a watch that received neither a list nor a heartbeat, or that ended with a
	// malformed list. It may be nil.
	OnFailure func()
	// Logger receives the events of the watch: its end, its resumption and skipped endpoints.
	Logger *slog.Logger

	isDisconnected bool // the last watch ended and no line has been received since; used by Run's goroutine only
}

// Run watches the endpoint list until ctx is done, and sends no request after that. When a watch fails, ends or exceeds
// its limits, Run opens a new one from the generation received last, after the delay that [retrySchedule] returns.
func (w *Watcher) Run(ctx context.Context) {
	limits := newWatchLimits(w.SilenceTimeout, w.IsLocalAgent)
	schedule := newRetrySchedule(w.IsLocalAgent, w.Backoff)
	client := newClient(limits.connect)
	for {
		outcome, err := w.watch(ctx, client, limits)
		if ctx.Err() != nil {
			return
		}
		if !w.isDisconnected { // log an outage once, however often the watch is retried
			w.isDisconnected = true
			w.Logger.Warn("discovery watch ended", logging.Error(err))
		}
		if outcome != watchReceived && w.OnFailure != nil {
			w.OnFailure()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(schedule.nextDelay(outcome)):
		}
	}
}

// newClient returns an HTTP client that opens a new connection for each watch.
func newClient(connectTimeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableKeepAlives: true,
	}}
}

// watchOutcome tells what a watch received before it ended.
type watchOutcome int

// The outcomes of a watch.
const (
	watchNothingReceived watchOutcome = iota // neither a list nor a heartbeat was received
	watchReceived                            // at least one list or heartbeat was received
	watchMalformed                           // it ended with a malformed list, which the server may send again
)

// watch opens one watch and reads it until it ends. The error is never nil: it is the reason for the end.
func (w *Watcher) watch(
	ctx context.Context, client *http.Client, limits watchLimits,
) (outcome watchOutcome, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := startWatchdog(limits, cancel)
	defer watchdog.stop()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	events, err := w.open(ctx, client)
	if err != nil {
		return watchNothingReceived, err
	}
	defer events.Close()
	hasReceived, err := w.readLists(guardedReader{events, watchdog}, watchdog.listCompleted)
	if _, isMalformed := errors.AsType[*malformedListError](err); isMalformed {
		w.LastGeneration = 0 // the changes in the malformed list are lost, so the next watch requests the complete list
		return watchMalformed, err
	}
	if hasReceived {
		return watchReceived, err
	}
	return watchNothingReceived, err
}

// watchURLFormat takes the address of the discovery server or agent and the generation received last.
const watchURLFormat = "http://%s/registry/instances?watch=1&from=%d"

// open requests the changes since the generation received last and returns the stream of watch events.
func (w *Watcher) open(ctx context.Context, client *http.Client) (io.ReadCloser, error) {
	url := fmt.Sprintf(watchURLFormat, w.Addr, w.LastGeneration)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery server responded with status %s", resp.Status)
	}
	return resp.Body, nil
}

// readLists applies the lists of a watch until its stream ends, and calls listCompleted when a list has been received
// in full. An empty line between lists is a heartbeat; a list may be indented over several lines.
func (w *Watcher) readLists(stream io.Reader, listCompleted func()) (hasReceived bool, err error) {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxListBytes)
	var object objectAssembler
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if w.isDisconnected {
			w.isDisconnected = false
			w.Logger.Info("discovery watch resumed")
		}
		if len(line) == 0 {
			if hasReceived = true; object.isOpen() {
				return hasReceived, &malformedListError{errTruncated}
			}
			continue
		}
		isComplete, err := object.addLine(line)
		if err != nil {
			return hasReceived, &malformedListError{err}
		}
		if !isComplete {
			continue
		}
		listCompleted()
		if err := w.applyList(object.take()); err != nil {
			return hasReceived, &malformedListError{err}
		}
		hasReceived = true
	}
	err = lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return hasReceived, &malformedListError{err}
	case err != nil:
		return hasReceived, err
	case object.isOpen():
		return hasReceived, &malformedListError{io.ErrUnexpectedEOF}
	}
	return hasReceived, io.EOF
}

// applyList parses one list and passes it to OnList.
func (w *Watcher) applyList(text []byte) error {
	list, skipped, err := ParseEndpointList(text)
	if err != nil {
		return err
	}
	if len(skipped) > 0 { // log once per list, however many entries are skipped
		w.Logger.Warn("endpoints skipped", slog.Int(logging.KeyCount, len(skipped)), logging.Error(skipped[0]))
	}
	w.LastGeneration = list.Generation
	w.OnList(list)
	return nil
}
