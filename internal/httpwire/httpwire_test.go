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

const good = "POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nX-A:  v \r\ncontent-length: 3\r\nConnection: Keep-Alive , close\r\n\r\nabcGET"

// A head is read the same however it comes in, and no byte behind the message is taken.
func TestRequest(t *testing.T) {
	for name, src := range map[string]io.Reader{"whole": strings.NewReader(good), "in bytes": iotest.OneByteReader(strings.NewReader(good)),
		"in halves": iotest.HalfReader(strings.NewReader(good))} {
		r := NewReader(src)
		var h Head
		if err := r.Request(&h); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		body := make([]byte, h.Length)
		if err := r.Body(body); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if v, n := h.Values("x-a"); h.Method != "POST" || h.Target != "/a?b=%20" || v != "v" || n != 1 || string(body) != "abc" || !h.Close || h.Nominated || h.Chunked {
			t.Errorf("%s: %+v %q", name, h, body)
		}
		if rest, _ := io.ReadAll(io.MultiReader(bytes.NewReader(r.buf[r.r:r.w]), r.src)); string(rest) != "GET" {
			t.Errorf("%s: left %q", name, rest)
		}
	}
}

func TestBadHeads(t *testing.T) {
	for text, want := range map[string]error{
		"GET / HTTP/1.1\r\n\r\n":                                                                        ErrMalformed, // no Host
		"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n":                                                  ErrMalformed,
		"GET  / HTTP/1.1\r\nHost: a\r\n\r\n":                                                            ErrMalformed,
		"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n":                                                          ErrMalformed,
		"GET /\x80 HTTP/1.1\r\nHost: a\r\n\r\n":                                                         ErrMalformed,
		"G(T / HTTP/1.1\r\nHost: a\r\n\r\n":                                                             ErrMalformed,
		"GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n":                                                ErrMalformed,
		"GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n":                                                  ErrMalformed,
		"GET / HTTP/1.1\r\nHost: a\r\nX : a\r\n\r\n":                                                    ErrMalformed,
		"GET / HTTP/1.1\r\nHost: a\r\n: a\r\n\r\n":                                                      ErrMalformed,
		"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n":                                                  ErrMalformed,
		"GET / HTTP/2.0\r\nHost: a\r\n\r\n":                                                             ErrVersion,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n":                   ErrLength,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n":                                     ErrLength,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n":                                       ErrLength,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999999999\r\n\r\n":                         ErrLength,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n":                                          ErrLength,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n":          ErrLength,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n":                              ErrCoding,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": ErrCoding,
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", maxFields) + "\r\n":                ErrTooLarge,
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", MaxHead) + "\r\n\r\n":                  ErrTooLarge,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 4*MaxHead):                                        ErrTooLarge,
		"GET / HT": io.ErrUnexpectedEOF,
		"":         io.EOF,
	} {
		var h Head
		if err := NewReader(strings.NewReader(text)).Request(&h); !errors.Is(err, want) {
			t.Errorf("%.80q: %v, want %v", text, err, want)
		}
	}
}

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
	if h, body, err = read("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n03\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n"); err != nil || string(body) != "abcd" || h.Status != 200 {
		t.Errorf("%+v %q %v", h, body, err)
	}
	if h, _, err = read("HTTP/1.0 404 Not Found\r\n\r\n"); err != nil || !h.Close || h.Reason != "Not Found" {
		t.Errorf("%+v %v", h, err)
	}
	for _, text := range []string{"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n00000003\r\nabc\r\n0\r\n\r\n"} {
		if h, body, err := read(text); err == nil {
			t.Errorf("%q: %+v %q", text, h, body)
		}
	}
}

// Whatever is read here as a request, net/http reads as the same one.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET /%zz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var h Head
		r := NewReader(bytes.NewReader(text))
		if r.Request(&h) != nil || !strings.HasPrefix(h.Target, "/") {
			return
		}
		other, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return // stricter there is fine: it goes no further
		}
		if other.Method != h.Method || other.RequestURI != h.Target || other.ContentLength != h.Length && !(h.Length < 0 && !h.Chunked && other.ContentLength == 0) ||
			h.Chunked != (len(other.TransferEncoding) > 0) {
			t.Fatalf("%q: read as %+v here and %s %s of %d bytes there", text, h, other.Method, other.RequestURI, other.ContentLength)
		}
		for _, fl := range h.Fields {
			if v, n := h.Values(fl.Name); len(other.Header.Values(fl.Name)) > 0 && (other.Header.Get(fl.Name) != v || len(other.Header.Values(fl.Name)) != n) {
				t.Fatalf("%q: %s is %q (%d) here and %q there", text, fl.Name, v, n, other.Header.Values(fl.Name))
			}
		}
	})
}

// Whatever is read here as a chunked body, net/http reads as the same one.
func FuzzChunked(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("a;x\r\n0123456789\r\n0\r\nA: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := NewReader(bytes.NewReader(text)).Chunked(1 << 16)
		if err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(text))), nil)
		if err != nil {
			t.Fatal(err)
		}
		other, err := io.ReadAll(resp.Body)
		if err == nil && !bytes.Equal(body, other) {
			t.Fatalf("%q: %q here and %q there", text, body, other)
		}
	})
}
