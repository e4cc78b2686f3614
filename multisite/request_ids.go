package multisite

import "time"

// recentRequestCount is the number of requests whose time is recorded: those of five seconds, at one every 20 ms.
const recentRequestCount = 256

// incarnationShift leaves 32 bits of a request's ID to count the requests of one process.
const incarnationShift = 32

// requestIDs numbers the requests of an instance and records when the recent ones were made. IDs grow from process to
// process, so that an answer to an earlier process matches no request of this one.
type requestIDs struct {
	last         uint64
	requestTimes [recentRequestCount]time.Duration // by ID modulo recentRequestCount
}

func newRequestIDs(incarnation uint64) requestIDs {
	return requestIDs{last: incarnation << incarnationShift}
}

func (r *requestIDs) next(now time.Duration) uint64 {
	r.last++
	r.requestTimes[r.last%recentRequestCount] = now
	return r.last
}

// requestTime returns when a request was made; ok is false if it was never made or is no longer recorded.
func (r *requestIDs) requestTime(id uint64) (at time.Duration, ok bool) {
	if id > r.last || r.last-id >= recentRequestCount {
		return 0, false
	}
	return r.requestTimes[id%recentRequestCount], true
}
