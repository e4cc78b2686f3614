package edgeproxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// An upgrade: a second process is started while the first still serves. Both have the
// clients' listening socket and share $TMPDIR. The successor meets its predecessor on a
// socket there, says which form of this it knows, and waits, ready. When the predecessor is told
// to end, it stops accepting and hands over, in this order: what its module knows, the peers'
// socket and the word to go. The successor answers that it serves; then each client's
// connection goes over as soon as no request is on it. At no moment do both decide on
// new requests, so that quotas and ceilings need no share for the overlap, and no connection
// of a client is closed. A successor that ends before it has answered leaves the predecessor
// with all that it had: it drains as at a planned restart. The messages are datagrams of one kind
// each, with the descriptor beside them where there is one.
const (
	handoverSocketName     = "mulleinmux-handover"
	handoverMessageTimeout = 2 * time.Second       // for one message: the other process is alive, if busy
	handoverVersion        = 1                     // of the successor's side; 0 said nothing and did not answer
	maxStateChunk          = 32 << 10              // bytes of the engine's state in one message
	handOverPollInterval   = 10 * time.Millisecond // between looks whether the last connection has gone

	msgState        = 's' // a part of the module's state
	msgGossipSocket = 'p' // the peers' socket
	msgGo           = 'g' // all of the above has come: serve
	msgClient       = 'c' // a client's connection

	msgHello     = 'h' // from the successor: the form that it knows
	msgTakenOver = 'y' // from the successor: it has taken over
)

// handOver gives clients and what the module knows to the process that takes over, and
// ends once its own requests are answered and the process before it has no more clients to pass on.
// ln, on which it accepted, is closed first; the socket behind it stays with the successor. An error
// means that nothing has changed hands: the node goes on as it was, and accepts on again.
func (s *clientServer) handOver(h *successorListener, ln net.Listener) (again net.Listener, err error) {
	door, err := duplicateDescriptor(ln)
	if err != nil {
		return nil, err
	}
	defer door.Close()
	ln.Close()
	n := s.node
	state, sock, err := n.exportState()
	if err == nil {
		h.stopListening()
		err = h.sendInheritedState(state, sock)
	}
	if err == nil {
		err = h.awaitTakeover()
	}
	if err != nil {
		if sock != nil {
			n.setGossipSocket(sock)
		}
		again, lnErr := net.FileListener(door)
		return again, errors.Join(err, lnErr)
	}
	if sock != nil {
		sock.Close() // from here on the successor hears the peers
	}
	s.limiter.startHandOver(func(c *clientConn) error {
		tc, ok := c.Conn.(syscall.Conn)
		if !ok {
			return errors.New("handover: no descriptor")
		}
		rc, err := tc.SyscallConn()
		if err != nil {
			return err
		}
		return h.send(msgClient, nil, rc)
	})
	closeConns(n.pool.takeAllIdle())
	tick := time.NewTicker(handOverPollInterval)
	defer tick.Stop()
	for end := time.Now().Add(s.longestRequest()); (s.limiter.count() > 0 || s.hasPredecessor.Load()) && time.Now().Before(end); {
		<-tick.C
	}
	return nil, nil
}

// duplicateDescriptor returns another descriptor of a listener's socket.
func duplicateDescriptor(ln net.Listener) (*os.File, error) {
	l, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.New("handover: the clients' socket has no descriptor")
	}
	return l.File()
}
