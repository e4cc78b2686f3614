package simwire

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"mulleinmux/policy"
)

// Reply collects the lines of one reply. Its methods append the actions of one instance, whose number the adapter sets
// in Instance before it passes an event to that instance.
type Reply struct {
	Instance int
	buf      []byte
}

// Take returns the complete reply, including its end line, and resets r. The slice is valid until the next action.
func (r *Reply) Take() []byte {
	b := append(r.buf, msgReplyEnd+"\n"...)
	r.buf = r.buf[:0]
	return b
}

func (r *Reply) begin(name string) {
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendInt(r.buf, int64(r.Instance), 10)
}

func (r *Reply) str(s string) {
	r.buf = append(r.buf, ' ')
	r.buf = append(r.buf, s...)
}

func (r *Reply) int(x int64) {
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendInt(r.buf, x, 10)
}

func (r *Reply) duration(d time.Duration) {
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendFloat(r.buf, d.Round(time.Microsecond).Seconds(), 'f', -1, 64)
}

func (r *Reply) end() { r.buf = append(r.buf, '\n') }

// SendAttempt sends a request to a server.
func (r *Reply) SendAttempt(id, server string, timeout time.Duration) {
	r.begin(msgSendAttempt)
	r.str(id)
	r.str(server)
	r.duration(timeout)
	r.end()
}

// RejectRequest rejects a request. A retryAfter of 0 means that the client is given no retry delay.
func (r *Reply) RejectRequest(id string, retryAfter time.Duration) {
	r.begin(msgRejectRequest)
	r.str(id)
	r.duration(retryAfter)
	r.end()
}

// FailRequest fails a request whose attempts have failed.
func (r *Reply) FailRequest(id string) {
	r.begin(msgFailRequest)
	r.str(id)
	r.end()
}

// CancelAttempt cancels an attempt that is in flight.
func (r *Reply) CancelAttempt(id string, attempt int) {
	r.begin(msgCancelAttempt)
	r.str(id)
	r.int(int64(attempt))
	r.end()
}

// SetTimer requests a timer event with the token after the given time.
func (r *Reply) SetTimer(token uint64, after time.Duration) {
	r.begin(msgSetTimer)
	r.int(int64(token))
	r.duration(after)
	r.end()
}

// CheckHealth sends a health check to a server.
func (r *Reply) CheckHealth(server string) {
	r.begin(msgCheckHealth)
	r.str(server)
	r.end()
}

// SendGossip sends a message to a peer, or to all instances if peer is [policy.AllInstances].
func (r *Reply) SendGossip(peer int, message []byte) {
	r.begin(msgSendGossip)
	if peer < 0 {
		r.str(wordAllInstances)
	} else {
		r.int(int64(peer))
	}
	if len(message) == 0 {
		r.str(wordAbsent)
	} else {
		r.buf = append(r.buf, ' ')
		r.buf = base64.StdEncoding.AppendEncode(r.buf, message)
	}
	r.end()
}

// WatchEndpoints starts or stops the delivery of EndpointsChanged events.
func (r *Reply) WatchEndpoints(on bool) {
	r.begin(msgWatchEndpoints)
	if on {
		r.int(1)
	} else {
		r.int(0)
	}
	r.end()
}

// Log writes an event to the log.
func (r *Reply) Log(event policy.LogEvent) {
	r.begin(msgLog)
	r.str(oneLine(event.String()))
	r.end()
}

// ReportFailure reports a failure of the policy.
func (r *Reply) ReportFailure(text string) {
	r.begin(msgFailure)
	r.str(oneLine(text))
	r.end()
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}
