//go:build review

package rig2

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects a client.
func Dial(addr string) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{nc, bufio.NewReader(nc)}, nil
}

// Request is a client's request.
type Request struct {
	Method, Target, Licensee, Trace, Key string
	Body                                 string
	ExpiresIn                            time.Duration
}

// NewID returns a new random ID.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Send writes a request.
func (c *Conn) Send(r Request) error {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: booking.example.org\r\nX-Licensee: %s\r\nX-Trace-Id: %s\r\nX-Expires-In: %.3f\r\n",
		r.Method, r.Target, r.Licensee, r.Trace, r.ExpiresIn.Seconds())
	if r.Key != "" {
		text += "Idempotency-Key: " + r.Key + "\r\n"
	}
	if r.Body != "" || r.Method != "GET" {
		text += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(r.Body))
	}
	_, err := io.WriteString(c, text+"\r\n"+r.Body)
	return err
}

// Response is a whole answer.
type Response struct {
	Status  int
	Body    string
	Close   bool
	Version string // X-Mulleinmux-Version
}

// Receive reads the answer, until a time.
func (c *Conn) Receive(until time.Time) (Response, error) {
	c.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, err
	}
	return Response{response.StatusCode, string(body), response.Close, response.Header.Get("X-Mulleinmux-Version")}, nil
}
