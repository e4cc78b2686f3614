// Package httpwire reads and words HTTP/1.1 messages in the one framing that can't be
// read in two ways (RFC 9112): lines end in CR LF, a field has no space ahead of its
// colon and is not folded, and a body tells its length once. A gateway that charges for
// a request must see the message that the server behind it will see; what others read
// with lenience is an error here.
//
// A head is read into one string, and all its parts are slices of it.
package httpwire

import (
	"errors"
	"strings"
)

// Bounds of a head.
const (
	MaxHead   = 16 << 10 // bytes
	maxFields = 100
)

// Errors of a message. All are final for its connection.
var (
	ErrTooLarge  = errors.New("head is too large")
	ErrMalformed = errors.New("head is malformed")
	ErrLength    = errors.New("body's length is malformed or told twice")
	ErrCoding    = errors.New("transfer coding is not read")
	ErrVersion   = errors.New("HTTP/1.1 is spoken here")
)

// Field is one line of a head.
type Field struct{ Name, Value string }

// Head is the head of a request or an answer. Its strings stay valid; its Fields are
// used again by the next head that is read into it.
type Head struct {
	Method, Target string // of a request
	Status         int    // of an answer
	Reason         string
	Fields         []Field
	Length         int64 // of the body, or -1: none is told
	Chunked        bool
	Close          bool // the connection ends with this message
	Nominated      bool // Connection names fields other than the usual ones
}

// Values returns the first value of a field and the number of its lines.
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

// Resembles tells whether a field has a name that gateway interfaces such as CGI hold
// for the given one: with underscores where that has hyphens.
func (h *Head) Resembles(name string) bool {
	for i := range h.Fields {
		n := h.Fields[i].Name
		if len(n) != len(name) || strings.IndexByte(n, '_') < 0 {
			continue
		}
		if strings.EqualFold(strings.ReplaceAll(n, "_", "-"), strings.ReplaceAll(name, "_", "-")) && !strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

var tokenByte = func() (t [256]bool) {
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

func token(s string) bool {
	for i := range len(s) {
		if !tokenByte[s[i]] {
			return false
		}
	}
	return s != ""
}

// ParseRequest reads a request's head, to the empty line that ends it and no further.
func (h *Head) ParseRequest(text string) error {
	line, rest, err := h.begin(text)
	if err != nil {
		return err
	}
	method, line, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(line, " ")
	if !ok || !ok2 || !token(method) || target == "" {
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
	if err := h.fields(rest); err != nil {
		return err
	}
	if _, n := h.Values("Host"); n != 1 {
		return ErrMalformed
	}
	if h.Chunked && h.Length >= 0 {
		return ErrLength
	}
	return nil
}

// ParseAnswer reads an answer's head, to the empty line that ends it and no further.
func (h *Head) ParseAnswer(text string) error {
	line, rest, err := h.begin(text)
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
	if line[7] != '1' { // an older server closes unless it says otherwise
		h.Close = true
	}
	if err := h.fields(rest); err != nil {
		return err
	}
	if h.Chunked && h.Length >= 0 {
		return ErrLength
	}
	return nil
}

func (h *Head) begin(text string) (line, rest string, err error) {
	h.Fields, h.Length, h.Chunked, h.Close, h.Nominated = h.Fields[:0], -1, false, false, false
	line, rest, ok := strings.Cut(text, "\r\n")
	if !ok {
		return "", "", ErrMalformed
	}
	return line, rest, nil
}

// fields reads the lines behind the first.
func (h *Head) fields(rest string) error {
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
		if colon <= 0 || !token(line[:colon]) {
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
		if err := h.framing(f); err != nil {
			return err
		}
	}
}

// framing takes in a field that decides where the message ends.
func (h *Head) framing(f Field) error {
	switch {
	case len(f.Name) == 14 && strings.EqualFold(f.Name, "Content-Length"):
		if h.Length >= 0 || f.Value == "" || len(f.Value) > 15 {
			return ErrLength
		}
		h.Length = 0
		for i := range len(f.Value) {
			c := f.Value[i]
			if c < '0' || c > '9' {
				return ErrLength
			}
			h.Length = h.Length*10 + int64(c-'0')
		}
	case len(f.Name) == 17 && strings.EqualFold(f.Name, "Transfer-Encoding"):
		if h.Chunked || !strings.EqualFold(f.Value, "chunked") {
			return ErrCoding
		}
		h.Chunked = true
	case len(f.Name) == 10 && strings.EqualFold(f.Name, "Connection"):
		for rest := f.Value; rest != ""; {
			var opt string
			opt, rest, _ = strings.Cut(rest, ",")
			switch opt = strings.Trim(opt, " \t"); {
			case strings.EqualFold(opt, "close"):
				h.Close = true
			case opt == "" || strings.EqualFold(opt, "keep-alive"):
			default:
				h.Nominated = true
			}
		}
	}
	return nil
}

// HopByHop tells whether a field concerns one connection only and does not go on.
func HopByHop(name string) bool {
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
		return strings.EqualFold(name, "Content-Length") // worded anew
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

// AppendField adds a line to a head.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
