package httpwire

import (
	"bytes"
	"errors"
	"io"
)

// Reader reads messages off one connection. It reads no byte of a message before it is
// asked for one, but may hold bytes of the next.
type Reader struct {
	src  io.Reader
	buf  []byte
	r, w int
}

// NewReader returns a Reader of src.
func NewReader(src io.Reader) *Reader { return &Reader{src: src, buf: make([]byte, 2<<10)} }

// Buffered is the number of bytes that were read and not yet asked for.
func (r *Reader) Buffered() int { return r.w - r.r }

// Fill waits until there is something to read. Its error is that of the connection.
func (r *Reader) Fill() error {
	if r.w > r.r {
		return nil
	}
	r.r, r.w = 0, 0
	return r.more()
}

// more reads once. There is room for at least a byte.
func (r *Reader) more() error {
	if r.r > 0 && r.w == len(r.buf) {
		r.w = copy(r.buf, r.buf[r.r:r.w])
		r.r = 0
	}
	if r.w == len(r.buf) {
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	for range 100 {
		n, err := r.src.Read(r.buf[r.w:])
		r.w += n
		if n > 0 {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

var headEnd = []byte("\r\n\r\n")

// head returns the text of the next head, with the empty line that ends it.
func (r *Reader) head() (string, error) {
	seen := 0
	for {
		if r.w > r.r {
			if i := bytes.Index(r.buf[r.r+seen:r.w], headEnd); i >= 0 {
				text := string(r.buf[r.r : r.r+seen+i+len(headEnd)])
				r.r += len(text)
				if len(text) > MaxHead {
					return "", ErrTooLarge
				}
				return text, nil
			}
			if r.w-r.r > MaxHead {
				return "", ErrTooLarge
			}
			seen = max(0, r.w-r.r-len(headEnd)+1)
		}
		if err := r.more(); err != nil {
			if errors.Is(err, io.EOF) && r.w > r.r {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
}

// Request reads the head of a request.
func (r *Reader) Request(h *Head) error {
	text, err := r.head()
	if err != nil {
		return err
	}
	return h.ParseRequest(text)
}

// Answer reads the head of an answer.
func (r *Reader) Answer(h *Head) error {
	text, err := r.head()
	if err != nil {
		return err
	}
	return h.ParseAnswer(text)
}

// Body reads a body of a told length into b, which it fills.
func (r *Reader) Body(b []byte) error {
	n := copy(b, r.buf[r.r:r.w])
	r.r += n
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

// Chunked reads a chunked body of at most most bytes. Trailers are read and dropped.
func (r *Reader) Chunked(most int) ([]byte, error) {
	var body []byte
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		line, _, _ = bytes.Cut(line, []byte(";"))
		line = bytes.TrimRight(line, " \t")
		if len(line) == 0 || len(line) > 7 {
			return nil, ErrLength
		}
		size := 0
		for _, c := range line {
			switch {
			case '0' <= c && c <= '9':
				size = size<<4 | int(c-'0')
			case 'a' <= c|0x20 && c|0x20 <= 'f':
				size = size<<4 | int(c|0x20-'a'+10)
			default:
				return nil, ErrLength
			}
		}
		if size == 0 {
			break
		}
		if size > most-len(body) {
			return nil, ErrTooLarge
		}
		start := len(body)
		body = append(body, make([]byte, size)...)
		if err := r.Body(body[start:]); err != nil {
			return nil, err
		}
		if end, err := r.line(); err != nil || len(end) > 0 {
			return nil, errors.Join(ErrLength, err)
		}
	}
	for range maxFields {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
	}
	return nil, ErrTooLarge
}

// line returns the next line without its end; it holds until the next read.
func (r *Reader) line() ([]byte, error) {
	seen := 0
	for {
		if i := bytes.IndexByte(r.buf[r.r+seen:r.w], '\n'); i >= 0 {
			line := r.buf[r.r : r.r+seen+i]
			r.r += seen + i + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return nil, ErrMalformed
			}
			return line[:len(line)-1], nil
		}
		if seen = r.w - r.r; seen > 4<<10 {
			return nil, ErrTooLarge
		}
		if err := r.more(); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}
