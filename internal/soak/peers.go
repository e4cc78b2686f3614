package soak

import (
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"time"
)

// The other side of a handover, which the tool takes to force a moment: see internal/edgeproxy, hot_restart.go, for the
// messages.
const (
	handoverSocketName = "mulleinmux-handover" // in the process's $TMPDIR
	handoverHello      = "h\x01"
	handoverEmptyState = "s\x00\x00\x00\x00" // its size: no state follows
	handoverGossip     = "p"
)

// handoverSocket is the socket's path.
func (r *run) handoverSocket() *net.UnixAddr {
	return &net.UnixAddr{Name: filepath.Join(r.dir, handoverSocketName), Net: "unixpacket"}
}

// connectAsSuccessor connects to a process as its successor does, and says nothing.
func (r *run) connectAsSuccessor() (*net.UnixConn, error) {
	conn, err := net.DialUnix("unixpacket", nil, r.handoverSocket())
	if err != nil {
		return nil, fmt.Errorf("as a successor: %w", err)
	}
	return conn, nil
}

// abandonedHandover is the tool in the place of a predecessor that dies in the middle of a handover: it waits for a
// successor, hands the gossip socket over and ends without the word to go.
func (r *run) abandonedHandover(listener *net.UnixListener) error {
	defer listener.Close()
	listener.SetDeadline(time.Now().Add(processTimeout))
	conn, err := listener.AcceptUnix()
	if err != nil {
		return fmt.Errorf("as a predecessor: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(processTimeout))
	if _, err := conn.Read(make([]byte, len(handoverHello))); err != nil {
		return fmt.Errorf("as a predecessor: %w", err)
	}
	if _, err := conn.Write([]byte(handoverEmptyState)); err != nil {
		return fmt.Errorf("as a predecessor: %w", err)
	}
	return r.peer.handOverSocket(conn)
}

// gossipPeer is the tool in the place of another node of the tier, which hears whether the node under test sends gossip.
type gossipPeer struct {
	conn   *net.UDPConn
	nodeAt *net.UDPAddr // the node's address
}

// newGossipPeer returns a peer of a node that is to listen at an address of its own.
func newGossipPeer() (*gossipPeer, error) {
	loopback := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	conn, err := net.ListenUDP("udp", loopback)
	if err != nil {
		return nil, err
	}
	node, err := net.ListenUDP("udp", loopback)
	if err != nil {
		conn.Close()
		return nil, err
	}
	defer node.Close()
	return &gossipPeer{conn: conn, nodeAt: node.LocalAddr().(*net.UDPAddr)}, nil
}

// address is the peer's own address.
func (p *gossipPeer) address() string { return p.conn.LocalAddr().String() }

// handOverSocket opens the node's socket and sends it to a successor.
func (p *gossipPeer) handOverSocket(successor *net.UnixConn) error {
	socket, err := net.ListenUDP("udp", p.nodeAt)
	if err != nil {
		return err
	}
	defer socket.Close()
	file, err := socket.File()
	if err != nil {
		return err
	}
	defer file.Close()
	_, _, err = successor.WriteMsgUnix([]byte(handoverGossip), syscall.UnixRights(int(file.Fd())), nil)
	return err
}

// hearsNode reports whether a message of the node comes within a time.
func (p *gossipPeer) hearsNode(timeout time.Duration) bool {
	var buffer [1]byte
	p.conn.SetReadDeadline(time.Now().Add(timeout))
	for {
		_, from, err := p.conn.ReadFromUDPAddrPort(buffer[:])
		if err != nil {
			return false
		}
		if from == p.nodeAt.AddrPort() {
			return true
		}
	}
}

// forget drops what has come so far.
func (p *gossipPeer) forget() {
	var buffer [1]byte
	p.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	for {
		if _, _, err := p.conn.ReadFromUDPAddrPort(buffer[:]); err != nil {
			return
		}
	}
}

func (p *gossipPeer) close() { p.conn.Close() }
