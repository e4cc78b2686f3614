package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// readAnswer reads the head of a response and, if the body is chunked, a body of at most 10 bytes.
func readAnswer(text string) (Head, []byte, error) {
	var h Head
	r := NewReader(iotest.HalfReader(strings.NewReader(text)))
	if err := r.ReadResponse(&h); err != nil || !h.Chunked {
		return h, nil, err
	}
	body, err := r.ReadChunkedBody(10)
	return h, body, err
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestAnswer checks that heads and chunked bodies of responses are read.
func TestAnswer(t *testing.T) {
	t.Run("chunked, with a trailer", func(t *testing.T) {
		h, body, err := readAnswer("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"03\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n")
		if err != nil || string(body) != "abcd" || h.Status != 200 {
			t.Errorf("got head %+v, body %q, error %v; want status 200 with body abcd", h, body, err)
		}
	})
	t.Run("HTTP/1.0", func(t *testing.T) {
		h, _, err := readAnswer("HTTP/1.0 404 Not Found\r\n\r\n")
		if err != nil || !h.Close || h.Reason != "Not Found" {
			t.Errorf("got head %+v, error %v; want reason Not Found and Close", h, err)
		}
	})
}

// TestAnswerRejected checks that a malformed or oversized response is rejected.
func TestAnswerRejected(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"body over the limit",
			"HTTP/1.1 200 OK then\r\nTransfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\nA  \r\n"},
		{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n"},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n"},
		{"HTTP/2", "HTTP/2 200 OK\r\n\r\n"},
		{"status below 100", "HTTP/1.1 099 OK\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\n\n"},
		{"negative chunk size", chunkedHead + "-3\r\nabc\r\n0\r\n\r\n"},
		{"chunk longer than its size", chunkedHead + "3\r\nabcd\r\n0\r\n\r\n"},
		{"bare line feeds between chunks", chunkedHead + "3\nabc\n0\n\n"},
		{"chunk cut short", chunkedHead + "3\r\nabc"},
		{"chunk size of eight digits", chunkedHead + "00000003\r\nabc\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if h, body, err := readAnswer(c.text); err == nil {
				t.Errorf("got head %+v, body %q without an error, want an error", h, body)
			}
		})
	}
}

// FuzzChunked checks that net/http reads the same body from every chunked body that ReadChunkedBody accepts.
func FuzzChunked(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("a;x\r\n0123456789\r\n0\r\nA: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := NewReader(bytes.NewReader(text)).ReadChunkedBody(1 << 16)
		if err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		message := io.MultiReader(strings.NewReader(head), bytes.NewReader(text))
		resp, err := http.ReadResponse(bufio.NewReader(message), nil)
		if err != nil {
			t.Fatal(err)
		}
		other, err := io.ReadAll(resp.Body)
		if err == nil && !bytes.Equal(body, other) {
			t.Fatalf("%q: body from ReadChunkedBody is %q, from net/http %q", text, body, other)
		}
	})
}
