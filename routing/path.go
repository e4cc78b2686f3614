package routing

// Which spellings of a path are let in. A server may decode, merge or cut what it gets
// before it looks for a route, and what it finds then must be what was charged for here.
// So a path passes only in the one spelling that every such step leaves as it is, and
// is forwarded byte for byte (RFC 3986, 6.2.2: the normal form; all other spellings of the same
// path are rejected rather than brought into it).

// byteClass says how a byte may stand in a segment.
type byteClass uint8

const (
	encoded    byteClass = iota // percent-encoded only
	unreserved                  // bare only
	delimiter                   // sub-delims, ':' and '@': bare, or percent-encoded where no literal has it
)

// pathBytes has the class of each byte. A semicolon is no delimiter: some servers cut a segment there.
var pathBytes = func() (classes [256]byteClass) {
	for c := '0'; c <= '9'; c++ {
		classes[c] = unreserved
	}
	for c := 'a'; c <= 'z'; c++ {
		classes[c], classes[c-'a'+'A'] = unreserved, unreserved
	}
	for _, c := range "-._~" {
		classes[c] = unreserved
	}
	for _, c := range "!$&'()*+,=:@" {
		classes[c] = delimiter
	}
	return classes
}()

// allDelimiters holds a template to one spelling of each delimiter.
var allDelimiters = func() (isBareOnly [256]bool) {
	for c := range isBareOnly {
		isBareOnly[c] = pathBytes[c] == delimiter
	}
	return isBareOnly
}()

// CheckPath returns why a path, as it stands in a request's target before any '?', is
// not let in, or "" if it is. It makes no allocation. Delimiters that no literal part of
// a template has may stand percent-encoded, as clients' libraries write them: RFC 3986
// holds the two spellings for different, and neither can become another operation's path.
func (t *Table) CheckPath(path string) string { return checkPath(path, &t.literalDelimiters) }

// checkPath is [Table.CheckPath] with the delimiters that may stand bare only.
func checkPath(path string, isBareOnly *[256]bool) string {
	if len(path) == 0 || path[0] != '/' {
		return "the path does not begin with a slash"
	}
	dots, length := 0, 0 // of the present segment
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
		switch {
		case c == '.':
			dots++
		case pathBytes[c] != encoded:
		case c == ';':
			return "the path has a semicolon"
		case c != '%':
			return "the path has a character that must be percent-encoded"
		default:
			if reason := checkEncoding(path[i:], isBareOnly); reason != "" {
				return reason
			}
			i += len("%41") - 1
		}
	}
	return ""
}

// checkEncoding checks the percent-encoded character that a text begins with.
func checkEncoding(text string, isBareOnly *[256]bool) string {
	if len(text) < len("%41") {
		return "the path has a broken percent-encoding"
	}
	high, low := upperHexValue(text[1]), upperHexValue(text[2])
	if high < 0 || low < 0 {
		return "the path has a percent-encoding that is broken or in lower case"
	}
	c := byte(high<<4 | low)
	switch {
	case pathBytes[c] == unreserved || isBareOnly[c]:
		return "the path has a percent-encoded character that needs none"
	case c == '/' || c == '\\' || c == ';':
		return "the path has a percent-encoded slash, backslash or semicolon"
	case c < 0x20 || c == 0x7f:
		return "the path has a percent-encoded control character"
	case c == '%' && len(text) >= len("%2541") && isHex(text[3]) && isHex(text[4]):
		return "the path is percent-encoded twice"
	}
	return ""
}

// upperHexValue is the value of a hexadecimal digit in upper case; -1: it is none.
func upperHexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func isHex(c byte) bool { return upperHexValue(c) >= 0 || 'a' <= c && c <= 'f' }
