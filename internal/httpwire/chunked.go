package httpwire

import (
	"bytes"
	"errors"
	"io"
)

// maxSizeDigits is the largest number of hexadecimal digits in a chunk size.
const maxSizeDigits = 7

// ReadChunkedBody reads a chunked body of at most maxBytes bytes. Trailers are read and discarded.
func (r *Reader) ReadChunkedBody(maxBytes int) ([]byte, error) {
	var body []byte
	for {
		size, err := r.readChunkSize()
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		if size > maxBytes-len(body) {
			return nil, ErrTooLarge
		}
		start := len(body)
		body = append(body, make([]byte, size)...)
		if err := r.ReadBody(body[start:]); err != nil {
			return nil, err
		}
		if end, err := r.readLine(); err != nil || len(end) > 0 {
			return nil, errors.Join(ErrLength, err)
		}
	}
	if err := r.skipTrailer(); err != nil {
		return nil, err
	}
	return body, nil
}

// readChunkSize reads the line with a chunk's size. Chunk extensions are discarded.
func (r *Reader) readChunkSize() (int, error) {
	line, err := r.readLine()
	if err != nil {
		return 0, err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxSizeDigits {
		return 0, ErrLength
	}
	size := 0
	for _, c := range digits {
		switch {
		case '0' <= c && c <= '9':
			size = size<<4 | int(c-'0')
		case 'a' <= c|0x20 && c|0x20 <= 'f':
			size = size<<4 | int(c|0x20-'a'+10)
		default:
			return 0, ErrLength
		}
	}
	return size, nil
}

// skipTrailer reads the trailer section, up to and including the empty line that ends it.
func (r *Reader) skipTrailer() error {
	for range maxFields {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
	}
	return ErrTooLarge
}

// readLine returns the next line without its CR LF. The slice is valid until the next read.
func (r *Reader) readLine() ([]byte, error) {
	seen := 0
	for {
		if i := bytes.IndexByte(r.buf[r.start+seen:r.end], '\n'); i >= 0 {
			line := r.buf[r.start : r.start+seen+i]
			r.start += seen + i + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return nil, ErrMalformed
			}
			return line[:len(line)-1], nil
		}
		if seen = r.end - r.start; seen > maxLineBytes {
			return nil, ErrTooLarge
		}
		if err := r.readMore(); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}
