package discovery

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"
)

// SilenceTimeout is how long a watch may receive nothing. The server sends a line every 2 s, and a node is expected to
// act on a list 6 s after its publication.
const SilenceTimeout = 3 * time.Second

const (
	// localConnectTimeout limits the connection to a local agent, which on one machine succeeds or fails at once.
	localConnectTimeout = 250 * time.Millisecond
	// localFirstLineTimeout limits the time until a local agent sends the first data of a watch.
	localFirstLineTimeout = time.Second
	// maxListSilences limits the time that one list may take to arrive, in multiples of the silence timeout.
	maxListSilences = 4
)

// The reasons to end a watch, besides the errors of its connection and malformedListError.
var (
	errSilent   = errors.New("watch received no data before its timeout")
	errSlowList = errors.New("endpoint list took too long to arrive")
)

// watchLimits holds the time limits of a watch.
type watchLimits struct {
	connect   time.Duration // to establish the connection
	firstLine time.Duration // from the start of the watch to the first piece of its stream
	silence   time.Duration // between two pieces
	list      time.Duration // from the first piece of a list to its last
}

// newWatchLimits returns the limits of a watch. They are shorter for a local agent: it responds at once while it is up,
// and a long wait for one that is down would only lose time.
func newWatchLimits(silence time.Duration, isLocalAgent bool) watchLimits {
	limits := watchLimits{connect: silence, firstLine: silence, silence: silence, list: maxListSilences * silence}
	if isLocalAgent {
		limits.connect = min(silence, localConnectTimeout)
		limits.firstLine = min(silence, localFirstLineTimeout)
	}
	return limits
}

// watchdog cancels a watch that exceeds its limits. Each piece of the stream restarts the silence timeout, but one list
// must arrive within a limit of its own, however steadily its pieces come. The watchdog is used by the goroutine that
// reads the stream.
type watchdog struct {
	limits        watchLimits
	cancel        context.CancelCauseFunc // cancels the watch with errSilent or errSlowList
	silence       *time.Timer             // fires when the silence limit is exceeded
	listStartedAt time.Time               // when the first piece of the current list arrived; zero between lists
}

// startWatchdog starts a watchdog for a new watch. The caller must call stop.
func startWatchdog(limits watchLimits, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{
		limits:  limits,
		cancel:  cancel,
		silence: time.AfterFunc(limits.firstLine, func() { cancel(errSilent) }),
	}
}

// stop stops the silence timer.
func (d *watchdog) stop() { d.silence.Stop() }

// pieceReceived handles a piece of the stream: it restarts the silence timeout, and cancels the watch if the current
// list has taken too long.
func (d *watchdog) pieceReceived(piece []byte) {
	if d.listStartedAt.IsZero() && len(bytes.TrimSpace(piece)) > 0 {
		d.listStartedAt = time.Now()
	}
	d.silence.Reset(d.limits.silence)
	if !d.listStartedAt.IsZero() && time.Since(d.listStartedAt) > d.limits.list {
		d.cancel(errSlowList)
	}
}

// listCompleted records that the current list has been received in full.
func (d *watchdog) listCompleted() { d.listStartedAt = time.Time{} }

// guardedReader is a reader that reports each piece read to a watchdog.
type guardedReader struct {
	io.Reader
	watchdog *watchdog
}

// Read implements io.Reader.
func (r guardedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watchdog.pieceReceived(b[:n])
	}
	return n, err
}
