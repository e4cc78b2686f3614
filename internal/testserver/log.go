package testserver

import (
	"bytes"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"

	"mulleinmux/internal/logging"
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

// Logger returns a logger that writes to l as the programs log.
func (l *Log) Logger() *slog.Logger { return logging.New(l) }

// HasLine reports whether a line was logged with exactly a message, and with all details in its attributes.
func (l *Log) HasLine(message string, details ...string) bool {
	return HasLogLine(l.String(), message, details...)
}

// HasLogLine is [Log.HasLine] on what a program has logged.
func HasLogLine(text, message string, details ...string) bool {
	if strings.Contains(message, " ") {
		message = strconv.Quote(message)
	}
	return slices.ContainsFunc(strings.Split(text, "\n"), func(line string) bool {
		_, rest, ok := strings.Cut(line, " msg="+message)
		if !ok || rest != "" && rest[0] != ' ' {
			return false
		}
		return !slices.ContainsFunc(details, func(detail string) bool { return !strings.Contains(rest, detail) })
	})
}
