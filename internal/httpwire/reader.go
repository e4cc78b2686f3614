package httpwire

import (
	"bytes"
	"errors"
	"io"
)

// Reader reads messages off one connection. It reads no byte of a message before it is
// asked for one, but may hold bytes of the next.
type Reader struct {
	src        io.Reader
	buf        []byte
	start, end int // of the bytes in buf that were read and not yet asked for
}

const (
	initialBufferBytes = 2 << 10
	maxLineBytes       = 4 << 10 // of a line of a chunked body
	maxEmptyReads      = 100     // reads in a row without a byte or an error
)

// NewReader returns a Reader of src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, buf: make([]byte, initialBufferBytes)}
}

// Buffered returns the number of bytes that were read and not yet asked for.
func (r *Reader) Buffered() int { return r.end - r.start }

// Fill waits until there is something to read. Its error is that of the connection.
func (r *Reader) Fill() error {
	if r.end > r.start {
		return nil
	}
	r.start, r.end = 0, 0
	return r.readMore()
}

// readMore reads at least one byte into the buffer, which it makes room in first.
func (r *Reader) readMore() error {
	if r.start > 0 && r.end == len(r.buf) {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buf) {
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	for range maxEmptyReads {
		n, err := r.src.Read(r.buf[r.end:])
		r.end += n
		if n > 0 {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// headEnd ends a head: the end of its last line and the empty line.
var headEnd = []byte("\r\n\r\n")

// readHead returns the text of the next head, with the empty line that ends it.
func (r *Reader) readHead() (string, error) {
	seen := 0
	for {
		if r.end > r.start {
			if i := bytes.Index(r.buf[r.start+seen:r.end], headEnd); i >= 0 {
				text := string(r.buf[r.start : r.start+seen+i+len(headEnd)])
				r.start += len(text)
				if len(text) > MaxHead {
					return "", ErrTooLarge
				}
				return text, nil
			}
			if r.end-r.start > MaxHead {
				return "", ErrTooLarge
			}
			seen = max(0, r.end-r.start-len(headEnd)+1)
		}
		if err := r.readMore(); err != nil {
			if errors.Is(err, io.EOF) && r.end > r.start {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
}

// Request reads the head of a request into h. Its error is one of this package's, or the
// connection's: io.EOF if it ended before the first byte.
func (r *Reader) Request(h *Head) error {
	text, err := r.readHead()
	if err != nil {
		return err
	}
	return h.ParseRequest(text)
}

// Answer reads the head of an answer into h. Its errors are those of [Reader.Request].
func (r *Reader) Answer(h *Head) error {
	text, err := r.readHead()
	if err != nil {
		return err
	}
	return h.ParseAnswer(text)
}

// Body reads a body of a known length: it fills b.
func (r *Reader) Body(b []byte) error {
	n := copy(b, r.buf[r.start:r.end])
	r.start += n
	if n == len(b) {
		return nil
	}
	if _, err := io.ReadFull(r.src, b[n:]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}
