// Package logging creates the loggers of the programs, and defines the attribute keys that several packages log. A log
// line reports a change of state, never a single request. Its message is constant; details are attributes.
package logging

import (
	"context"
	"io"
	"log"
	"log/slog"
	"strings"

	"mulleinmux/policy"
)

// Attribute keys that more than one package logs.
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

// timeLayout is the time layout of log lines.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// New returns a logger that writes text lines to w.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: formatTime}))
}

// formatTime formats the time of a log line to the microsecond.
func formatTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey && attr.Value.Kind() == slog.KindTime {
		attr.Value = slog.StringValue(attr.Value.Time().Format(timeLayout))
	}
	return attr
}

// Error returns an attribute with an error.
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

// Panic logs a recovered panic with its stack, which shows the cause.
func Panic(logger *slog.Logger, recovered any, stack []byte) {
	logger.Error("panic recovered", slog.Any(KeyError, recovered), slog.String(KeyStack, string(stack)))
}

// HTTPErrors returns an error log for a [net/http.Server] that writes each line as a warning to logger.
func HTTPErrors(logger *slog.Logger) *log.Logger {
	return log.New(httpErrorWriter{logger}, "", 0)
}

// httpErrorWriter logs each line that is written to it.
type httpErrorWriter struct{ logger *slog.Logger }

// Write implements [io.Writer]. It never fails.
func (w httpErrorWriter) Write(line []byte) (int, error) {
	w.logger.Warn("http server error", slog.String(KeyError, strings.TrimSpace(string(line))))
	return len(line), nil
}
