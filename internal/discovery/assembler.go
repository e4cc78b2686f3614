package discovery

import (
	"errors"
	"fmt"
)

// What is wrong with the text of a list.
var (
	errBreaksOff    = errors.New("breaks off")
	errTrailingText = errors.New("has something behind its end")
	errNoObject     = errors.New("is no object")
)

// objectAssembler puts together the lines of one JSON object, which may be indented over many.
type objectAssembler struct {
	text      []byte
	depth     int
	inString  bool
	isEscaped bool
}

// isOpen reports whether an object has begun.
func (a *objectAssembler) isOpen() bool { return len(a.text) > 0 }

// addLine adds a line, with no space around it, and reports whether the object is complete.
func (a *objectAssembler) addLine(line []byte) (isComplete bool, err error) {
	if !a.isOpen() && line[0] != '{' {
		return false, errNoObject
	}
	if len(a.text)+len(line) > maxListBytes {
		return false, fmt.Errorf("over %d bytes", maxListBytes)
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
	if a.inString { // no string goes on in the next line
		return false, errBreaksOff
	}
	return a.depth <= 0, nil
}

// take returns the object and resets the assembler.
func (a *objectAssembler) take() []byte {
	text := a.text
	*a = objectAssembler{}
	return text
}
