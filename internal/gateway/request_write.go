package gateway

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mulleinmux/internal/httpwire"
)

// minAnswerExtension is by how much the deadline of a relayed request has to be later than that of its attempt for the
// other instance to be told.
const minAnswerExtension = 50 * time.Millisecond

// appendSeconds appends a duration in the format of header fields: in seconds, at least 1 ms.
func appendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, math.Max(d.Seconds(), 0.001), 'f', 3, 64)
}

// appendRequest appends the request to b as it is sent for an attempt with the given deadline.
func (r *pendingRequest) appendRequest(b []byte, deadline time.Time) []byte {
	h := &r.requestHead
	b = append(b, h.Method...)
	b = append(b, ' ')
	b = append(b, h.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	for i := range h.Fields {
		f := &h.Fields[i]
		if httpwire.IsHopByHop(f.Name) || isSetByGateway(f.Name) {
			continue
		}
		b = httpwire.AppendField(b, f.Name, f.Value)
	}
	b = httpwire.AppendField(b, traceIDField, r.traceID)
	b = append(b, timeoutField+": "...)
	b = appendSeconds(b, time.Until(deadline))
	if r.isRelayed {
		b = append(b, "\r\n"...)
		b = r.clock.appendRenewable(b)
		b = append(b, relayIDField+": "...)
		b = append(b, r.relayNumber...)
		if r.deadline.Sub(deadline) > minAnswerExtension {
			b = append(b, "\r\n"+answerWithinField+": "...)
			b = appendSeconds(b, time.Until(r.deadline))
		}
	}
	b = append(b, "\r\n"+versionField+": "...)
	if from, n := h.Values(versionField); r.isFromRelay && n == 1 {
		b = append(b, from...) // the version by which the relaying instance matched it
	} else {
		b = strconv.AppendUint(b, r.version.number, 10)
	}
	b = append(b, "\r\n"...)
	if len(r.body) > 0 || h.ContentLength >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.body...)
}

// isSetByGateway reports whether the gateway sets a request field itself instead of forwarding it.
func isSetByGateway(name string) bool {
	switch len(name) {
	case len(traceIDField):
		return strings.EqualFold(name, traceIDField)
	case len(timeoutField):
		return strings.EqualFold(name, timeoutField)
	case len(relayIDField):
		return strings.EqualFold(name, relayIDField)
	case len(leaseField):
		return strings.EqualFold(name, leaseField)
	case len(answerWithinField):
		return strings.EqualFold(name, answerWithinField)
	case len(versionField): // also the length of explainField
		return strings.EqualFold(name, versionField) || strings.EqualFold(name, explainField)
	}
	return false
}
