package routing

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// checkJSONType tells whether a body is JSON in UTF-8, unpacked: anything else a hall could
// read as other words than stand in it here.
func checkJSONType(h Header) error {
	ct, n := h.Values("Content-Type")
	media, params, _ := strings.Cut(ct, ";")
	if n != 1 || !strings.EqualFold(strings.TrimSpace(media), "application/json") {
		return &ChargeError{415, "Content-Type: application/json is wanted"}
	}
	if params = strings.ToLower(strings.ReplaceAll(params, " ", "")); params != "" && params != "charset=utf-8" {
		return &ChargeError{415, "Content-Type: no other charset than utf-8 is read"}
	}
	if _, n := h.Values("Content-Encoding"); n > 0 {
		return &ChargeError{415, "Content-Encoding: a packed body is not read"}
	}
	return nil
}

// bodyValue returns the text of a property of a JSON object. The whole body must be
// one JSON value. In every object on the way each name stands once, however it is
// written, and no other that differs in case only.
func bodyValue(body []byte, path []string, number bool) (string, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	value, err := readProperty(dec, path, number)
	if err != nil {
		return "", err
	}
	if _, err := dec.Token(); err != io.EOF {
		return "", newChargeError("body: more than one JSON value")
	}
	return value, nil
}

func invalidJSON(err error) error {
	return newChargeError("body: is no JSON, or is cut short: %v", err)
}

// readProperty reads the object that comes next, to its end.
func readProperty(dec *json.Decoder, path []string, number bool) (value string, err error) {
	tok, err := dec.Token()
	if err != nil {
		return "", invalidJSON(err)
	}
	if tok != json.Delim('{') {
		return "", newChargeError("body: an object is wanted where %q stands", path[0])
	}
	found := false
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return "", invalidJSON(err)
		}
		if !strings.EqualFold(name.(string), path[0]) {
			var skip json.RawMessage
			if err := dec.Decode(&skip); err != nil {
				return "", invalidJSON(err)
			}
			continue
		}
		if found {
			return "", errDuplicate
		}
		if found = true; name != path[0] {
			return "", fmt.Errorf("stands as %q: write it as described", name)
		}
		if len(path) > 1 {
			if value, err = readProperty(dec, path[1:], number); err != nil {
				return "", err
			}
			continue
		}
		tok, err := dec.Token()
		if err != nil {
			return "", invalidJSON(err)
		}
		switch v := tok.(type) {
		case json.Number:
			if value = v.String(); !number {
				return "", errors.New("a string is wanted")
			}
		case string:
			if value = v; number {
				return "", errors.New("a number is wanted, not a string")
			}
		default:
			return "", errors.New("a number or a string is wanted")
		}
	}
	if _, err := dec.Token(); err != nil { // the closing brace
		return "", invalidJSON(err)
	}
	if !found {
		return "", errMissing
	}
	return value, nil
}
