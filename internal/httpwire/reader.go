package httpwire

import (
	"bytes"
	"errors"
	"io"
)

// Reader reads messages from one connection. It reads from the connection only during a call, but may then buffer bytes
// of later messages.
type Reader struct {
	src        io.Reader
	buf        []byte
	start, end int // bounds of the unconsumed bytes in buf
}

const (
	initialBufferBytes = 2 << 10
	maxLineBytes       = 4 << 10 // of a chunk size or trailer line
	maxEmptyReads      = 100     // consecutive reads that return neither bytes nor an error
)

// NewReader returns a Reader that reads from src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, buf: make([]byte, initialBufferBytes)}
}

// Buffered returns the number of bytes that were read from the connection but not consumed yet.
func (r *Reader) Buffered() int { return r.end - r.start }

// Fill waits until at least one byte is buffered. It returns the error of the connection.
func (r *Reader) Fill() error {
	if r.end > r.start {
		return nil
	}
	r.start, r.end = 0, 0
	return r.readMore()
}

// readMore reads at least one byte into the buffer. It makes room in the buffer first.
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

// headEnd is the end of a head: the CR LF of the last line and the empty line.
var headEnd = []byte("\r\n\r\n")

// readHead returns the text of the next head, including the empty line that ends it.
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

// ReadRequest reads the head of a request into h. It returns an error of this package or of the connection; the error
// is io.EOF if the connection ended before the first byte.
func (r *Reader) ReadRequest(h *Head) error {
	text, err := r.readHead()
	if err != nil {
		return err
	}
	return h.ParseRequest(text)
}

// ReadResponse reads the head of a response into h. It returns the same errors as [Reader.ReadRequest].
func (r *Reader) ReadResponse(h *Head) error {
	text, err := r.readHead()
	if err != nil {
		return err
	}
	return h.ParseResponse(text)
}

// ReadBody fills b with the body of a message whose length is known.
func (r *Reader) ReadBody(b []byte) error {
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
