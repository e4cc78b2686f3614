package node

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"mulleinmux/choice"
)

// errorPause is waited after an error of the socket.
const errorPause = time.Millisecond

// maxMessage is the longest datagram that may be sent to a peer.
const maxMessage = 256

// peers is the datagram socket over which edge nodes message one another.
type peers struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	all   netip.AddrPort
	from  map[netip.AddrPort]int
	mute  atomic.Bool // the latest message could not be sent
}

// listenPeers opens the socket.
func listenPeers(c *Config) (*peers, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &peers{conn: conn, addrs: c.Peers, all: c.PeersAll, from: map[netip.AddrPort]int{}}
	for i, a := range c.Peers {
		if i != c.Settings.Me {
			p.from[a] = i
		}
	}
	return p, nil
}

// tell sends a message. A lost one is part of the contract; that messages can't be
// sent is logged once, and so is that they can again.
func (p *peers) tell(peer int, message []byte, logf func(format string, args ...any)) {
	err := p.send(peer, message)
	if was := p.mute.Swap(err != nil); err != nil && !was {
		logf("peers: %v", err)
	} else if err == nil && was {
		logf("peers: sending again")
	}
}

func (p *peers) send(peer int, message []byte) error {
	to := p.all
	if peer != choice.AllPeers {
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

// receive hands on what peers send until the socket is closed. A datagram from
// an unknown address or over the limit is dropped; the module drops malformed ones.
func (p *peers) receive(hear func(from int, message []byte)) {
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
