package edgeproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// newLimitedServer serves clients on at most maxConns connections.
func newLimitedServer(t *testing.T, maxConns int, servers ...Instance) (*clientServer, string) {
	t.Helper()
	server := newIdleClientServer(t, testConfig(servers...))
	server.limiter.maxConns = maxConns
	server.phase.Store(phaseServing)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.serve(ln)
	t.Cleanup(func() { server.httpServer.Close() })
	return server, ln.Addr().String()
}

// ageConns adds to the age of all connections in a state and returns their number.
func (l *connectionLimiter) ageConns(state clientConnState, by time.Duration) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.state == state {
			c.stateSince, c.lastReadAt = c.stateSince.Add(-by), c.lastReadAt.Add(-by)
			n++
		}
	}
	return n
}

const readyRequest = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"

// Hundreds of clients that connect and send nothing must neither keep other clients out nor cost an active client its
// connection.
func TestSilentClientsAreEvicted(t *testing.T) {
	s := newAppServer(t, respondWith(okAnswer))
	server, addr := newLimitedServer(t, 8, s.instance("a"))
	kept := dial(t, addr)
	if a := kept.do(readyRequest); a.status != 200 {
		t.Errorf("before the silent clients: got %+v, want status 200", a)
	}
	var silentClients []*client
	for i := range 40 {
		silentClients = append(silentClients, dial(t, addr))
		if i%10 == 0 {
			if a := dial(t, addr).do(request("check", fmt.Sprint("t", i))); a.status != 200 || a.close {
				t.Errorf("with %d silent clients: got %+v, want status 200 on an open connection", i, a)
			}
		}
	}
	for i := range 20 {
		wantEOF(t, fmt.Sprint("silent ", i), silentClients[i])
	}
	if a := kept.do(request("check", "kept")); a.status != 200 {
		t.Errorf("on the idle connection: got %+v, want status 200", a)
	}
	server.limiter.mu.Lock()
	defer server.limiter.mu.Unlock()
	if n := len(server.limiter.conns); n > 8 {
		t.Errorf("got %d open connections, want at most 8", n)
	}
}

// Responses close their connections once three quarters of the connections are in use. Silent connections don't count
// as in use, and their number stays correct however a connection ends.
func TestResponsesCloseNearConnLimit(t *testing.T) {
	server, addr := newLimitedServer(t, 4)
	first := dial(t, addr)
	var others []*client
	for range 3 {
		others = append(others, dial(t, addr))
	}
	hasSilentCount := func(n int) func() bool {
		return func() bool {
			server.limiter.mu.Lock()
			defer server.limiter.mu.Unlock()
			return server.limiter.freeCount == n
		}
	}
	eventually(t, "all accepted", hasSilentCount(4))
	if a := first.do(readyRequest); a.status != 200 || a.close {
		t.Errorf("with silent clients only: got %+v, want status 200 without a close", a)
	}
	if a := others[0].do(readyRequest); a.status != 200 || a.close {
		t.Errorf("with half of the connections in use: got %+v, want status 200 without a close", a)
	}
	if a := others[1].do(readyRequest); a.status != 200 || !a.close {
		t.Errorf("with three quarters in use: got %+v, want status 200 with a close", a)
	}
	wantEOF(t, "connection after its closing response", others[1])
	for _, c := range []*client{first, others[0], others[2]} {
		c.Close()
	}
	eventually(t, "all connections removed", func() bool {
		server.limiter.mu.Lock()
		defer server.limiter.mu.Unlock()
		return len(server.limiter.conns) == 0
	})
	if !hasSilentCount(0)() {
		t.Errorf("without connections: got a silent count of %d, want 0", server.limiter.freeCount)
	}
}

// A request that reaches a connection between its eviction and its close is not read: a connection that was read and
// closed without an answer has lost its request, while a reset shows the client that it can be sent again.
func TestRequestAfterEvictionIsNotRead(t *testing.T) {
	server, addr := newLimitedServer(t, 8)
	client := dial(t, addr)
	if a := client.do(readyRequest); a.status != 200 {
		t.Fatalf("before the eviction: got %+v, want status 200", a)
	}
	var evicted []*clientConn
	eventually(t, "the connection is evicted", func() bool {
		evicted = server.limiter.evictIdle(0, 0)
		return len(evicted) == 1
	})
	client.send(readyRequest)
	time.Sleep(50 * time.Millisecond) // the goroutine that reads from the connection has run
	evicted[0].Conn.Close()
	if _, err := client.br.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the request's connection ended with %v, want a reset", err)
	}
}

// A request that waits for its turn is answered although its memory is needed for others: one whose end is known to have
// been received is served, another is rejected.
func TestWaitingRequestIsAnsweredDespiteMemoryEviction(t *testing.T) {
	chunked := request("book", "chunked", "Content-Length", "", "Transfer-Encoding", "chunked", "body", "4\r\nslot\r\n0\r\n\r\n")
	for name, c := range map[string]struct {
		text       string
		wantStatus int
	}{
		"without a body": {request("check", "bare"), 200},
		"with a length":  {request("book", "length"), 200},
		"in chunks":      {chunked, 429},
	} {
		t.Run(name, func(t *testing.T) {
			app := newAppServer(t, respondWith(okAnswer))
			server, addr := newLimitedServer(t, 8, app.instance("a"))
			client := dial(t, addr)
			if a := client.do(readyRequest); a.status != 200 {
				t.Fatalf("before the eviction: got %+v, want status 200", a)
			}
			other := server.limiter.turns.newConn()
			other.await(time.Millisecond)
			t.Cleanup(other.end)
			client.send(c.text)
			var waiting *clientConn
			eventually(t, "the request is received", func() bool {
				server.limiter.mu.Lock()
				defer server.limiter.mu.Unlock()
				if len(server.limiter.conns) == 1 && server.limiter.conns[0].input.isHeadComplete {
					waiting = server.limiter.conns[0]
				}
				return waiting != nil
			})
			waiting.evictMemory()
			other.end()
			if a := client.read(); a.status != c.wantStatus {
				t.Errorf("got %+v, want status %d", a, c.wantStatus)
			}
		})
	}
}

// Without silent connections, the connection that has been idle for longest is evicted first, then one with an
// incomplete head; a connection with an active request never is. If all requests are active, the new connection is
// closed, because its client might otherwise wait in vain.
func TestEvictionOrder(t *testing.T) {
	hold := make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return respondWith(okAnswer)(c, r, body)
	})
	server, addr := newLimitedServer(t, 100, s.instance("a"), s.instance("b")) // so high that no response closes

	busy, incomplete, idle := dial(t, addr), dial(t, addr), dial(t, addr)
	busy.send(request("check", "t1"))
	eventually(t, "request forwarded", func() bool { return len(s.requests()) == 1 })
	incomplete.send("GET /check")
	eventually(t, "partial head", func() bool { return server.limiter.ageConns(stateReading, readingGrace) == 1 })
	if a := idle.do(readyRequest); a.status != 200 {
		t.Errorf("before the connection is idle: got %+v, want status 200", a)
	}
	eventually(t, "idle", func() bool { return server.limiter.ageConns(stateIdle, idleGrace) == 1 })
	server.limiter.mu.Lock()
	server.limiter.maxConns = 3
	server.limiter.mu.Unlock()
	second := dial(t, addr)
	second.send(request("check", "t2"))
	wantEOF(t, "idle connection", idle)
	third := dial(t, addr)
	third.send(request("check", "t3"))
	if a := incomplete.read(); a.status != 503 || !a.close {
		t.Errorf("connection with an incomplete head: got %+v, want status 503 with a close", a)
	}
	wantEOF(t, "connection with an incomplete head", incomplete)
	eventually(t, "all requests forwarded", func() bool { return len(s.requests()) == 3 })
	wantEOF(t, "new connection while all requests are active", dial(t, addr))
	if a := dial(t, addr).do(request("check", "refused")); a.status != 503 || !a.close {
		t.Errorf("request while all others are active: got %+v, want status 503 with a close", a)
	}
	close(hold)
	for i, c := range []*client{busy, second, third} {
		if a := c.read(); a.status != 200 {
			t.Errorf("request %d: got %+v, want status 200", i, a)
		}
	}
}

// newFullLimiter returns a limiter at its limit of two connections. sends is the client's end of the first connection;
// the third connection is not added.
func newFullLimiter(t *testing.T) (l *connectionLimiter, sends *client, first, second, third *clientConn) {
	t.Helper()
	l = newConnectionLimiter(2)
	sends, first = newClientConnPair(t, l)
	_, second = newClientConnPair(t, l)
	_, third = newClientConnPair(t, l)
	l.add(first)
	l.add(second)
	return l, sends, first, second, third
}

// A connection with a received but unread request does not count as silent: its goroutine may not have been scheduled
// yet.
func TestUnreadRequestIsNotSilent(t *testing.T) {
	l, sends, first, second, third := newFullLimiter(t)
	sends.send(readyRequest)
	eventually(t, "request received", first.hasUnreadData)
	if evicted := l.add(third); evicted != second {
		t.Errorf("add evicted %v, want the connection without a request", evicted)
	}
	if second.setState(stateActive) {
		t.Error("a request became active on an evicted connection")
	}
	buf := make([]byte, 10)
	if _, err := io.ReadFull(first, buf); err != nil {
		t.Error(err)
	}
}

// Of two slow requests the stalled one is evicted first, although the other one began earlier. If no other candidate is
// left, the slow one is evicted as well: a client that sends a trickle must not keep others out.
func TestStalledHeadIsEvictedFirst(t *testing.T) {
	l := newConnectionLimiter(2)
	slow, _ := newPipedConn(t, l)
	stalled, _ := newPipedConn(t, l)
	third, _ := newPipedConn(t, l)
	fourth, _ := newPipedConn(t, l)
	l.add(slow)
	l.add(stalled)
	slow.setState(stateReading)
	stalled.setState(stateReading)
	l.ageConns(stateReading, 3*readingGrace)
	slow.stateSince = slow.stateSince.Add(-time.Second)
	slow.setState(stateReading) // another piece was received
	if got := l.add(third); got != stalled {
		t.Error("add did not evict the stalled connection first")
	}
	third.setState(stateActive)
	if got := l.add(fourth); got != slow {
		t.Error("add did not evict the slow connection for a new client")
	}
}

// A connection with a slow head is not stalled if the rest of the head is in the socket.
func TestUnreadHeadIsNotEvicted(t *testing.T) {
	l, sends, first, second, third := newFullLimiter(t)
	first.setState(stateReading)
	second.setState(stateReading)
	l.ageConns(stateReading, time.Minute)
	l.mu.Lock()
	second.stateSince = second.stateSince.Add(time.Second) // the younger one, so that first would be evicted
	l.mu.Unlock()
	sends.send(readyRequest)
	eventually(t, "rest of the head received", first.hasNextRequest)
	if evicted := l.add(third); evicted != second {
		t.Errorf("add evicted %v, want the connection without unread data", evicted)
	}
}

// A request that was received completely is not evicted while its handler has not marked it as active yet: a process
// that is short of the processor closed such connections without an answer.
func TestReceivedRequestIsNotEvicted(t *testing.T) {
	for name, text := range map[string]string{
		"no body":      readyRequest,
		"with a body":  "POST /b HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
		"chunked body": "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, sends, first, second, third := newFullLimiter(t)
			sends.send(text)
			if _, err := io.ReadFull(first, make([]byte, len(text))); err != nil {
				t.Fatal(err)
			}
			first.takeHead()
			second.setState(stateReading)
			l.ageConns(stateReading, time.Minute)
			first.stateSince = first.stateSince.Add(-time.Minute) // the older one
			if evicted := l.add(third); evicted != second {
				t.Errorf("add evicted %v, want the connection without a complete request", evicted)
			}
		})
	}
}
