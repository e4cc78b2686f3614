package testserver

import (
	"fmt"
	"hash/fnv"
)

// Faults are the probabilities, from 0 to 1, of the faults of an attempt. Which faults an
// attempt has is determined by the seed, the site, the attempt's trace and its number.
type Faults struct {
	Error           float64 // answers 500 after it ran
	Reset           float64 // closes the connection after it ran
	NoAnswer        float64 // runs and never answers
	Reject          float64 // rejects it without running it
	ErrorWithoutRun float64 // answers 500 without having run
}

// Draws of an attempt. Their numbers are hashed: another number changes the faults of every seed.
const (
	drawReject = iota
	drawErrorWithoutRun
	drawError
	drawReset
	drawNoAnswer
)

// faultDraws draws the faults of one attempt.
type faultDraws struct {
	seed    uint64
	site    string
	trace   string
	attempt int
}

// nextDraws counts an attempt of a trace and returns its draws.
func (site *Site) nextDraws(trace string) faultDraws {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.attemptCounts[trace]++
	return faultDraws{
		seed:    site.config.Seed,
		site:    site.Name,
		trace:   trace,
		attempt: site.attemptCounts[trace],
	}
}

// isHit reports whether the fault of a draw occurs, given its probability.
func (draws faultDraws) isHit(draw int, probability float64) bool {
	return draws.uniform(draw) < probability
}

// uniform returns the number in [0, 1) that belongs to a draw: an FNV-1a hash through a
// part of the splitmix64 finalizer.
func (draws faultDraws) uniform(draw int) float64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s %s %d %d", draws.seed, draws.site, draws.trace, draws.attempt, draw)
	bits := hash.Sum64()
	bits ^= bits >> 29
	bits *= 0xbf58476d1ce4e5b9
	bits ^= bits >> 32
	return float64(bits>>11) / (1 << 53)
}
