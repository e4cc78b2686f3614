// Package peers is the datagram socket over which the nodes of a tier message one another.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/policy"
)

// errorPause is waited after an error of the socket.
const errorPause = time.Millisecond

// maxMessage is the longest datagram that may be sent to a peer.
const maxMessage = 256

// Socket sends and receives messages.
type Socket struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	all   netip.AddrPort
	from  map[netip.AddrPort]int
	mute  atomic.Bool // the latest message could not be sent
}

// Listen opens the socket of node me. addrs has the address of each node by number; all
// reaches every node at once, and may be invalid where there is no such address.
func Listen(listen netip.AddrPort, me int, addrs []netip.AddrPort, all netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return NewSocket(conn, me, addrs, all), nil
}

// NewSocket is [Listen] on a socket that is open.
func NewSocket(conn *net.UDPConn, me int, addrs []netip.AddrPort, all netip.AddrPort) *Socket {
	p := &Socket{conn: conn, addrs: addrs, all: all, from: map[netip.AddrPort]int{}}
	for i, a := range addrs {
		if i != me {
			p.from[a] = i
		}
	}
	return p
}

// RawConn is the socket's descriptor, for handing it to another process.
func (p *Socket) RawConn() (syscall.RawConn, error) { return p.conn.SyscallConn() }

// Close closes the socket, which ends Receive.
func (p *Socket) Close() error { return p.conn.Close() }

// Send sends a message. A lost one is part of the contract; that messages can't be
// sent is logged once, and so is that they can again.
func (p *Socket) Send(peer int, message []byte, logf func(format string, args ...any)) {
	err := p.send(peer, message)
	if was := p.mute.Swap(err != nil); err != nil && !was {
		logf("peers: %v", err)
	} else if err == nil && was {
		logf("peers: sending again")
	}
}

func (p *Socket) send(peer int, message []byte) error {
	to := p.all
	if peer != policy.AllInstances {
		if peer < 0 || peer >= len(p.addrs) {
			return fmt.Errorf("message to unknown peer %d", peer)
		}
		to = p.addrs[peer]
	}
	if len(message) > maxMessage {
		return fmt.Errorf("message of %d bytes to peer %d", len(message), peer)
	}
	_, err := p.conn.WriteToUDPAddrPort(message, to)
	return err
}

// Receive hands on what peers send until the socket is closed. A datagram from
// an unknown address or over the limit is dropped; the module drops malformed ones.
func (p *Socket) Receive(hear func(from int, message []byte)) {
	buf := make([]byte, maxMessage+1)
	for {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer that is down may answer a datagram with an ICMP error, which ends up here. The
			// pause keeps an error that stays from taking the core.
			time.Sleep(errorPause)
			continue
		}
		from, known := p.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && n <= maxMessage {
			hear(from, buf[:n])
		}
	}
}
