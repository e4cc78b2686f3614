// Package gossip is the UDP transport of the gossip messages between the nodes of a tier. It does not interpret them.
package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// readRetryDelay is the delay before the next read after a read error.
const readRetryDelay = time.Millisecond

// maxMessage is the maximum size of a message in bytes.
const maxMessage = 256

// Socket sends and receives gossip messages.
type Socket struct {
	conn      *net.UDPConn
	addrs     []netip.AddrPort
	broadcast netip.AddrPort
	peerIndex map[netip.AddrPort]int
	isFailing atomic.Bool // whether the latest send failed
}

// Listen opens the gossip socket of the node with index selfIndex. addrs has the address of each node by index;
// broadcast reaches every node at once, and may be invalid if there is no such address.
func Listen(listen netip.AddrPort, selfIndex int, addrs []netip.AddrPort, broadcast netip.AddrPort) (*Socket, error) {
	conn, err := graceful.OpenSocket(func() (*net.UDPConn, error) {
		return net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	})
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return NewSocket(conn, selfIndex, addrs, broadcast), nil
}

// NewSocket is like [Listen] but uses an open connection.
func NewSocket(conn *net.UDPConn, selfIndex int, addrs []netip.AddrPort, broadcast netip.AddrPort) *Socket {
	s := &Socket{conn: conn, addrs: addrs, broadcast: broadcast, peerIndex: map[netip.AddrPort]int{}}
	for i, a := range addrs {
		if i != selfIndex {
			s.peerIndex[a] = i
		}
	}
	return s
}

// RawConn gives access to the socket's file descriptor, which can be passed to another process.
func (s *Socket) RawConn() (syscall.RawConn, error) { return s.conn.SyscallConn() }

// Close closes the socket, which ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a message to the peer with an index, or to all peers if it is [policy.AllInstances]. Messages may be lost.
// The first failed send and the first successful one after it are logged.
func (s *Socket) Send(peer int, message []byte, logger *slog.Logger) {
	err := s.write(peer, message)
	wasFailing := s.isFailing.Swap(err != nil)
	if err != nil && !wasFailing {
		logger.Warn("gossip send failed", logging.Error(err))
	} else if err == nil && wasFailing {
		logger.Info("gossip send resumed")
	}
}

func (s *Socket) write(peer int, message []byte) error {
	to := s.broadcast
	if peer != policy.AllInstances {
		if peer < 0 || peer >= len(s.addrs) {
			return fmt.Errorf("gossip: unknown peer %d", peer)
		}
		to = s.addrs[peer]
	}
	if len(message) > maxMessage {
		return fmt.Errorf("gossip: message of %d bytes to peer %d is too long", len(message), peer)
	}
	_, err := s.conn.WriteToUDPAddrPort(message, to)
	return err
}

// Receive calls onMessage with each message from a peer until the socket is closed. It drops datagrams from unknown
// addresses and those that exceed maxMessage; package policy drops malformed messages.
func (s *Socket) Receive(onMessage func(from int, message []byte)) {
	buf := make([]byte, maxMessage+1)
	for {
		n, addr, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The host of a peer that is down may answer a datagram with an ICMP error, which is reported here. The
			// delay keeps a persistent error from using up the core.
			time.Sleep(readRetryDelay)
			continue
		}
		from, isKnown := s.peerIndex[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if isKnown && n <= maxMessage {
			onMessage(from, buf[:n])
		}
	}
}
