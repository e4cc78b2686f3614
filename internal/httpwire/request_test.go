package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// goodRequest is a valid request, followed by the first bytes of another.
const goodRequest = "POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nX-A:  v \r\n" +
	"content-length: 3\r\nConnection: Keep-Alive , close\r\n\r\nabcGET"

// TestRequest checks that a request is parsed the same however its bytes are split over reads, and that no byte after
// the message is consumed.
func TestRequest(t *testing.T) {
	for name, src := range map[string]io.Reader{
		"whole":     strings.NewReader(goodRequest),
		"in bytes":  iotest.OneByteReader(strings.NewReader(goodRequest)),
		"in halves": iotest.HalfReader(strings.NewReader(goodRequest)),
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReader(src)
			var h Head
			if err := r.ReadRequest(&h); err != nil {
				t.Fatal(err)
			}
			body := make([]byte, h.ContentLength)
			if err := r.ReadBody(body); err != nil {
				t.Fatal(err)
			}
			if v, n := h.Values("x-a"); h.Method != "POST" || h.Target != "/a?b=%20" || v != "v" || n != 1 ||
				string(body) != "abc" || !h.Close || h.NamesConnectionFields || h.Chunked {
				t.Errorf("got head %+v, body %q; want those of goodRequest", h, body)
			}
			rest, _ := io.ReadAll(io.MultiReader(bytes.NewReader(r.buf[r.start:r.end]), r.src))
			if string(rest) != "GET" {
				t.Errorf("bytes after the message: got %q, want GET", rest)
			}
		})
	}
}

// rejectedHeads are ambiguous or malformed heads with the expected errors.
var rejectedHeads = []struct {
	name, text string
	want       error
}{
	{"no host", "GET / HTTP/1.1\r\n\r\n", ErrMalformed},
	{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", ErrMalformed},
	{"two spaces after the method", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", ErrMalformed},
	{"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", ErrMalformed},
	{"byte beyond ASCII in the target", "GET /\x80 HTTP/1.1\r\nHost: a\r\n\r\n", ErrMalformed},
	{"invalid method", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", ErrMalformed},
	{"NUL in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", ErrMalformed},
	{"bare carriage return in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", ErrMalformed},
	{"space before the colon", "GET / HTTP/1.1\r\nHost: a\r\nX : a\r\n\r\n", ErrMalformed},
	{"empty name", "GET / HTTP/1.1\r\nHost: a\r\n: a\r\n\r\n", ErrMalformed},
	{"folded field", "GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", ErrMalformed},
	{"HTTP/2", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", ErrVersion},
	{"two lengths", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", ErrLength},
	{"list of lengths", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", ErrLength},
	{"negative length", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", ErrLength},
	{"length beyond a petabyte", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999999999\r\n\r\n", ErrLength},
	{"empty length", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", ErrLength},
	{"length and chunked",
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", ErrLength},
	{"coding identity", "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n", ErrCoding},
	{"chunked twice",
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrCoding},
	{"too many fields", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", maxFields) + "\r\n", ErrTooLarge},
	{"long field", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", MaxHead) + "\r\n\r\n", ErrTooLarge},
	{"head without end", "GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 4*MaxHead), ErrTooLarge},
	{"cut short", "GET / HT", io.ErrUnexpectedEOF},
	{"nothing", "", io.EOF},
}

// TestRequestRejected checks that an ambiguous or malformed head is rejected with the expected error.
func TestRequestRejected(t *testing.T) {
	for _, c := range rejectedHeads {
		t.Run(c.name, func(t *testing.T) {
			var h Head
			if err := NewReader(strings.NewReader(c.text)).ReadRequest(&h); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
}

// FuzzRequest checks that net/http parses every request that ReadRequest accepts the same way, or rejects it.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(goodRequest))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET /%zz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var h Head
		r := NewReader(bytes.NewReader(text))
		if r.ReadRequest(&h) != nil || !strings.HasPrefix(h.Target, "/") {
			return
		}
		other, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return // net/http may be stricter: a server then rejects the request
		}
		hasNoBody := h.ContentLength < 0 && !h.Chunked && other.ContentLength == 0
		if other.Method != h.Method || other.RequestURI != h.Target || other.ContentLength != h.ContentLength && !hasNoBody ||
			h.Chunked != (len(other.TransferEncoding) > 0) {
			t.Fatalf("%q: head from ReadRequest is %+v, from net/http %s %s with Content-Length %d",
				text, h, other.Method, other.RequestURI, other.ContentLength)
		}
		for _, fl := range h.Fields {
			v, n := h.Values(fl.Name)
			values := other.Header.Values(fl.Name)
			if len(values) > 0 && (values[0] != v || len(values) != n) {
				t.Fatalf("%q: field %s from ReadRequest is %q (%d lines), from net/http %q", text, fl.Name, v, n, values)
			}
		}
	})
}
