// Package httpboundary finds where HTTP/1.1 messages end in the bytes of a connection, without parsing or validating
// them: a host keeps a head until it is complete, and gives the parser no more than one message at a time.
package httpboundary

import (
	"bytes"
	"strconv"
)

// HeadScanner finds the end of one head in the bytes of a connection, without parsing it. The zero value is ready for
// the head of a request.
type HeadScanner struct {
	IsResponse bool // the head is that of a response
	HeadBytes  int  // bytes of the head so far
	FieldLines int  // lines of the head so far, without the first line
	IsBadHead  bool // a line of the head is malformed: the head counts as complete

	hasStartLine bool
	lineStart    int // where the current line begins in the bytes passed to ScanHead
	blankLines   int // before the first line
}

// maxBlankLines is the number of blank lines that are skipped before the first line of a head.
const maxBlankLines = 2

// ScanHead continues to look for the end of the head. received is all that was received since the start of the message;
// it may grow between calls. ScanHead reports whether the head is complete: HeadBytes is then its size. A head with a
// malformed line counts as complete with all that was received, because it can be rejected.
func (s *HeadScanner) ScanHead(received []byte) (isComplete bool) {
	for !s.IsBadHead {
		end := bytes.IndexByte(received[s.lineStart:], '\n')
		if end < 0 {
			s.HeadBytes = len(received)
			return false
		}
		line := bytes.TrimSuffix(received[s.lineStart:s.lineStart+end], []byte("\r"))
		s.lineStart += end + 1
		if s.addLine(line) {
			s.HeadBytes = s.lineStart
			return true
		}
	}
	s.HeadBytes = len(received)
	return true
}

// addLine adds a line of the head and reports whether it ends the head.
func (s *HeadScanner) addLine(line []byte) bool {
	switch {
	case !s.hasStartLine && len(line) == 0:
		s.blankLines++
		s.IsBadHead = s.blankLines > maxBlankLines
	case !s.hasStartLine:
		s.hasStartLine = true
		s.IsBadHead = s.IsResponse && !bytes.HasPrefix(line, []byte("HTTP/")) || !s.IsResponse && !isRequestLine(line)
	case len(line) == 0:
		return true
	default:
		s.FieldLines++
		s.IsBadHead = !isFieldLine(line)
	}
	return false
}

// RequestBoundary finds where the head and the body of one request end in the bytes of a connection. It does not
// validate the request: whoever parses it does. Where the framing is ambiguous or malformed the end is unknown, and the
// parser must close the connection after the request. The zero value is ready for a request.
type RequestBoundary struct {
	HeadScanner
	BodyBytes int64 // bytes of the body so far, with the lines of its chunks and its trailer
	Chunks    int   // of the body so far

	part         requestPart
	remaining    int64  // bytes of the body or chunk that follow
	sizeLine     []byte // the beginning of the line with a chunk's size
	trailerBytes int    // bytes of the trailer so far
	trailerLine  int    // bytes of its current line
	hasTrailerCR bool   // the CR of the blank line at its end was received
}

// requestPart is the part of a request to which the next byte belongs.
type requestPart int

const (
	partHead      requestPart = iota
	partBody                  // of known length
	partChunkSize             // the line with a chunk's size
	partChunk                 // a chunk's data
	partChunkEnd              // the end of line after a chunk's data
	partTrailer               // after the last chunk
	partEnded
	partUnknown // no end can be found
)

// maxSizeBytes is how much of the line with a chunk's size is kept; extensions behind that are skipped.
const maxSizeBytes = 64

// maxTrailerBytes is the length of the longest trailer.
const maxTrailerBytes = 4 << 10

// isRequestLine reports whether a line has the form of a request line.
func isRequestLine(line []byte) bool {
	_, rest, hasTarget := bytes.Cut(line, []byte(" "))
	_, version, hasVersion := bytes.Cut(rest, []byte(" "))
	return hasTarget && hasVersion && bytes.HasPrefix(version, []byte("HTTP/"))
}

// isFieldLine reports whether a line has the form of a field, or continues one.
func isFieldLine(line []byte) bool {
	return bytes.IndexByte(line, ':') > 0 || line[0] == ' ' || line[0] == '\t'
}

// BeginBody determines from the complete head what follows it.
func (b *RequestBoundary) BeginBody(head []byte) {
	length, isChunked, isKnown := bodyFraming(head)
	switch {
	case b.IsBadHead || !isKnown:
		b.part = partUnknown
	case isChunked:
		b.part = partChunkSize
	case length > 0:
		b.part, b.remaining = partBody, length
	default:
		b.part = partEnded
	}
}

// bodyFraming returns the framing that the fields of a head declare. isKnown is false if they are ambiguous.
func bodyFraming(head []byte) (length int64, isChunked, isKnown bool) {
	lengths := 0
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			parsed, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || lengths > 0 && length != int64(parsed) {
				return 0, false, false
			}
			lengths++
			length = int64(parsed)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if isChunked || !bytes.EqualFold(value, []byte("chunked")) {
				return 0, false, false
			}
			isChunked = true
		}
	}
	return length, isChunked, !isChunked || lengths == 0
}

// ScanBody returns how many of the bytes that follow belong to the request's body. If the end is unknown all do. The
// fields of a trailer are removed: ScanBody moves the other bytes to the front of p, and returns their number in kept.
func (b *RequestBoundary) ScanBody(p []byte) (scanned, kept int) {
	for scanned < len(p) {
		n, isKept := b.scanPart(p[scanned:])
		if n == 0 {
			break
		}
		if isKept {
			kept += copy(p[kept:], p[scanned:scanned+n])
		}
		scanned += n
	}
	b.BodyBytes += int64(scanned)
	return scanned, kept
}

// scanPart consumes the bytes at the front of p that belong to one part of the body, and reports whether they are kept.
// It returns 0 at the end of the request.
func (b *RequestBoundary) scanPart(p []byte) (n int, isKept bool) {
	switch b.part {
	case partBody, partChunk:
		return b.skip(len(p)), true
	case partChunkSize, partChunkEnd:
		b.scanLineByte(p[0])
		return 1, true
	case partTrailer:
		return 1, b.scanTrailerByte(p[0])
	case partUnknown:
		return len(p), true
	}
	return 0, false
}

// skip consumes up to available bytes of a body or chunk and returns their number.
func (b *RequestBoundary) skip(available int) int {
	n := int(min(int64(available), b.remaining))
	if b.remaining -= int64(n); b.remaining > 0 {
		return n
	}
	if b.part == partBody {
		b.part = partEnded
	} else {
		b.part = partChunkEnd
	}
	return n
}

// scanLineByte consumes a byte of a line of a chunked body.
func (b *RequestBoundary) scanLineByte(c byte) {
	switch b.part {
	case partChunkEnd:
		if c == '\n' {
			b.part = partChunkSize
		} else if c != '\r' {
			b.part = partUnknown
		}
	case partChunkSize:
		if c == '\n' {
			b.beginChunk()
		} else if len(b.sizeLine) < maxSizeBytes {
			b.sizeLine = append(b.sizeLine, c)
		}
	}
}

// scanTrailerByte consumes a byte of the trailer and reports whether it is kept: the blank line at the end is. The end
// of a trailer that is too long, or in which a line begins with CR, is unknown.
func (b *RequestBoundary) scanTrailerByte(c byte) (isKept bool) {
	b.trailerBytes++
	switch {
	case b.trailerBytes > maxTrailerBytes || b.hasTrailerCR && c != '\n':
		b.part = partUnknown
		return true
	case c == '\n' && b.trailerLine == 0:
		b.part = partEnded
		return true
	case c == '\n':
		b.trailerLine = 0
	case c == '\r' && b.trailerLine == 0:
		b.hasTrailerCR = true
		return true
	default:
		b.trailerLine++
	}
	return false
}

// beginChunk begins the chunk whose size line was received.
func (b *RequestBoundary) beginChunk() {
	digits, _, _ := bytes.Cut(b.sizeLine, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 62)
	b.sizeLine = b.sizeLine[:0]
	switch {
	case err != nil:
		b.part = partUnknown
	case size == 0:
		b.part = partTrailer
	default:
		b.Chunks++
		b.part, b.remaining = partChunk, int64(size)
	}
}

// IsUnknown reports whether the end of the request can't be found.
func (b *RequestBoundary) IsUnknown() bool { return b.part == partUnknown }

// IsEnded reports whether the whole request was scanned.
func (b *RequestBoundary) IsEnded() bool { return b.part == partEnded }

// KnownRemaining returns how many bytes of a body of known length follow, or -1 if that is unknown.
func (b *RequestBoundary) KnownRemaining() int64 {
	if b.part == partBody {
		return b.remaining
	}
	return -1
}
