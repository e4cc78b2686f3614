package configstream

import "time"

// confirmation is the latest confirmation by a quorum that nothing newer than a version had been agreed on.
type confirmation struct {
	askedAt time.Duration // clock reading at which it was requested, for which it holds
	isValid bool          // false: there is none for the version
}
