package routing

import (
	"fmt"
	"slices"
	"strings"
)

// exampleValue is the value of each parameter in example paths.
const exampleValue = "x"

// segment is one segment of a template: a literal, or a parameter with a literal prefix and suffix, which may be empty.
type segment struct {
	isParam        bool
	prefix, suffix string // a literal has its whole text in prefix
}

// matches reports whether the segment matches the text of a path segment.
func (s segment) matches(text string) bool {
	if !s.isParam {
		return text == s.prefix
	}
	return len(text) > s.literalLen() && strings.HasPrefix(text, s.prefix) && strings.HasSuffix(text, s.suffix)
}

// literalLen returns the total length of the literal parts.
func (s segment) literalLen() int { return len(s.prefix) + len(s.suffix) }

// isSubsetOf reports whether o matches every text that s matches.
func (s segment) isSubsetOf(o segment) bool {
	if !o.isParam {
		return !s.isParam && s.prefix == o.prefix
	}
	if !s.isParam {
		return o.matches(s.prefix)
	}
	return strings.HasPrefix(s.prefix, o.prefix) && strings.HasSuffix(s.suffix, o.suffix)
}

// commonText returns an example of a text that both segments match, and whether there is such a text.
func (s segment) commonText(o segment) (string, bool) {
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

// parseTemplate parses a template into segments, whose literals have the spelling that [Table.CheckPath] accepts. It
// also returns the names of the template's parameters.
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
				return nil, nil, fmt.Errorf("parameter %q occurs twice in the path", name)
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

// parseSegment parses one segment. It also returns the name of the segment's parameter, or "" if it is a literal.
func parseSegment(part string) (s segment, name string, err error) {
	open, end := strings.IndexByte(part, '{'), strings.IndexByte(part, '}')
	if open < 0 && end < 0 {
		return segment{prefix: escapeLiteral(part)}, "", nil
	}
	isOneParam := open >= 0 && end >= open+2 &&
		!strings.ContainsAny(part[end+1:], "{}") && strings.Count(part, "{") == 1
	if !isOneParam {
		const text = "segment %q: invalid parameter: write one name in braces, such as {id} or {id}.pdf"
		return segment{}, "", fmt.Errorf(text, part)
	}
	s = segment{isParam: true, prefix: escapeLiteral(part[:open]), suffix: escapeLiteral(part[end+1:])}
	return s, part[open+1 : end], nil
}

// checkSpelling checks that [Table.CheckPath] accepts paths with the literal parts of the segment. declared is the
// segment as written in the document, for the error.
func (s segment) checkSpelling(declared string) error {
	if declared == "" {
		return nil // an empty segment is allowed after the last slash
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

// examplePath returns an example of a path that a template matches.
func examplePath(segments []segment) string {
	var b strings.Builder
	for _, s := range segments {
		text, _ := s.commonText(s)
		b.WriteString("/" + text)
	}
	return b.String()
}

// escapeLiteral percent-encodes the bytes that must be percent-encoded in a path. It does not change bytes that already
// are.
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

// findConflict reports whether two templates with the same number of segments conflict: both match some path, of which
// example is one, and neither is more specific.
func findConflict(a, b []segment) (example string, isConflict bool) {
	isASubset, isBSubset := true, true
	for i := range a {
		text, ok := a[i].commonText(b[i])
		if !ok {
			return "", false
		}
		example += "/" + text
		isASubset = isASubset && a[i].isSubsetOf(b[i])
		isBSubset = isBSubset && b[i].isSubsetOf(a[i])
	}
	return example, isASubset == isBSubset
}
