package routing

import (
	"fmt"
	"slices"
	"strings"
)

// exampleValue is a parameter's value in examples of paths.
const exampleValue = "x"

// segment is one segment of a template: a literal, or a parameter with a literal prefix and suffix, which may be empty.
type segment struct {
	isParam        bool
	prefix, suffix string // a literal is in prefix
}

// matches reports whether the segment matches one of a path.
func (s segment) matches(text string) bool {
	if !s.isParam {
		return text == s.prefix
	}
	return len(text) > s.literalLen() && strings.HasPrefix(text, s.prefix) && strings.HasSuffix(text, s.suffix)
}

// literalLen returns the length of the literal parts.
func (s segment) literalLen() int { return len(s.prefix) + len(s.suffix) }

// isWithin reports whether o matches everything that s matches.
func (s segment) isWithin(o segment) bool {
	if !o.isParam {
		return !s.isParam && s.prefix == o.prefix
	}
	if !s.isParam {
		return o.matches(s.prefix)
	}
	return strings.HasPrefix(s.prefix, o.prefix) && strings.HasSuffix(s.suffix, o.suffix)
}

// common returns a text that both segments match, and whether there is one.
func (s segment) common(o segment) (string, bool) {
	switch {
	case !s.isParam:
		return s.prefix, o.matches(s.prefix)
	case !o.isParam:
		return o.prefix, s.matches(o.prefix)
	}
	longPrefix, shortPrefix := s.prefix, o.prefix
	if len(longPrefix) < len(shortPrefix) {
		longPrefix, shortPrefix = shortPrefix, longPrefix
	}
	longSuffix, shortSuffix := s.suffix, o.suffix
	if len(longSuffix) < len(shortSuffix) {
		longSuffix, shortSuffix = shortSuffix, longSuffix
	}
	isCommon := strings.HasPrefix(longPrefix, shortPrefix) && strings.HasSuffix(longSuffix, shortSuffix)
	return longPrefix + exampleValue + longSuffix, isCommon
}

// parseTemplate parses a template into segments, with literals in the spelling that [Table.CheckPath] accepts, and
// returns the names of its parameters.
func parseTemplate(text string) (segments []segment, names []string, err error) {
	if !strings.HasPrefix(text, "/") {
		return nil, nil, fmt.Errorf("path %q does not begin with a slash", text)
	}
	parts := strings.Split(text[1:], "/")
	for i, part := range parts {
		if part == "" && i < len(parts)-1 {
			return nil, nil, fmt.Errorf("path %q has an empty segment", text)
		}
		s, name, err := parseSegment(part)
		if err != nil {
			return nil, nil, err
		}
		if s.isParam {
			if slices.Contains(names, name) {
				return nil, nil, fmt.Errorf("parameter %q stands twice in the path", name)
			}
			names = append(names, name)
		}
		if err := s.checkSpelling(part); err != nil {
			return nil, nil, err
		}
		segments = append(segments, s)
	}
	return segments, names, nil
}

// parseSegment parses one segment, and returns the name of its parameter.
func parseSegment(part string) (s segment, name string, err error) {
	open, end := strings.IndexByte(part, '{'), strings.IndexByte(part, '}')
	if open < 0 && end < 0 {
		return segment{prefix: escapeLiteral(part)}, "", nil
	}
	isOneParam := open >= 0 && end >= open+2 &&
		!strings.ContainsAny(part[end+1:], "{}") && strings.Count(part, "{") == 1
	if !isOneParam {
		const text = "segment %q: one parameter in braces is wanted, such as {id} or {id}.pdf"
		return segment{}, "", fmt.Errorf(text, part)
	}
	s = segment{isParam: true, prefix: escapeLiteral(part[:open]), suffix: escapeLiteral(part[end+1:])}
	return s, part[open+1 : end], nil
}

// checkSpelling checks that paths with the literal parts of a segment are accepted.
func (s segment) checkSpelling(declared string) error {
	if declared == "" {
		return nil // after the last slash
	}
	path := "/" + s.prefix
	if s.isParam {
		path += exampleValue + s.suffix
	}
	if reason := checkPath(path, &allDelimiters); reason != "" {
		return fmt.Errorf("segment %q: %s", declared, reason)
	}
	return nil
}

func hasParam(segments []segment) bool {
	return slices.ContainsFunc(segments, func(s segment) bool { return s.isParam })
}

// examplePath returns a path that a template matches.
func examplePath(segments []segment) string {
	var b strings.Builder
	for _, s := range segments {
		text, _ := s.common(s)
		b.WriteString("/" + text)
	}
	return b.String()
}

// escapeLiteral percent-encodes the bytes that a path must not contain bare, and leaves encoded ones unchanged.
func escapeLiteral(s string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if c := s[i]; pathBytes[c] != encoded || c == '%' {
			b.WriteByte(c)
		} else {
			b.WriteByte('%')
			b.WriteByte(hex[c>>4])
			b.WriteByte(hex[c&15])
		}
	}
	return b.String()
}

// findConflict returns a path that both templates match, if neither is narrower.
func findConflict(a, b []segment) (example string, isConflict bool) {
	isAWithin, isBWithin := true, true
	for i := range a {
		text, ok := a[i].common(b[i])
		if !ok {
			return "", false
		}
		example += "/" + text
		isAWithin = isAWithin && a[i].isWithin(b[i])
		isBWithin = isBWithin && b[i].isWithin(a[i])
	}
	return example, isAWithin == isBWithin
}
