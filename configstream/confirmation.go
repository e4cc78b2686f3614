package configstream

import "time"

// confirmation is the latest one, by a quorum, that nothing newer than a version was agreed on.
type confirmation struct {
	askedAt time.Duration // as of then
	isValid bool          // false: there is none of this version
}
