package configstream

import "time"

// confirmation is the latest quorum confirmation that no version newer than a given one had been committed.
type confirmation struct {
	requestedAt time.Duration // clock reading when the quorum was queried: the confirmation holds as of this time
	isValid     bool          // false if the version has no confirmation
}
