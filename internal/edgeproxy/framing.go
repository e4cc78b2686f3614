package edgeproxy

import (
	"bytes"
	"net/http"
)

// checkFraming rejects a request whose framing is ambiguous. A request with both Transfer-Encoding and Content-Length
// can smuggle another request in its body: net/http uses the Transfer-Encoding and drops the Content-Length, and below
// HTTP/1.1 it ignores the Transfer-Encoding. So the head is checked as it was received.
func checkFraming(r *http.Request, head []byte) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badRequestError{status: http.StatusHTTPVersionNotSupported, text: "only HTTP/1.1 is supported"}
	}
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	if len(r.TransferEncoding) != 1 || r.TransferEncoding[0] != "chunked" || !isUnambiguouslyChunked(r, head) {
		return &badRequestError{
			status: http.StatusLengthRequired,
			text:   "Transfer-Encoding: must be a single \"chunked\", without a Content-Length",
		}
	}
	return nil
}

// isUnambiguouslyChunked reports whether head belongs to the request and has exactly one Transfer-Encoding and no
// Content-Length. Lines after the empty line belong to the body, even if they look like headers.
func isUnambiguouslyChunked(r *http.Request, head []byte) bool {
	if !isHeadOf(r, head) {
		return false
	}
	encodings := 0
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			return false
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	return encodings == 1
}

// isHeadOf reports whether head belongs to the request.
func isHeadOf(r *http.Request, head []byte) bool {
	return bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" "))
}
