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

// Log is a buffer of log output that tests can read while it is written to.
type Log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends text. It never fails.
func (log *Log) Write(text []byte) (int, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.buffer.Write(text)
}

// String returns everything written so far.
func (log *Log) String() string {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.buffer.String()
}

// Logger returns a logger that writes to log in the programs' log format.
func (log *Log) Logger() *slog.Logger { return logging.New(log) }

// HasLine reports whether a line was logged with exactly a message, and with all details in its attributes.
func (log *Log) HasLine(message string, details ...string) bool {
	return HasLogLine(log.String(), message, details...)
}

// HasLogLine is like [Log.HasLine] for a text that a program has logged.
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
