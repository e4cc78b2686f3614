package testserver

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports that are given out lie below those that systems give to sockets that ask for none,
// so that nothing takes one between its being found free and its being used.
const (
	firstPort = 15000
	lastPort  = 32000
)

var nextPort atomic.Int64

// FreeAddr finds a loopback address that nothing uses, for a network "tcp" or "udp". It may
// be used again later, by one process after another.
func FreeAddr(network string) (string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*131+1) // another beginning for each process
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		if network == "udp" {
			if c, err := net.ListenPacket("udp", addr); err == nil {
				return addr, c.Close()
			}
			continue
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", fmt.Errorf("no free %s port from %d to %d", network, firstPort, lastPort)
}
