// Package logging builds the programs' loggers, and names the attributes that several packages log. A line stands for
// a change of state, never for a request; its message is constant, and details are attributes.
package logging

import (
	"context"
	"io"
	"log"
	"log/slog"
	"strings"

	"mulleinmux/policy"
)

// The keys of attributes that more than one package logs.
const (
	KeyAddress  = "address"
	KeyCount    = "count"
	KeyError    = "error"
	KeyFollower = "follower"
	KeyInstance = "instance"
	KeyMember   = "member"
	KeyProblems = "problems"
	KeyReason   = "reason"
	KeyRequest  = "request"
	KeySite     = "site"
	KeyStack    = "stack"
	KeyVersion  = "version"
)

// timeLayout is the layout of a line's time.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// New returns a logger that writes lines of text to w.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: formatTime}))
}

// formatTime gives a line's time microseconds.
func formatTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey && attr.Value.Kind() == slog.KindTime {
		attr.Value = slog.StringValue(attr.Value.Time().Format(timeLayout))
	}
	return attr
}

// Error returns the attribute of an error.
func Error(err error) slog.Attr { return slog.Any(KeyError, err) }

// PolicyEvent logs an event of the policy's engine.
func PolicyEvent(logger *slog.Logger, event policy.LogEvent) {
	level := slog.LevelInfo
	if event.Severity() == policy.SeverityWarning {
		level = slog.LevelWarn
	}
	if !logger.Enabled(context.Background(), level) {
		return
	}
	details := event.Attrs()
	attrs := make([]slog.Attr, len(details))
	for i, detail := range details {
		attrs[i] = slog.Any(detail.Key, detail.Value)
	}
	logger.LogAttrs(context.Background(), level, event.Message(), attrs...)
}

// Panic logs a panic that was recovered, with the stack that names its cause.
func Panic(logger *slog.Logger, recovered any, stack []byte) {
	logger.Error("panic recovered", slog.Any(KeyError, recovered), slog.String(KeyStack, string(stack)))
}

// HTTPErrors returns the error log of an [net/http.Server], whose lines become warnings of logger.
func HTTPErrors(logger *slog.Logger) *log.Logger {
	return log.New(httpErrorWriter{logger}, "", 0)
}

// httpErrorWriter logs each line that it is written.
type httpErrorWriter struct{ logger *slog.Logger }

// Write logs a line; it never fails.
func (w httpErrorWriter) Write(line []byte) (int, error) {
	w.logger.Warn("http server error", slog.String(KeyError, strings.TrimSpace(string(line))))
	return len(line), nil
}
