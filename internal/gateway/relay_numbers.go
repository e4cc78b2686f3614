package gateway

import (
	"strconv"
	"strings"
	"sync/atomic"
)

// relayNumbers issues the numbers under which remote instances record the attempts that this process relays (see
// [multisite.ForwardedRequestID]). No other process issues the same, and no client has an influence on them.
type relayNumbers struct {
	process string // random text of at least 128 bits
	last    atomic.Uint64
}

// relayProcess returns the process that issued a number, or the whole number if it has no such part.
func relayProcess(number string) string {
	process, _, _ := strings.Cut(number, ".")
	return process
}

// next returns a new number. It is safe for concurrent use.
func (n *relayNumbers) next() string { return n.process + "." + strconv.FormatUint(n.last.Add(1), 10) }
