package gateway

import "time"

// clock is a monotonic clock whose readings are Unix times: the time at the clock's start plus the monotonic time since
// then. The start times in endpoint lists are Unix times and can be compared with its readings.
type clock struct{ startedAt time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt)
}

// reading returns the clock's reading at a time that was taken in this process.
func (c clock) reading(at time.Time) time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + at.Sub(c.startedAt)
}
