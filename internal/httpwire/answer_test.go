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

// TestAnswers checks heads and chunked bodies of answers, good and bad.
func TestAnswers(t *testing.T) {
	read := func(text string) (Head, []byte, error) {
		var h Head
		r := NewReader(iotest.HalfReader(strings.NewReader(text)))
		if err := r.Answer(&h); err != nil {
			return h, nil, err
		}
		if h.Chunked {
			body, err := r.Chunked(10)
			return h, body, err
		}
		return h, nil, nil
	}
	h, body, err := read("HTTP/1.1 200 OK then\r\nTransfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\nA  \r\n")
	if err == nil {
		t.Errorf("a chunk over the most: %v %q", h, body)
	}
	h, body, err = read("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"03\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n")
	if err != nil || string(body) != "abcd" || h.Status != 200 {
		t.Errorf("%+v %q %v", h, body, err)
	}
	if h, _, err = read("HTTP/1.0 404 Not Found\r\n\r\n"); err != nil || !h.Close || h.Reason != "Not Found" {
		t.Errorf("%+v %v", h, err)
	}
	for _, text := range []string{
		"HTTP/1.1 20 OK\r\n\r\n",
		"HTTP/1.1 2000 OK\r\n\r\n",
		"HTTP/2 200 OK\r\n\r\n",
		"HTTP/1.1 099 OK\r\n\r\n",
		"HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n00000003\r\nabc\r\n0\r\n\r\n",
	} {
		if h, body, err := read(text); err == nil {
			t.Errorf("%q: %+v %q", text, h, body)
		}
	}
}

// FuzzChunked checks that whatever is read here as a chunked body, net/http reads as the same one.
func FuzzChunked(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("a;x\r\n0123456789\r\n0\r\nA: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := NewReader(bytes.NewReader(text)).Chunked(1 << 16)
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
			t.Fatalf("%q: %q here and %q there", text, body, other)
		}
	})
}
