package routing

// Which spellings of a path are let in. A hall may decode, merge or cut what it gets
// before it looks for a route, and what it finds then must be what was charged for here.
// So a path passes only in the one spelling that every such step leaves as it is, and
// goes on byte for byte (RFC 3986, 6.2.2: the normal form; all other spellings of the same
// path are refused rather than brought into it).

// pathByte says which bytes may stand bare in a segment: 1 for unreserved ones, 2 for
// sub-delims, ':' and '@'. A semicolon may not: some servers cut a segment there.
var pathByte = func() (t [256]byte) {
	for c := '0'; c <= '9'; c++ {
		t[c] = 1
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = 1, 1
	}
	for _, c := range "-._~" {
		t[c] = 1
	}
	for _, c := range "!$&'()*+,=:@" {
		t[c] = 2
	}
	return t
}()

// CheckPath returns why a path, as it stands in a request's target before any '?', is
// not let in, or "" if it is. It makes no allocation. Delimiters that no literal part of
// a template has may stand percent-encoded, as clients' libraries write them: RFC 3986
// holds the two spellings for different, and neither can become another operation's path.
func (t *Table) CheckPath(path string) string { return checkPath(path, &t.literalDelimiters) }

// checkPath takes the delimiters that may stand in one spelling only.
func checkPath(path string, bare *[256]bool) string {
	if len(path) == 0 || path[0] != '/' {
		return "the path does not begin with a slash"
	}
	dots, length := 0, 0 // of the segment under way
	for i := 1; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			if dots == length && (dots == 1 || dots == 2) {
				return "the path has a dot segment"
			}
			if length == 0 && i < len(path) {
				return "the path has an empty segment"
			}
			dots, length = 0, 0
			continue
		}
		length++
		c := path[i]
		if c == '.' {
			dots++
		}
		if pathByte[c] != 0 {
			continue
		}
		if c != '%' {
			if c == ';' {
				return "the path has a semicolon"
			}
			return "the path has a character that must be percent-encoded"
		}
		if i+2 >= len(path) {
			return "the path has a broken percent-encoding"
		}
		hi, lo := upperHex(path[i+1]), upperHex(path[i+2])
		if hi < 0 || lo < 0 {
			return "the path has a percent-encoding that is broken or in lower case"
		}
		d := byte(hi<<4 | lo)
		switch {
		case pathByte[d] == 1 || bare[d]:
			return "the path has a percent-encoded character that needs none"
		case d == '/' || d == '\\' || d == ';':
			return "the path has a percent-encoded slash, backslash or semicolon"
		case d < 0x20 || d == 0x7f:
			return "the path has a percent-encoded control character"
		case d == '%' && i+4 < len(path) && isHex(path[i+3]) && isHex(path[i+4]):
			return "the path is percent-encoded twice"
		}
		i += 2
	}
	return ""
}

func upperHex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func isHex(c byte) bool { return upperHex(c) >= 0 || 'a' <= c && c <= 'f' }

// allDelimiters holds a template to one spelling of each delimiter.
var allDelimiters = func() (t [256]bool) {
	for c := range t {
		t[c] = pathByte[c] == 2
	}
	return t
}()
