package benchmark

import (
	"net"
	"strconv"

	"mulleinmux/internal/httpwire"
)

// startServers starts servers that respond without delay, and returns their addresses.
func startServers() (addrs []string, err error) {
	body := `{"visit":"9b1f03aa5c7e2d41","slot":"2026-12-24T10:00:00+03:00","installers":2,"district":"Ilala"}`
	answer := []byte("HTTP/1.1 200 OK\r\n" +
		"Date: Tue, 01 Dec 2026 10:00:00 GMT\r\n" +
		"Content-Type: application/json\r\n" +
		"Endpoint-Load-Metrics: TEXT queue=0, util=0.30\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	load := []byte("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.30")
	for range serverCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, ln.Addr().String())
		go serveRequests(ln, answer, load)
	}
	return addrs, nil
}

// serveRequests accepts connections until ln is closed. It responds to health checks with load and to other requests
// with answer.
func serveRequests(ln net.Listener, answer, load []byte) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go answerRequests(c, answer, load)
	}
}

// answerRequests responds to the requests of one connection until it is closed.
func answerRequests(c net.Conn, answer, load []byte) {
	defer c.Close()
	r := httpwire.NewReader(c)
	var h httpwire.Head
	var body []byte
	for r.ReadRequest(&h) == nil {
		if h.ContentLength > 0 {
			body = append(body[:0], make([]byte, h.ContentLength)...)
			if r.ReadBody(body) != nil {
				return
			}
		}
		text := answer
		if h.Target == "/stats" {
			text = load
		}
		if _, err := c.Write(text); err != nil {
			return
		}
	}
}
