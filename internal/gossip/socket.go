// Package gossip is the UDP transport of the gossip messages that the nodes of a tier exchange. It does not
// read them.
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

	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// readRetryDelay is the time after an error of the socket until it is read again.
const readRetryDelay = time.Millisecond

// maxMessage is the longest datagram that may be sent to a peer.
const maxMessage = 256

// Socket sends and receives gossip messages.
type Socket struct {
	conn      *net.UDPConn
	addrs     []netip.AddrPort
	broadcast netip.AddrPort
	peerIndex map[netip.AddrPort]int
	isFailing atomic.Bool // the latest message could not be sent
}

// Listen opens the socket of node me. addrs has the address of each node by number; broadcast
// reaches every node at once, and may be invalid where there is no such address.
func Listen(listen netip.AddrPort, me int, addrs []netip.AddrPort, broadcast netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return NewSocket(conn, me, addrs, broadcast), nil
}

// NewSocket is [Listen] on a connection that is open.
func NewSocket(conn *net.UDPConn, me int, addrs []netip.AddrPort, broadcast netip.AddrPort) *Socket {
	s := &Socket{conn: conn, addrs: addrs, broadcast: broadcast, peerIndex: map[netip.AddrPort]int{}}
	for i, a := range addrs {
		if i != me {
			s.peerIndex[a] = i
		}
	}
	return s
}

// RawConn is the socket's descriptor, for handing it to another process.
func (s *Socket) RawConn() (syscall.RawConn, error) { return s.conn.SyscallConn() }

// Close closes the socket, which ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a message to a peer, or to all with [policy.AllInstances]. A message may be lost; that messages
// can't be sent is logged once, and so is that they can again.
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
			return fmt.Errorf("message to unknown peer %d", peer)
		}
		to = s.addrs[peer]
	}
	if len(message) > maxMessage {
		return fmt.Errorf("message of %d bytes to peer %d", len(message), peer)
	}
	_, err := s.conn.WriteToUDPAddrPort(message, to)
	return err
}

// Receive hands on the messages of peers until the socket is closed. A datagram from
// an unknown address or over the limit is dropped; package policy drops malformed ones.
func (s *Socket) Receive(onMessage func(from int, message []byte)) {
	buf := make([]byte, maxMessage+1)
	for {
		n, addr, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer that is down may answer a datagram with an ICMP error, which ends up here. The
			// delay keeps a lasting error from taking the core.
			time.Sleep(readRetryDelay)
			continue
		}
		from, isKnown := s.peerIndex[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if isKnown && n <= maxMessage {
			onMessage(from, buf[:n])
		}
	}
}
