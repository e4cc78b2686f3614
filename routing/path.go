package routing

// This file checks the spelling of paths. A server may decode, merge or truncate a path before it matches a route, and
// must then find the operation that was charged here. Therefore only the normal form of RFC 3986, 6.2.2 is accepted,
// which no such step changes, and it is forwarded byte for byte. Other spellings are rejected and not normalized.

// byteClass determines how a byte may be written in a segment.
type byteClass uint8

const (
	encoded    byteClass = iota // percent-encoded only
	unreserved                  // never percent-encoded
	delimiter                   // sub-delims, ':' and '@': percent-encoded only if no literal contains it
)

// pathBytes holds the class of each byte. The semicolon is not a delimiter, since some servers truncate a segment at a
// semicolon.
var pathBytes = func() (classes [256]byteClass) {
	for c := '0'; c <= '9'; c++ {
		classes[c] = unreserved
	}
	for c := 'a'; c <= 'z'; c++ {
		classes[c] = unreserved
		classes[c-'a'+'A'] = unreserved
	}
	for _, c := range "-._~" {
		classes[c] = unreserved
	}
	for _, c := range "!$&'()*+,=:@" {
		classes[c] = delimiter
	}
	return classes
}()

// allDelimiters is the set of all delimiters. In the literal parts of templates none of them may be percent-encoded.
var allDelimiters = func() (isBareOnly [256]bool) {
	for c := range isBareOnly {
		isBareOnly[c] = pathBytes[c] == delimiter
	}
	return isBareOnly
}()

// CheckPath checks the spelling of a path, which is the part of a request target before any '?'. It returns the reason
// why the path is rejected, or "" if it is accepted. It does not allocate. Delimiters that no literal part of a
// template contains may be percent-encoded, as some client libraries encode them: by RFC 3986 the two spellings are
// different, and neither can become the path of another operation.
func (t *Table) CheckPath(path string) string { return checkPath(path, &t.literalDelimiters) }

// checkPath implements [Table.CheckPath]. isBareOnly is the set of delimiters that must not be percent-encoded.
func checkPath(path string, isBareOnly *[256]bool) string {
	if len(path) == 0 || path[0] != '/' {
		return "the path does not begin with a slash"
	}
	dots, length := 0, 0 // of the current segment
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

// checkEncoding checks the percent-encoded byte at the beginning of a text. It returns the reason why it is rejected,
// or "" if it is accepted.
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

// upperHexValue returns the value of a hexadecimal digit in upper case, or -1 for any other byte.
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
