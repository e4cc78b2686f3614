package discovery

import (
	"bytes"
	"io"
	"time"
)

// activityReader calls a function for each piece of a stream that comes, and tracks how long a list takes.
type activityReader struct {
	io.Reader
	onActivity    func()
	listStartedAt time.Time // when the first piece of the present list came; zero: between lists
}

// Read reads the next piece and reports it to onActivity.
func (r *activityReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		if r.listStartedAt.IsZero() && len(bytes.TrimSpace(b[:n])) > 0 {
			r.listStartedAt = time.Now()
		}
		r.onActivity()
	}
	return n, err
}

// isListOverdue reports whether the present list has been coming for longer than a limit.
func (r *activityReader) isListOverdue(limit time.Duration) bool {
	return !r.listStartedAt.IsZero() && time.Since(r.listStartedAt) > limit
}
