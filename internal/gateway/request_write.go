package gateway

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mulleinmux/internal/httpwire"
)

// seconds words a wait for X-Expires-In.
func appendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, math.Max(d.Seconds(), 0.001), 'f', 3, 64)
}

// appendRequest appends the request to b, for an attempt that ends at until.
func (r *pendingRequest) appendRequest(b []byte, until time.Time) []byte {
	h := &r.requestHead
	b = append(b, h.Method...)
	b = append(b, ' ')
	b = append(b, h.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	for i := range h.Fields {
		f := &h.Fields[i]
		if httpwire.HopByHop(f.Name) || isOwnField(f.Name) {
			continue
		}
		b = httpwire.AppendField(b, f.Name, f.Value)
	}
	b = httpwire.AppendField(b, "X-Trace-Id", r.trace)
	b = append(b, "X-Expires-In: "...)
	b = appendSeconds(b, time.Until(until))
	if r.isRelayed {
		b = append(b, "\r\n"+relayIDField+": "...)
		b = append(b, r.attemptRelayID()...)
	}
	b = append(b, "\r\nX-Mulleinmux-Version: "...)
	if from, n := h.Values("X-Mulleinmux-Version"); r.cameByRelay && n == 1 {
		b = append(b, from...) // it keeps the version that it was matched with where it entered
	} else {
		b = strconv.AppendUint(b, r.version.number, 10)
	}
	b = append(b, "\r\n"...)
	if len(r.body) > 0 || h.Length >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.body...)
}

// isOwnField tells whether a field is one that the gateway words anew.
func isOwnField(name string) bool {
	switch len(name) {
	case 10:
		return strings.EqualFold(name, "X-Trace-Id")
	case 12:
		return strings.EqualFold(name, "X-Expires-In")
	case len(relayIDField):
		return strings.EqualFold(name, relayIDField)
	case 20:
		return strings.EqualFold(name, "X-Mulleinmux-Version") || strings.EqualFold(name, "X-Mulleinmux-Explain")
	}
	return false
}
