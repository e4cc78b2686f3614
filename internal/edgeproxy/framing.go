package edgeproxy

import (
	"bytes"
	"net/http"
)

// checkFraming rejects a request that can be read in two ways. One with a Transfer-Encoding as well as a
// Content-Length can hide another one in its body; net/http lets the first win and hides the second, and ignores
// the first below HTTP/1.1. So the head is looked at as received.
func checkFraming(r *http.Request, head []byte) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badRequestError{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	if len(r.TransferEncoding) != 1 || r.TransferEncoding[0] != "chunked" || !isPlainlyChunked(r, head) {
		return &badRequestError{
			status: http.StatusLengthRequired,
			text:   "Transfer-Encoding: one \"chunked\" without a Content-Length is wanted",
		}
	}
	return nil
}

// isPlainlyChunked tells whether a head is that of the request and has one Transfer-Encoding and no Content-Length.
// What stands behind its empty line is body, whatever it looks like.
func isPlainlyChunked(r *http.Request, head []byte) bool {
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

// isHeadOf tells whether a head is that of the request.
func isHeadOf(r *http.Request, head []byte) bool {
	return bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" "))
}

// pipelinedBytes returns what was received in one piece with a request, whose head is given as received, and is
// part of the next one.
func pipelinedBytes(r *http.Request, head []byte) []byte {
	end := bytes.Index(head, []byte("\r\n\r\n")) + 4
	if end < 4 || r.ContentLength < 0 || int64(len(head)-end) <= r.ContentLength || !isHeadOf(r, head) {
		return nil
	}
	return head[end+int(r.ContentLength):]
}
