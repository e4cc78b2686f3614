package testserver

import "time"

// rememberKey remembers an idempotency key and reports whether it is new.
func (site *Site) rememberKey(key string, now time.Time) bool {
	site.mu.Lock()
	defer site.mu.Unlock()
	firstRun, isKnown := site.keyRunTimes[key]
	if isKnown && now.Sub(firstRun) < site.config.IdempotencyTTL {
		return false
	}
	site.keyRunTimes[key] = now
	return true
}
