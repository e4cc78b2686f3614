package benchmark

import (
	"net"
	"strconv"

	"mulleinmux/internal/httpwire"
)

// halls starts servers that answer at once.
func halls() (addrs []string, err error) {
	body := `{"visit":"9b1f03aa5c7e2d41","slot":"2026-12-24T10:00:00+03:00","installers":2,"district":"Ilala"}`
	answer := []byte("HTTP/1.1 200 OK\r\nDate: Tue, 01 Dec 2026 10:00:00 GMT\r\nContent-Type: application/json\r\nEndpoint-Load-Metrics: TEXT queue=0, util=0.30\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	load := []byte("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.30")
	for range serverCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					r := httpwire.NewReader(c)
					var h httpwire.Head
					var b []byte
					for r.Request(&h) == nil {
						if h.Length > 0 {
							b = append(b[:0], make([]byte, h.Length)...)
							if r.Body(b) != nil {
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
				}()
			}
		}()
	}
	return addrs, nil
}
