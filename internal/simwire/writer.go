package simwire

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"
)

// Reply gathers the lines of one reply. Its methods are the actions of the
// instance Inst, which the adapter sets before it hands over an event.
type Reply struct {
	Instance int
	buf      []byte
}

// Take returns the reply with its last line and empties it; the slice is
// valid until the next action.
func (r *Reply) Take() []byte {
	b := append(r.buf, "FINISHED\n"...)
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

func (r *Reply) dur(d time.Duration) {
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendFloat(r.buf, d.Round(time.Microsecond).Seconds(), 'f', -1, 64)
}

func (r *Reply) end() { r.buf = append(r.buf, '\n') }

func (r *Reply) SendAttempt(id, server string, timeout time.Duration) {
	r.begin("CALL_OUT")
	r.str(id)
	r.str(server)
	r.dur(timeout)
	r.end()
}

func (r *Reply) RejectRequest(id string, retryAfter time.Duration) {
	r.begin("TURN_AWAY")
	r.str(id)
	r.dur(retryAfter)
	r.end()
}

func (r *Reply) FailRequest(id string) {
	r.begin("SURRENDER")
	r.str(id)
	r.end()
}

func (r *Reply) CancelAttempt(id string, attempt int) {
	r.begin("WITHDRAW")
	r.str(id)
	r.int(int64(attempt))
	r.end()
}

func (r *Reply) SetTimer(token uint64, after time.Duration) {
	r.begin("SET_ALARM")
	r.int(int64(token))
	r.dur(after)
	r.end()
}

func (r *Reply) CheckHealth(server string) {
	r.begin("PROBE")
	r.str(server)
	r.end()
}

func (r *Reply) SendGossip(peer int, message []byte) {
	r.begin("SIGNAL")
	if peer < 0 {
		r.str("all")
	} else {
		r.int(int64(peer))
	}
	if len(message) == 0 {
		r.str("-")
	} else {
		r.buf = append(r.buf, ' ')
		r.buf = base64.StdEncoding.AppendEncode(r.buf, message)
	}
	r.end()
}

func (r *Reply) WatchEndpoints(on bool) {
	r.begin("STREAM_CHANGES")
	if on {
		r.int(1)
	} else {
		r.int(0)
	}
	r.end()
}

func (r *Reply) Log(text string) {
	r.begin("PRINT")
	r.str(oneLine(text))
	r.end()
}

// ReportFailure reports a failure of the decision code.
func (r *Reply) ReportFailure(text string) {
	r.begin("BROKEN")
	r.str(oneLine(text))
	r.end()
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}
