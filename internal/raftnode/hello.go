package raftnode

import (
	"encoding/binary"
	"fmt"
)

// helloBytes is the length of an encoded hello.
const helloBytes = 16

// hello is the first frame of a connection. It identifies the sender's process: a member that
// comes with a lower incarnation than before, or with the same one in another process, has an
// older copy of its file and has forgotten what it acknowledged since.
type hello struct {
	incarnation uint64 // how often the member's file was opened; 0: not known
	processID   uint64 // random, drawn at the process' start
}

// encode returns the payload of the hello's frame.
func (h hello) encode() []byte {
	encoded := binary.BigEndian.AppendUint64(nil, h.incarnation)
	return binary.BigEndian.AppendUint64(encoded, h.processID)
}

// decodeHello is the inverse of encode.
func decodeHello(encoded []byte) (h hello, ok bool) {
	if len(encoded) != helloBytes {
		return hello{}, false
	}
	return hello{
		incarnation: binary.BigEndian.Uint64(encoded),
		processID:   binary.BigEndian.Uint64(encoded[8:]),
	}, true
}

// isOlderThan reports whether a hello comes of an older copy of the member's file than
// another hello of that member.
func (h hello) isOlderThan(newest hello) bool {
	if h.incarnation == 0 {
		return false
	}
	isSameFileElsewhere := h.incarnation == newest.incarnation && h.processID != newest.processID
	return h.incarnation < newest.incarnation || isSameFileElsewhere
}

// acceptHello records a member's hello. One of an older copy of the member's file is an error.
func (t *transport) acceptHello(from uint64, encoded []byte) error {
	h, ok := decodeHello(encoded)
	if !ok {
		return fmt.Errorf("member %d: malformed hello", from)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.isOlderThan(t.newestHello[from]) {
		return fmt.Errorf("member %d comes with an old copy of its file and may have forgotten votes: "+
			"it is not heard; replace it under a new number", from)
	}
	t.newestHello[from] = h
	return nil
}
