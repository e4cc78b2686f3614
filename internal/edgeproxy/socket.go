package edgeproxy

import (
	"net"
	"net/netip"
	"os"

	"mulleinmux/internal/graceful"
)

// listenTCP listens on a TCP address.
func listenTCP(addr netip.AddrPort) (net.Listener, error) {
	return graceful.OpenSocket(func() (net.Listener, error) { return net.Listen("tcp", addr.String()) })
}

// fileListener returns a listener on a duplicate of a descriptor.
func fileListener(file *os.File) (net.Listener, error) {
	return graceful.OpenSocket(func() (net.Listener, error) { return net.FileListener(file) })
}

// fileConn returns a connection on a duplicate of a descriptor.
func fileConn(file *os.File) (net.Conn, error) {
	return graceful.OpenSocket(func() (net.Conn, error) { return net.FileConn(file) })
}
