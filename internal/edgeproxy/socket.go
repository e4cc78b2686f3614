package edgeproxy

import (
	"errors"
	"net"
	"os"
)

// duplicateDescriptor returns a duplicate of the descriptor of a listener's socket.
func duplicateDescriptor(ln net.Listener) (*os.File, error) {
	l, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.New("handover: client listener has no descriptor")
	}
	return l.File()
}
