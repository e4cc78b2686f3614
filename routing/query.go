package routing

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Errors for queries that servers could parse differently.
var (
	errSemicolon      = errors.New("the query has a semicolon, which some servers treat as a separator")
	errBrokenEncoding = errors.New("the query has a broken percent-encoding")
)

// queryValue returns the value of the parameter with the name, which must occur once. It does not allocate for a query
// without percent-encoding. Names that differ only in case, or that are followed by the brackets of a list, count as
// the same name, since some servers treat them as the same.
func queryValue(query, name string) (string, error) {
	if strings.IndexByte(query, ';') >= 0 {
		return "", errSemicolon
	}
	value, isFound := "", false
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		rawKey, rawValue, _ := strings.Cut(pair, "=")
		key, err := unescapeQuery(rawKey)
		if err != nil {
			return "", err
		}
		if !strings.EqualFold(bareQueryName(key), name) {
			continue
		}
		if isFound {
			return "", errDuplicate
		}
		if key != name {
			return "", fmt.Errorf("is spelled %q: use the exact name in the API description", key)
		}
		isFound = true
		if value, err = unescapeQuery(rawValue); err != nil {
			return "", err
		}
	}
	if !isFound {
		return "", errMissing
	}
	return value, nil
}

// bareQueryName returns a name without the brackets of a list, and without the white space and NUL bytes that some
// servers remove.
func bareQueryName(key string) string {
	bare, _, _ := strings.Cut(key, "[")
	return strings.Trim(bare, " \t\x00")
}

// unescapeQuery decodes a name or value. It does not allocate if nothing is encoded.
func unescapeQuery(text string) (string, error) {
	if !strings.ContainsAny(text, "%+") {
		return text, nil
	}
	decoded, err := url.QueryUnescape(text)
	if err != nil {
		return "", errBrokenEncoding
	}
	return decoded, nil
}
