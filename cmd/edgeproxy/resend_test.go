package main

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// The clients of the abuse tests tell a request that was read, and is lost if its connection is closed, from one that
// was not.
func TestMayResend(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	for name, c := range map[string]struct {
		closesFirst bool // before the request is sent
		reads       bool // the request, before the close
		after       time.Duration
		want        bool
	}{
		"closed before the request":         {closesFirst: true, want: true},
		"the same, read late":               {closesFirst: true, after: 10 * maxUnreadCloseTime, want: true},
		"reset over the request":            {want: true},
		"reset over the request, late":      {after: 2 * maxUnreadCloseTime},
		"closed after the request was read": {reads: true},
		"closed after it was read, late":    {reads: true, after: 2 * maxUnreadCloseTime},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			server, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if c.closesFirst {
				server.Close()
			}
			io.WriteString(client, request)
			if c.reads {
				if _, err := io.ReadFull(server, make([]byte, len(request))); err != nil {
					t.Fatal(err)
				}
			}
			server.Close()
			_, err = bufio.NewReader(client).Peek(1)
			if got := mayResend(client, err, c.after); got != c.want {
				t.Errorf("error %v: may be sent again %v, want %v", err, got, c.want)
			}
		})
	}
}
