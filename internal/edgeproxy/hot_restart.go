package edgeproxy

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Hot restart: a second process, the successor, is started while the first, its predecessor, still serves. Both inherit
// the listening socket for clients and share $TMPDIR, where the successor connects to a socket of the predecessor. The
// successor sends its hello when it starts and then waits. When the predecessor receives SIGTERM, the other messages
// follow. Each message is one datagram with its kind in the first byte, and carries at most one descriptor:
//
//	hello           to the predecessor: the version of this protocol
//	clock           to the successor, at once: the offset of the node's clock, which the successor's clock continues
//	state           to the successor: the size of the engine's state, then the state in chunks
//	gossip socket   to the successor: the gossip socket, if the predecessor has one
//	sent IDs        to the successor: the IDs of requests that were forwarded, in chunks
//	state complete  to the successor: all of the above was sent
//	taken over      to the predecessor: the successor serves from now on
//	given up        to the successor: it has not taken over in time, and can't any more
//	client          to the successor: the connection of one client
//	sent ID         to either: the ID of a request that is being forwarded, from the state on as long as both serve
//
// Ownership during a hot restart:
//
//	new connections     the predecessor until the successor has taken over, when it closes its listener
//	engine state        the predecessor until the state is exported; the successor from state complete on; after the
//	                    export the engine of the predecessor only finishes the requests in flight
//	quotas' tokens      split when the state is exported: the predecessor keeps a reserve for requests that arrive before
//	                    their connections are handed over, and refills its quotas; those of the successor refill from
//	                    state complete on
//	gossip              the successor from state complete on; the predecessor sends nothing after the export
//	client connection   the predecessor until no request is active on it; the successor once the connection is sent;
//	                    none is closed
//	socket path         the predecessor until the state is exported; the successor from state complete on
//	connections to      each process has its own; the predecessor closes its idle ones once the successor has taken over
//	app servers
//
// So two processes never decide on requests of new connections at the same time. Requests on a connection that was not
// handed over yet are decided by the predecessor's engine and unknown to the successor's. If the successor disconnects
// before it has taken over, or has not by the handover's deadline since it is stopped, the predecessor keeps everything
// and drains as at a planned restart. It closes the connection between both once it accepts no more clients. Only then
// does a successor start whose takeover came too late, without inherited state.
const (
	handoverSocketName     = "mulleinmux-handover"
	handoverMessageTimeout = 2 * time.Second        // for one message at most: the other process may be busy
	handoverVersion        = 3                      // version in the hello; version 0 sent neither hello nor taken over
	sentIDsVersion         = 2                      // from which on a process understands sent IDs
	clockVersion           = 3                      // from which on a successor understands the clock
	clockTimeout           = 200 * time.Millisecond // for the clock; a predecessor of an older version sends none
	maxStateChunk          = 32 << 10               // bytes of the engine's state in one message
	handOverPollInterval   = 10 * time.Millisecond  // between checks whether connections are left
)

// The kinds of the messages.
const (
	msgClock         = 'k'
	msgHello         = 'h'
	msgState         = 's'
	msgGossipSocket  = 'p'
	msgStateComplete = 'g'
	msgTakenOver     = 'y'
	msgGivenUp       = 'x'
	msgClient        = 'c'
	msgSentIDs       = 'i'
	msgSentID        = 'j'
)

// handOver hands the engine's state and the clients over to the successor process. Clients are accepted on ln until the
// successor has taken over; it has the same socket. It returns once this process has answered its own requests and its
// predecessor has no more clients to hand over. An error means that nothing was handed over: the caller drains the node
// as at a planned restart.
func (s *clientServer) handOver(successors *successorListener, ln net.Listener) error {
	if successors.takesSentIDs() { // before the IDs are exported: one that is added meanwhile is reported
		s.node.ids.setPeer(successors.sendSentID)
	}
	state, sentIDs, gossipSocket, err := s.node.handOverState()
	if err == nil {
		successors.stopListening()
		successors.deadline = s.shutdown.handoverDeadline()
		successors.setSentIDReceived(s.node.ids.receive)
		err = successors.sendInheritedState(state, sentIDs, gossipSocket)
	}
	if err == nil && successors.awaitTakeover() == takeoverFailed {
		err = errNoTakeover
	}
	if err != nil && !successors.giveUp() {
		s.node.ids.setPeer(nil)
		s.node.resume(gossipSocket)
		return err
	}
	ln.Close() // the successor accepts the clients that connect from now on
	if gossipSocket != nil {
		gossipSocket.Close() // from here on the successor receives gossip
	}
	successors.deadline = *s.shutdown.endsAt.Load()
	s.limiter.startHandOver(successors.sendClient)
	s.node.pool.CloseIdle()
	s.awaitClientsDisconnected()
	return nil
}

// awaitClientsDisconnected waits until neither this process nor its predecessor has a client left, for
// longestRequestTime at most: by then the last request must have been answered. It ends with the shutdown timer.
func (s *clientServer) awaitClientsDisconnected() {
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(s.longestRequestTime())
	defer timeout.Stop()
	for s.limiter.count() > 0 || s.hasPredecessor.Load() {
		select {
		case <-ticker.C:
		case <-timeout.C:
			return
		case <-s.shutdown.expired:
			return
		}
	}
}

// sendClient sends a client's connection to the successor.
func (l *successorListener) sendClient(c *clientConn) error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.New("handover: client connection has no descriptor")
	}
	rc, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return l.send(msgClient, nil, rc)
}
