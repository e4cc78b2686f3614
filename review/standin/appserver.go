//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/graceful"
)

// Call is a request that an app server has received completely.
type Call struct {
	Server     string
	Connection int // number of the connection on which it came
	Method     string
	Target     string
	Trace, Key string
	ExpiresIn  string
	Body       []byte
}

// Reply is what an app server does with a call.
type Reply struct {
	After     time.Duration // time of the work
	Status    int
	Body      string
	NoAnswer  bool          // the connection stays open and silent
	CopyAfter time.Duration // above 0: the answer is sent once more, this long after the first copy
	CopyIdle  bool          // only if no byte of a further request has come on the connection by then
}

// AppServer is an app server as PROTOCOL describes it: HTTP/1.1, one request at a time on a connection.
type AppServer struct {
	ID     string
	handle func(Call) Reply

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	count    int
}

// NewAppServer starts an app server on a free port.
func NewAppServer(id string, handle func(Call) Reply) (*AppServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &AppServer{ID: id, handle: handle, listener: ln, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *AppServer) Addr() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *AppServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *AppServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.count++
		number := s.count
		s.mu.Unlock()
		go s.serve(conn, number)
	}
}

// serve answers the requests of a connection one after the other.
func (s *AppServer) serve(conn net.Conn, number int) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	var writing sync.Mutex    // the late copies are written by other goroutines
	var requests atomic.Int64 // of which the first byte has been read
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		requests.Add(1)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/stats" || r.URL.Path == "/health/live" {
			writing.Lock()
			io.WriteString(conn, answerText(http.StatusOK, "util=0.40, queue=0"))
			writing.Unlock()
			continue
		}
		reply := s.handle(Call{
			Server: s.ID, Connection: number, Method: r.Method, Target: r.RequestURI,
			Trace: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"),
			ExpiresIn: r.Header.Get("X-Expires-In"), Body: body,
		})
		time.Sleep(reply.After)
		if reply.NoAnswer {
			io.Copy(io.Discard, reader) // until the other side closes the connection
			return
		}
		text := answerText(reply.Status, reply.Body)
		writing.Lock()
		_, err = io.WriteString(conn, text)
		writing.Unlock()
		if err != nil {
			return
		}
		if reply.CopyAfter > 0 {
			answered := requests.Load()
			time.AfterFunc(reply.CopyAfter, func() {
				if reply.CopyIdle && (requests.Load() != answered || graceful.HasUnreadData(conn)) {
					return
				}
				writing.Lock()
				defer writing.Unlock()
				io.WriteString(conn, text)
			})
		}
	}
}

// answerText returns an answer as it is written.
func answerText(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
}
