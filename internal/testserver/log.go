package testserver

import (
	"bytes"
	"sync"
)

// Log keeps what is written to it, for tests to read while others write.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends p; it never fails.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns all that was written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
