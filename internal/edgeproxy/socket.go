package edgeproxy

import (
	"errors"
	"net"
	"os"
)

// duplicateDescriptor returns another descriptor of a listener's socket.
func duplicateDescriptor(ln net.Listener) (*os.File, error) {
	l, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.New("handover: the clients' socket has no descriptor")
	}
	return l.File()
}
