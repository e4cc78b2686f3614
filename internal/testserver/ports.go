package testserver

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the ephemeral range of common systems, so that no other socket is
// bound to a port between the check that it is free and its use.
const (
	firstPort = 15000
	lastPort  = 32000
)

var nextPort atomic.Int64

// FreeAddr finds a loopback address that no socket is bound to, for a network "tcp" or "udp". Processes may bind it
// one after another.
func FreeAddr(network string) (string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*131+1) // each process starts at a different port
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		if network == "udp" {
			if conn, err := net.ListenPacket("udp", addr); err == nil {
				return addr, conn.Close()
			}
			continue
		}
		if listener, err := net.Listen("tcp", addr); err == nil {
			return addr, listener.Close()
		}
	}
	return "", fmt.Errorf("no free %s port from %d to %d", network, firstPort, lastPort)
}
