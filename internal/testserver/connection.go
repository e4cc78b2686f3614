package testserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Response is a response that a client has read completely.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Close  bool // the server closes the connection
}

// DialClient connects a client to addr. Reads and writes on the connection fail once timeout has passed.
func DialClient(addr string, timeout time.Duration) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	conn.SetDeadline(time.Now().Add(timeout))
	return conn, bufio.NewReader(conn), nil
}

// ReadResponse reads the response to a request with the given method. An empty method means GET.
func ReadResponse(reader *bufio.Reader, method string) (Response, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return Response{}, fmt.Errorf("testserver: reading response: %w", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, fmt.Errorf("testserver: reading response body: %w", err)
	}
	return Response{response.StatusCode, response.Header, string(body), response.Close}, nil
}

// ServeListener accepts connections until the listener is closed, and serves each as ServeRequests does, beside the
// others.
func ServeListener(listener net.Listener, serve func(conn net.Conn, r *http.Request) bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go ServeRequests(conn, func(r *http.Request, _ []byte) bool { return serve(conn, r) })
	}
}

// ServeRequests reads requests from a connection and passes each, with its whole body, to serve, until serve returns
// false or the connection ends. It closes the connection.
func ServeRequests(conn net.Conn, serve func(r *http.Request, body []byte) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !serve(r, body) {
			return
		}
	}
}

// errNotStopped is the error of something that still runs when the timeout after its stop has passed.
var errNotStopped = errors.New("testserver: did not end in time after it was stopped")

// AwaitEnd waits for the result of something that was stopped and returns it, or an error after timeout.
func AwaitEnd(done <-chan error, timeout time.Duration) error {
	select {
	case err := <-done:
		return err
	case <-time.After(timeout):
		return errNotStopped
	}
}
