package gateway

import (
	"strconv"
	"sync/atomic"
)

// relayNumbers issues the numbers under which remote instances record the attempts that this process relays (see
// [multisite.ForwardedRequestID]). No other process issues the same, and no client has an influence on them.
type relayNumbers struct {
	process string // random text of at least 128 bits
	last    atomic.Uint64
}

// next returns a new number. It is safe for concurrent use.
func (n *relayNumbers) next() string { return n.process + "." + strconv.FormatUint(n.last.Add(1), 10) }
