package discovery

import (
	"errors"
	"fmt"
)

// The errors of a list that is not one complete JSON object.
var (
	errTruncated    = errors.New("JSON object is truncated")
	errTrailingText = errors.New("text after the end of the JSON object")
	errNotObject    = errors.New("not a JSON object")
)

// objectAssembler joins the lines of one JSON object, which may be indented over several lines.
type objectAssembler struct {
	text      []byte
	depth     int
	inString  bool
	isEscaped bool
}

// isOpen reports whether an object has been started and not taken yet.
func (a *objectAssembler) isOpen() bool { return len(a.text) > 0 }

// addLine adds a line without surrounding white space and reports whether the object is complete. The line must not be
// empty.
func (a *objectAssembler) addLine(line []byte) (isComplete bool, err error) {
	if !a.isOpen() && line[0] != '{' {
		return false, errNotObject
	}
	if len(a.text)+len(line) > maxListBytes {
		return false, fmt.Errorf("longer than the limit of %d bytes", maxListBytes)
	}
	a.text = append(a.text, line...)
	for i, c := range line {
		switch {
		case a.isEscaped:
			a.isEscaped = false
		case a.inString:
			a.isEscaped, a.inString = c == '\\', c != '"'
		case c == '"':
			a.inString = true
		case c == '{' || c == '[':
			a.depth++
		case c == '}' || c == ']':
			if a.depth--; a.depth == 0 && i < len(line)-1 {
				return false, errTrailingText
			}
		}
	}
	if a.inString { // a JSON string can't contain a line break
		return false, errTruncated
	}
	return a.depth <= 0, nil
}

// take returns the object and resets the assembler.
func (a *objectAssembler) take() []byte {
	text := a.text
	*a = objectAssembler{}
	return text
}
