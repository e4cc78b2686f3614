package routing

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// queryValue returns the one value of a name. It makes no allocation for a query without
// percent-encoding. Names that differ only in case, or stand with brackets behind them as
// for lists, are taken for the name too: some readers do.
func queryValue(query, name string) (string, error) {
	if strings.IndexByte(query, ';') >= 0 {
		return "", errors.New("the query has a semicolon, which some take for a separator")
	}
	value, found := "", false
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, val, _ := strings.Cut(pair, "=")
		var err error
		if strings.ContainsAny(key, "%+") {
			if key, err = url.QueryUnescape(key); err != nil {
				return "", errors.New("the query has a broken percent-encoding")
			}
		}
		bare, _, _ := strings.Cut(key, "[")
		bare = strings.Trim(bare, " \t\x00")
		if !strings.EqualFold(bare, name) {
			continue
		}
		if found {
			return "", errDuplicate
		}
		if key != name {
			return "", fmt.Errorf("stands as %q: write it as described", key)
		}
		found = true
		if value = val; strings.ContainsAny(val, "%+") {
			if value, err = url.QueryUnescape(val); err != nil {
				return "", errors.New("the query has a broken percent-encoding")
			}
		}
	}
	if !found {
		return "", errMissing
	}
	return value, nil
}
