// Package discovery follows the list of app servers that a discovery server or a node's own agent publishes:
// it reads the list and its changes as watch events (HTTP/1.1, one JSON object a line).
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

// SilenceTimeout is how long a watch may say nothing before it is given up: a line comes every 2 s, and what
// is published counts as known 6 s later at the latest.
const SilenceTimeout = 3 * time.Second

// An agent runs on the node's own machine, answers at once and at no cost, and what it has counts as known at
// once, whether or not a watch is open. So nothing is gained by waiting for it: while it is down, a watch is
// open all but a moment of the time.
const (
	// localConnectTimeout is short: a connection on one machine is made at once or not at all.
	localConnectTimeout = 250 * time.Millisecond
	// localFirstLineTimeout is for the first line of a watch, of an agent that is up.
	localFirstLineTimeout = time.Second
	// localRetryDelay is the time between watches; a drain that is published meanwhile has a grace of
	// several times that.
	localRetryDelay = 50 * time.Millisecond
)

// maxListSilences is how many silence timeouts one list may take to come, in pieces.
const maxListSilences = 4

var (
	errSilent   = errors.New("silent for too long")
	errSlowList = errors.New("a list comes too slowly")
)

// malformedListError is returned for a list that can't be read.
type malformedListError struct{ err error }

// Error says what is wrong with the list.
func (e *malformedListError) Error() string { return "malformed list: " + e.err.Error() }

// Unwrap returns the cause.
func (e *malformedListError) Unwrap() error { return e.err }

// Watcher follows the changes of the list of app servers. Its exported fields are set before Run.
type Watcher struct {
	// Addr is the address of the discovery server or agent.
	Addr netip.AddrPort
	// SilenceTimeout is the constant [SilenceTimeout] but in tests.
	SilenceTimeout time.Duration
	// LastGeneration is the version of the list that is held; 0: none.
	LastGeneration uint64
	// IsLocalAgent says that Addr is an agent on this machine, to which lists are pushed, and not a server
	// that a whole tier asks.
	IsLocalAgent bool
	// Backoff paces the calls of a server that is no local agent; nil: that of a single node.
	Backoff *Backoff
	// OnList is called by Run, one list at a time.
	OnList func(EndpointList)
	// OnFailure is called by Run after a watch on which nothing was heard; may be nil.
	OnFailure func()
	// Logger is told where the watch ends and resumes.
	Logger *slog.Logger

	isDisconnected   bool // the latest watch ended and nothing has been heard since
	hadMalformedList bool // the latest watch ended with a list that can't be read, which may come again
}

// Run watches until ctx ends. A watch that breaks, ends or falls silent is opened again from the version
// held: at a local agent at once, else after a delay that grows while nothing comes.
func (w *Watcher) Run(ctx context.Context) {
	client := w.newClient()
	backoff := w.Backoff
	if backoff == nil || w.IsLocalAgent { // an agent serves one node
		backoff = NewBackoff(1, 0)
	}
	for {
		hasHeard, err := w.watch(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if !w.isDisconnected { // one line for an outage, however often the watch is tried
			w.isDisconnected = true
			w.Logger.Warn("discovery watch ended", logging.Error(err))
		}
		if !hasHeard && w.OnFailure != nil {
			w.OnFailure()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.retryDelay(backoff, hasHeard)):
		}
	}
}

// newClient returns a client that makes a connection for each watch.
func (w *Watcher) newClient() *http.Client {
	connectTimeout := w.SilenceTimeout
	if w.IsLocalAgent {
		connectTimeout = min(connectTimeout, localConnectTimeout)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableKeepAlives: true,
	}}
}

// retryDelay is the time before the next watch. At a local agent only lists that can't be read make the delay grow.
func (w *Watcher) retryDelay(backoff *Backoff, hasHeard bool) time.Duration {
	retriesAtOnce := w.IsLocalAgent && !w.hadMalformedList
	delay := backoff.NextDelay(hasHeard || retriesAtOnce)
	if retriesAtOnce {
		return localRetryDelay
	}
	return delay
}

// watch follows one watch to its end, which always has a reason, and reports whether anything was heard on it.
func (w *Watcher) watch(ctx context.Context, client *http.Client) (hasHeard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstLineTimeout := w.SilenceTimeout
	if w.IsLocalAgent {
		firstLineTimeout = min(firstLineTimeout, localFirstLineTimeout)
	}
	silence := time.AfterFunc(firstLineTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	w.hadMalformedList = false
	events, err := w.open(ctx, client)
	if err != nil {
		return false, err
	}
	defer events.Close()
	// A list may be long and come in pieces: each is a sign of life, but one list may not take for ever.
	body := &activityReader{Reader: events}
	body.onActivity = func() {
		silence.Reset(w.SilenceTimeout)
		if body.isListOverdue(maxListSilences * w.SilenceTimeout) {
			cancel(errSlowList)
		}
	}
	hasHeard, err = w.readLists(body)
	if _, isMalformed := errors.AsType[*malformedListError](err); isMalformed {
		// What was said is lost with the list: only the complete list can make up for it. It may come
		// malformed again, so that the delay must go on growing.
		w.LastGeneration, w.hadMalformedList = 0, true
		return false, err
	}
	return hasHeard, err
}

// open requests the changes since the version held, and returns the stream of events.
func (w *Watcher) open(ctx context.Context, client *http.Client) (io.ReadCloser, error) {
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", w.Addr, w.LastGeneration)
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
		return nil, fmt.Errorf("status %s", resp.Status)
	}
	return resp.Body, nil
}

// readLists hands on the lists of a watch until its stream ends. An empty line is a sign of life between
// lists; a list may be indented over several lines.
func (w *Watcher) readLists(body *activityReader) (hasHeard bool, err error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxListBytes)
	var object objectAssembler
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if w.isDisconnected {
			w.isDisconnected = false
			w.Logger.Info("discovery watch resumed")
		}
		if len(line) == 0 {
			if hasHeard = true; object.isOpen() {
				return hasHeard, &malformedListError{errBreaksOff}
			}
			continue
		}
		isComplete, err := object.addLine(line)
		if err != nil {
			return hasHeard, &malformedListError{err}
		}
		if !isComplete {
			continue
		}
		body.listStartedAt = time.Time{}
		if err := w.applyList(object.take()); err != nil {
			return hasHeard, &malformedListError{err}
		}
		hasHeard = true
	}
	err = lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return hasHeard, &malformedListError{err}
	case err != nil:
		return hasHeard, err
	case object.isOpen():
		return hasHeard, &malformedListError{io.ErrUnexpectedEOF}
	}
	return hasHeard, io.EOF
}

// applyList parses one list and hands it on.
func (w *Watcher) applyList(text []byte) error {
	list, skipped, err := ParseEndpointList(text)
	if err != nil {
		return err
	}
	if len(skipped) > 0 { // one line for each list, however many entries
		w.Logger.Warn("endpoints skipped", slog.Int(logging.KeyCount, len(skipped)), logging.Error(skipped[0]))
	}
	w.LastGeneration = list.Generation
	w.OnList(list)
	return nil
}
