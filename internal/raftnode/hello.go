package raftnode

import (
	"encoding/binary"
	"fmt"
)

// helloBytes is the length of an encoded hello.
const helloBytes = 16

// hello is the content of the first frame of a connection. It identifies the sender's process: a member with a lower
// incarnation than before, or with the same incarnation in another process, uses an older copy of its file and lacks
// what it has acknowledged since that copy was made.
type hello struct {
	incarnation uint64 // number of times that the member's file was opened; 0: unknown
	processID   uint64 // random number chosen at the start of the process
}

// encode returns the payload of a hello frame.
func (h hello) encode() []byte {
	encoded := binary.BigEndian.AppendUint64(nil, h.incarnation)
	return binary.BigEndian.AppendUint64(encoded, h.processID)
}

// decodeHello decodes the payload of a hello frame. ok is false if the payload has a wrong length.
func decodeHello(encoded []byte) (h hello, ok bool) {
	if len(encoded) != helloBytes {
		return hello{}, false
	}
	return hello{
		incarnation: binary.BigEndian.Uint64(encoded),
		processID:   binary.BigEndian.Uint64(encoded[8:]),
	}, true
}

// isOlderThan reports whether h is from an older copy of the member's file than newest, the member's newest hello.
func (h hello) isOlderThan(newest hello) bool {
	if h.incarnation == 0 {
		return false
	}
	isReusedIncarnation := h.incarnation == newest.incarnation && h.processID != newest.processID
	return h.incarnation < newest.incarnation || isReusedIncarnation
}

// helloTable holds the newest hello of each member, by member id.
type helloTable map[uint64]hello

// accept records a member's hello and returns true. It returns false, without recording the hello, if the hello is from
// an older copy of the member's file, which may lack the member's last vote.
func (t helloTable) accept(from uint64, h hello) bool {
	if h.isOlderThan(t[from]) {
		return false
	}
	t[from] = h
	return true
}

// acceptHello decodes and records a member's hello. A hello from an older copy of the member's file is an error.
func (t *transport) acceptHello(from uint64, encoded []byte) error {
	h, ok := decodeHello(encoded)
	if !ok {
		return fmt.Errorf("member %d: hello frame has a wrong length", from)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.newestHello.accept(from, h) {
		return fmt.Errorf("member %d uses an old copy of its file, which may lack its last vote: "+
			"its connection is rejected; replace it by a member with a new number", from)
	}
	return nil
}
