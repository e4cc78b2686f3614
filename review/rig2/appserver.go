//go:build review

package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/testserver"
)

// Attempt is a request that has come whole to an app server.
type Attempt struct {
	Server string
	Trace  string
	Key    string
	Method string
	Path   string
	At     time.Time // when its last byte had come
	Number int       // attempts with this trace, at all servers that share the Counter, this one included
}

// Answer is what an app server does with an attempt.
type Answer struct {
	After  time.Duration // work
	Status int
	Body   string

	// CopyAfter, if above 0, is when a second copy of the answer follows, unless anything else waits on the connection
	// by then.
	CopyAfter time.Duration
	Silent    bool // no answer; the connection stays open

	// Pieces, if above 1, is the number of pieces in which the answer is written, with Pause between them. OnWritten is
	// told whether all of it was written, or nil.
	Pieces    int
	Pause     time.Duration
	OnWritten func(isWhole bool)
}

// AppServer is a stand-in for a booking server.
type AppServer struct {
	ID       string
	Addr     string
	listener net.Listener
	handle   func(Attempt) Answer
	counter  *Counter
	Copies   atomic.Int64 // second copies sent
}

// Counter counts the attempts of each trace.
type Counter struct {
	mu     sync.Mutex
	byName map[string]int
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{byName: map[string]int{}} }

func (c *Counter) next(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name]++
	return c.byName[name]
}

// NewAppServer starts an app server. handle decides what it answers.
func NewAppServer(id string, counter *Counter, handle func(Attempt) Answer) (*AppServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &AppServer{ID: id, Addr: listener.Addr().String(), listener: listener, handle: handle, counter: counter}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Close stops the listener.
func (s *AppServer) Close() { s.listener.Close() }

// Entry is the server's entry in discovery's list.
func (s *AppServer) Entry(zone, addr string) testserver.Entry {
	return testserver.Entry{InstanceID: s.ID, HostPort: addr, Zone: zone, MachineType: "std-2core", Lifecycle: "up", Weight: 1}
}

// appConn is a connection to an app server. pending counts the bytes of the next request that have come already.
type appConn struct {
	net.Conn
	mu      sync.Mutex
	reader  *bufio.Reader
	started bool // a byte of the next request has come
}

func (s *AppServer) serve(conn net.Conn) {
	defer conn.Close()
	c := &appConn{Conn: conn, reader: bufio.NewReader(conn)}
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		c.mu.Lock()
		c.started = true
		c.mu.Unlock()
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		a := Attempt{
			Server: s.ID, Trace: request.Header.Get("X-Trace-Id"), Key: request.Header.Get("Idempotency-Key"),
			Method: request.Method, Path: request.URL.Path, At: time.Now(),
		}
		if request.URL.Path == "/stats" || request.URL.Path == "/health/live" {
			io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			c.rest()
			continue
		}
		a.Number = s.counter.next(a.Trace)
		answer := s.handle(a)
		if answer.Silent {
			io.Copy(io.Discard, c.reader)
			return
		}
		time.Sleep(answer.After)
		text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
			answer.Status, http.StatusText(answer.Status), len(answer.Body), answer.Body)
		c.rest()
		err = writePieces(conn, text, answer)
		if answer.OnWritten != nil {
			answer.OnWritten(err == nil)
		}
		if err != nil {
			return
		}
		if answer.CopyAfter > 0 {
			time.AfterFunc(answer.CopyAfter, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if !c.started && c.reader.Buffered() == 0 {
					s.Copies.Add(1)
					io.WriteString(conn, text)
				}
			})
		}
	}
}

// writePieces writes an answer in its pieces.
func writePieces(conn net.Conn, text string, answer Answer) error {
	pieces := max(answer.Pieces, 1)
	for i := range pieces {
		if i > 0 {
			time.Sleep(answer.Pause)
		}
		if _, err := io.WriteString(conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// rest records that no request is open on the connection.
func (c *appConn) rest() {
	c.mu.Lock()
	c.started = false
	c.mu.Unlock()
}

// Delay starts a proxy in front of an address that delays the bytes of both directions, as the way between two halls
// does. It returns its address.
func Delay(target string, oneWay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far, oneWay)
			go carry(far, near, oneWay)
		}
	}()
	return listener.Addr().String(), nil
}

// carry copies bytes with a delay until the source ends.
func carry(from, to net.Conn, oneWay time.Duration) {
	type piece struct {
		due   time.Time
		bytes []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.bytes); err != nil {
				from.Close()
			}
		}
		to.Close()
	}()
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{time.Now().Add(oneWay), buffer[:n]}
		}
		if err != nil {
			close(pieces)
			return
		}
	}
}

// Way is a proxy in front of an address that can be cut: connections are silent then, and end when the way is back.
type Way struct {
	Addr string

	mu    sync.Mutex
	isCut bool
	open  map[net.Conn]bool
}

// NewWay starts a way to an address.
func NewWay(target string) (*Way, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Way{Addr: listener.Addr().String(), open: map[net.Conn]bool{}}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			w.mu.Lock()
			w.open[near], w.open[far] = true, true
			isCut := w.isCut
			w.mu.Unlock()
			if isCut {
				continue // silent until the way is back, when it is closed
			}
			go w.carry(near, far)
			go w.carry(far, near)
		}
	}()
	return w, nil
}

// carry copies bytes until the source ends. While the way is cut it holds them.
func (w *Way) carry(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		w.mu.Lock()
		isCut := w.isCut
		w.mu.Unlock()
		if isCut {
			return
		}
		if n > 0 {
			to.Write(buffer[:n])
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// Cut makes the way silent: open connections stay open and carry nothing, and new ones stay silent too.
func (w *Way) Cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = true
}

// Heal ends the cut and closes the connections that were silent.
func (w *Way) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = false
	for conn := range w.open {
		conn.Close()
	}
	clear(w.open)
}
