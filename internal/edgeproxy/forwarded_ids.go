package edgeproxy

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/sentids"
)

const (
	minSentIDTTL   = 10 * time.Second
	sentIDsPerMB   = 512 // IDs that are remembered for each MiB of the node's memory
	sentIDHashSize = 8   // bytes of a hash in a message
)

// forwardedIDs remembers the IDs of requests that were forwarded, here or, during an upgrade, by the node's other
// process. A request with one of them is not forwarded again, even if its client has disconnected meanwhile.
type forwardedIDs struct {
	start time.Time // of the clock

	mu   sync.Mutex
	set  *sentids.Set
	peer func(hash uint64) // reports an ID to the other process; nil if there is none
}

// newForwardedIDs returns the empty set of a node. It remembers an ID for the longest time in which servers may still
// execute its request, or drop a repeat of it.
func newForwardedIDs(cfg *Config) *forwardedIDs {
	ttl := minSentIDTTL
	for _, class := range cfg.Settings.Classes {
		ttl = max(ttl, class.Deadline+class.DedupWindow)
	}
	return &forwardedIDs{start: time.Now(), set: sentids.New(rand.Uint64(), ttl, cfg.memoryMiB()*sentIDsPerMB)}
}

// now returns the time on the set's clock.
func (f *forwardedIDs) now() time.Duration { return time.Since(f.start) }

// contains reports whether a request with the ID was forwarded.
func (f *forwardedIDs) contains(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Contains(f.now(), f.set.Hash(id))
}

// add records that a request with the ID is about to be forwarded, and reports that to the node's other process.
func (f *forwardedIDs) add(id string) {
	f.mu.Lock()
	hash, peer := f.set.Hash(id), f.peer
	f.set.Add(f.now(), hash)
	f.mu.Unlock()
	if peer != nil {
		peer(hash)
	}
}

// receive records an ID that the node's other process is about to forward. Messages of any other size are ignored.
func (f *forwardedIDs) receive(message []byte) {
	if len(message) != sentIDHashSize {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set.Add(f.now(), binary.BigEndian.Uint64(message))
}

// setPeer sets the function that reports an ID to the node's other process; nil if there is none.
func (f *forwardedIDs) setPeer(peer func(hash uint64)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peer = peer
}

// export returns the set for the successor process.
func (f *forwardedIDs) export() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Export(f.now())
}

// importAll replaces the set by that of the predecessor.
func (f *forwardedIDs) importAll(exported []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Import(f.now(), exported)
}

// dropped returns how many IDs were forgotten before their time.
func (f *forwardedIDs) dropped() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Dropped()
}

// sendSentID sends the hash of an ID to the other process, unless the socket's buffer is full: the request does not
// wait for a process that is held up.
func sendSentID(conn *net.UnixConn, hash uint64) {
	sendNow(conn, binary.BigEndian.AppendUint64([]byte{msgSentID}, hash))
}

// sendNow sends a message to the other process of a hot restart, unless that would have to wait.
func sendNow(conn *net.UnixConn, message []byte) {
	_ = graceful.ControlSocket(conn, func(fd int) {
		_ = syscall.Sendto(fd, message, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil)
	})
}
