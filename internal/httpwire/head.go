// Package httpwire parses and writes HTTP/1.1 messages (RFC 9112). It accepts only unambiguous framing: lines end in
// CRLF, a field name is followed by its colon without a space, fields are not folded, and the length of a body is given
// only once. A gateway that charges for a request must interpret it exactly as the server behind it does, so messages
// that lenient parsers accept are rejected here.
//
// A head is read into one string, and its parts are substrings of that string.
package httpwire

import (
	"errors"
	"strings"
)

// MaxHead is the largest size of a head in bytes, including the empty line that ends it.
const MaxHead = 16 << 10

const (
	maxFields       = 100 // in a head or in the trailer section of a chunked body
	maxLengthDigits = 15  // in the value of Content-Length
)

// Errors of invalid messages. After any of them the connection cannot be used further.
var (
	ErrTooLarge  = errors.New("head is too large")
	ErrMalformed = errors.New("head is malformed")
	ErrLength    = errors.New("body length is malformed or given twice")
	ErrCoding    = errors.New("transfer coding is not supported")
	ErrVersion   = errors.New("only HTTP/1.1 is supported")
)

// Field is one field line of a head.
type Field struct{ Name, Value string }

// Head is the head of a request or a response. The strings stay valid, but reading another head into the Head
// overwrites Fields.
type Head struct {
	Method, Target        string // of a request
	Status                int    // of a response
	Reason                string
	Fields                []Field
	ContentLength         int64 // bytes; -1: not given
	Chunked               bool
	Close                 bool // the connection closes after this message
	NamesConnectionFields bool // Connection names fields: it has options other than close and keep-alive
}

// Values returns the first value of a field and the number of field lines with its name.
func (h *Head) Values(name string) (first string, lines int) {
	for i := range h.Fields {
		if f := &h.Fields[i]; len(f.Name) == len(name) && strings.EqualFold(f.Name, name) {
			if lines++; lines == 1 {
				first = f.Value
			}
		}
	}
	return first, lines
}

// Get returns the first value of a field, or "".
func (h *Head) Get(name string) string {
	v, _ := h.Values(name)
	return v
}

// Resembles reports whether a field has a name that differs from the given name but that gateway interfaces such as CGI
// treat as the same, with underscores in place of hyphens.
func (h *Head) Resembles(name string) bool {
	for i := range h.Fields {
		n := h.Fields[i].Name
		if len(n) != len(name) || strings.IndexByte(n, '_') < 0 {
			continue
		}
		isSameInCGI := strings.EqualFold(strings.ReplaceAll(n, "_", "-"), strings.ReplaceAll(name, "_", "-"))
		if isSameInCGI && !strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// isTokenByte marks the bytes that are allowed in a token (RFC 9110, section 5.6.2).
var isTokenByte = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte[s[i]] {
			return false
		}
	}
	return s != ""
}

// ParseRequest parses the head of a request, including the empty line that ends it. It returns an error of this
// package.
func (h *Head) ParseRequest(text string) error {
	line, rest, err := h.parseStart(text)
	if err != nil {
		return err
	}
	method, line, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(line, " ")
	if !ok || !ok2 || !isToken(method) || target == "" {
		return ErrMalformed
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return ErrMalformed
		}
	}
	if version != "HTTP/1.1" {
		if strings.HasPrefix(version, "HTTP/") {
			return ErrVersion
		}
		return ErrMalformed
	}
	h.Method, h.Target = method, target
	if err := h.parseFields(rest); err != nil {
		return err
	}
	if _, n := h.Values("Host"); n != 1 {
		return ErrMalformed
	}
	if h.Chunked && h.ContentLength >= 0 {
		return ErrLength
	}
	return nil
}

// ParseResponse parses the head of a response, including the empty line that ends it. It returns an error of this
// package.
func (h *Head) ParseResponse(text string) error {
	line, rest, err := h.parseStart(text)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(line, "HTTP/1.") || len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return ErrMalformed
	}
	h.Status = 0
	for _, c := range []byte(line[9:12]) {
		if c < '0' || c > '9' {
			return ErrMalformed
		}
		h.Status = h.Status*10 + int(c-'0')
	}
	if h.Status < 100 {
		return ErrMalformed
	}
	h.Reason = strings.TrimPrefix(line[12:], " ")
	if line[7] != '1' { // HTTP/1.0 servers close the connection by default
		h.Close = true
	}
	if err := h.parseFields(rest); err != nil {
		return err
	}
	if h.Chunked && h.ContentLength >= 0 {
		return ErrLength
	}
	return nil
}

// parseStart resets the head and splits the text into the first line and the rest.
func (h *Head) parseStart(text string) (line, rest string, err error) {
	h.Fields, h.ContentLength, h.Chunked, h.Close, h.NamesConnectionFields = h.Fields[:0], -1, false, false, false
	line, rest, ok := strings.Cut(text, "\r\n")
	if !ok {
		return "", "", ErrMalformed
	}
	return line, rest, nil
}

// parseFields parses the field lines and the empty line.
func (h *Head) parseFields(rest string) error {
	for {
		var line string
		var ok bool
		if line, rest, ok = strings.Cut(rest, "\r\n"); !ok {
			return ErrMalformed
		}
		if line == "" {
			if rest != "" {
				return ErrMalformed
			}
			return nil
		}
		colon := strings.IndexByte(line, ':')
		if colon <= 0 || !isToken(line[:colon]) {
			return ErrMalformed
		}
		f := Field{line[:colon], strings.Trim(line[colon+1:], " \t")}
		for i := range len(f.Value) {
			if c := f.Value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return ErrMalformed
			}
		}
		if len(h.Fields) == maxFields {
			return ErrTooLarge
		}
		h.Fields = append(h.Fields, f)
		if err := h.applyFraming(f); err != nil {
			return err
		}
	}
}

// applyFraming evaluates a field that determines where the message or the connection ends.
func (h *Head) applyFraming(f Field) error {
	switch {
	case len(f.Name) == len("Content-Length") && strings.EqualFold(f.Name, "Content-Length"):
		return h.applyContentLength(f.Value)
	case len(f.Name) == len("Transfer-Encoding") && strings.EqualFold(f.Name, "Transfer-Encoding"):
		if h.Chunked || !strings.EqualFold(f.Value, "chunked") {
			return ErrCoding
		}
		h.Chunked = true
	case len(f.Name) == len("Connection") && strings.EqualFold(f.Name, "Connection"):
		h.applyConnection(f.Value)
	}
	return nil
}

// applyContentLength evaluates a Content-Length field.
func (h *Head) applyContentLength(value string) error {
	if h.ContentLength >= 0 || value == "" || len(value) > maxLengthDigits {
		return ErrLength
	}
	h.ContentLength = 0
	for i := range len(value) {
		c := value[i]
		if c < '0' || c > '9' {
			return ErrLength
		}
		h.ContentLength = h.ContentLength*10 + int64(c-'0')
	}
	return nil
}

// applyConnection evaluates a Connection field.
func (h *Head) applyConnection(value string) {
	for rest := value; rest != ""; {
		var option string
		option, rest, _ = strings.Cut(rest, ",")
		switch option = strings.Trim(option, " \t"); {
		case strings.EqualFold(option, "close"):
			h.Close = true
		case option == "" || strings.EqualFold(option, "keep-alive"):
		default:
			h.NamesConnectionFields = true
		}
	}
}

// IsHopByHop reports whether a field applies to a single connection only and is not forwarded.
func IsHopByHop(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "TE")
	case 6:
		return strings.EqualFold(name, "Expect")
	case 7:
		return strings.EqualFold(name, "Upgrade") || strings.EqualFold(name, "Trailer")
	case 10:
		return strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Keep-Alive")
	case 14:
		return strings.EqualFold(name, "Content-Length") // the forwarded message gets its own
	case 16:
		return strings.EqualFold(name, "Proxy-Connection")
	case 17:
		return strings.EqualFold(name, "Transfer-Encoding")
	case 18:
		return strings.EqualFold(name, "Proxy-Authenticate")
	case 19:
		return strings.EqualFold(name, "Proxy-Authorization")
	}
	return false
}

// AppendField appends a field line to b.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
