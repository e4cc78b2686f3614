package routing

import (
	"fmt"
	"strings"
)

// segment is one segment of a template: a literal, or a parameter between two literal
// parts, either of which may be empty.
type segment struct {
	isParam        bool
	prefix, suffix string // prefix is the whole of a literal
}

// matches tells whether a segment of a path is one that the template's stands for.
func (s segment) matches(text string) bool {
	if !s.isParam {
		return text == s.prefix
	}
	return len(text) > len(s.prefix)+len(s.suffix) && strings.HasPrefix(text, s.prefix) && strings.HasSuffix(text, s.suffix)
}

// isWithin tells whether all that s stands for, o stands for too.
func (s segment) isWithin(o segment) bool {
	if !o.isParam {
		return !s.isParam && s.prefix == o.prefix
	}
	if !s.isParam {
		return o.matches(s.prefix)
	}
	return strings.HasPrefix(s.prefix, o.prefix) && strings.HasSuffix(s.suffix, o.suffix)
}

// common returns a text that both stand for, or false.
func (s segment) common(o segment) (string, bool) {
	switch {
	case !s.isParam:
		return s.prefix, o.matches(s.prefix)
	case !o.isParam:
		return o.prefix, s.matches(o.prefix)
	}
	p, q := s.prefix, o.prefix
	if len(p) < len(q) {
		p, q = q, p
	}
	x, y := s.suffix, o.suffix
	if len(x) < len(y) {
		x, y = y, x
	}
	return p + "x" + x, strings.HasPrefix(p, q) && strings.HasSuffix(x, y)
}

// parseTemplate splits a template into segments, with literals in the one spelling that
// [Table.CheckPath] lets pass.
func parseTemplate(text string) ([]segment, []string, error) {
	if !strings.HasPrefix(text, "/") {
		return nil, nil, fmt.Errorf("path %q does not begin with a slash", text)
	}
	var segs []segment
	var names []string
	seen := map[string]bool{}
	parts := strings.Split(text[1:], "/")
	for i, part := range parts {
		open, end := strings.IndexByte(part, '{'), strings.IndexByte(part, '}')
		if open < 0 && end < 0 {
			lit := escapeLiteral(part)
			if part == "" && !(i == len(parts)-1) {
				return nil, nil, fmt.Errorf("path %q has an empty segment", text)
			}
			if reason := checkPath("/"+lit, &allDelimiters); part != "" && reason != "" {
				return nil, nil, fmt.Errorf("segment %q: %s", part, reason)
			}
			segs = append(segs, segment{prefix: lit})
			continue
		}
		if open < 0 || end < open+2 || strings.ContainsAny(part[end+1:], "{}") || strings.Count(part, "{") != 1 {
			return nil, nil, fmt.Errorf("segment %q: one parameter in braces is wanted, such as {id} or {id}.pdf", part)
		}
		name := part[open+1 : end]
		if seen[name] {
			return nil, nil, fmt.Errorf("parameter %q stands twice in the path", name)
		}
		seen[name] = true
		names = append(names, name)
		s := segment{isParam: true, prefix: escapeLiteral(part[:open]), suffix: escapeLiteral(part[end+1:])}
		if reason := checkPath("/"+s.prefix+"x"+s.suffix, &allDelimiters); reason != "" {
			return nil, nil, fmt.Errorf("segment %q: %s", part, reason)
		}
		segs = append(segs, s)
	}
	return segs, names, nil
}

// escapeLiteral writes what may not stand bare in a path in percent-encoding, and leaves what
// is encoded already.
func escapeLiteral(s string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if c := s[i]; pathByte[c] != 0 || c == '%' {
			b.WriteByte(c)
		} else {
			b.WriteByte('%')
			b.WriteByte(hex[c>>4])
			b.WriteByte(hex[c&15])
		}
	}
	return b.String()
}

// findConflict returns a path that both templates match if neither is the narrower.
func findConflict(a, b []segment) (example string, bad bool) {
	aIn, bIn := true, true
	for i := range a {
		text, ok := a[i].common(b[i])
		if !ok {
			return "", false
		}
		example += "/" + text
		aIn = aIn && a[i].isWithin(b[i])
		bIn = bIn && b[i].isWithin(a[i])
	}
	return example, aIn == bIn
}
