package soak

import (
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"time"
)

// Messages of a handover. The tool acts as a predecessor or a successor to force a certain order of events.
// See internal/edgeproxy/hot_restart.go for the protocol.
const (
	handoverSocketName = "mulleinmux-handover" // in the $TMPDIR of the process
	handoverHello      = "h\x01"
	handoverEmptyState = "s\x00\x00\x00\x00" // the size of the state, which is empty
	handoverGossip     = "p"
)

// handoverSocket returns the address of the handover socket.
func (r *run) handoverSocket() *net.UnixAddr {
	return &net.UnixAddr{Name: filepath.Join(r.dir, handoverSocketName), Net: "unixpacket"}
}

// connectAsSuccessor connects to a process as its successor does, without sending a message.
func (r *run) connectAsSuccessor() (*net.UnixConn, error) {
	conn, err := net.DialUnix("unixpacket", nil, r.handoverSocket())
	if err != nil {
		return nil, fmt.Errorf("soak: connecting as a successor: %w", err)
	}
	return conn, nil
}

// abandonHandover acts as a predecessor that exits in the middle of a handover. It waits for a successor,
// hands over the gossip socket and closes the connection without sending the message after which the successor starts.
func (r *run) abandonHandover(listener *net.UnixListener) error {
	defer listener.Close()
	listener.SetDeadline(time.Now().Add(processTimeout))
	conn, err := listener.AcceptUnix()
	if err != nil {
		return fmt.Errorf("soak: accepting a successor: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(processTimeout))
	if _, err := conn.Read(make([]byte, len(handoverHello))); err != nil {
		return fmt.Errorf("soak: reading the hello of a successor: %w", err)
	}
	if _, err := conn.Write([]byte(handoverEmptyState)); err != nil {
		return fmt.Errorf("soak: sending the state to a successor: %w", err)
	}
	return r.peer.handOverSocket(conn)
}

// gossipPeer acts as another node of the tier, to check whether the node under test sends gossip.
type gossipPeer struct {
	conn     *net.UDPConn
	nodeAddr *net.UDPAddr // gossip address of the node under test
}

// newGossipPeer returns a peer with a socket of its own, and picks the address on which the node is to listen.
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
	return &gossipPeer{conn: conn, nodeAddr: node.LocalAddr().(*net.UDPAddr)}, nil
}

// address returns the peer's own address.
func (p *gossipPeer) address() string { return p.conn.LocalAddr().String() }

// handOverSocket opens the node's gossip socket and sends its descriptor to a successor.
func (p *gossipPeer) handOverSocket(successor *net.UnixConn) error {
	socket, err := net.ListenUDP("udp", p.nodeAddr)
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

// awaitNodeMessage reports whether a message from the node arrives within the timeout.
func (p *gossipPeer) awaitNodeMessage(timeout time.Duration) bool {
	var buffer [1]byte
	p.conn.SetReadDeadline(time.Now().Add(timeout))
	for {
		_, from, err := p.conn.ReadFromUDPAddrPort(buffer[:])
		if err != nil {
			return false
		}
		if from == p.nodeAddr.AddrPort() {
			return true
		}
	}
}

// discardReceived drops the messages that have arrived so far.
func (p *gossipPeer) discardReceived() {
	var buffer [1]byte
	p.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	for {
		if _, _, err := p.conn.ReadFromUDPAddrPort(buffer[:]); err != nil {
			return
		}
	}
}

func (p *gossipPeer) close() { p.conn.Close() }
