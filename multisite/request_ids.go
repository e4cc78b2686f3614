package multisite

import "time"

// recentRequestCount is for how many requests the time is known: at one each 20 ms, five seconds.
const recentRequestCount = 256

// incarnationShift leaves 32 bits of a request's ID to count the requests of one process.
const incarnationShift = 32

// requestIDs numbers the requests of an instance and remembers when the recent ones were made. Numbers grow from
// process to process: an answer to a process before this one is not taken for one's own.
type requestIDs struct {
	last    uint64
	madeAts [recentRequestCount]time.Duration // by ID modulo recentRequestCount
}

func newRequestIDs(incarnation uint64) requestIDs {
	return requestIDs{last: incarnation << incarnationShift}
}

func (r *requestIDs) next(now time.Duration) uint64 {
	r.last++
	r.madeAts[r.last%recentRequestCount] = now
	return r.last
}

// madeAt is when a request was made; false if it was not, or too long ago.
func (r *requestIDs) madeAt(id uint64) (at time.Duration, ok bool) {
	if id > r.last || r.last-id >= recentRequestCount {
		return 0, false
	}
	return r.madeAts[id%recentRequestCount], true
}
