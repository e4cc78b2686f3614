package testserver

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the ephemeral range of common systems, so that the system does not assign one of them to another
// socket between the check that it is free and its use.
const (
	firstPort = 15000
	lastPort  = 32000
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address for a network "tcp" or "udp" to which no socket was bound during the call. The
// address is not reserved: it stays free until a process binds it by its number. The system assigns it to no other
// socket, and this process gets the same port again only after all others of the range, so a test can let several
// processes bind it one after another. Another process that calls FreeAddr may get the same address.
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
	return "", fmt.Errorf("testserver: no free %s port from %d to %d", network, firstPort, lastPort)
}
