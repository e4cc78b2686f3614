package routing

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Errors of a body property whose value has the wrong type.
var (
	errWantString         = errors.New("a string is wanted")
	errWantNumber         = errors.New("a number is wanted, not a string")
	errWantNumberOrString = errors.New("a number or a string is wanted")
)

// checkJSONType checks that the header declares a body of JSON in UTF-8 without a content coding, since a server could
// read any other body differently from this package. The error is a [*ChargeError].
func checkJSONType(h Header) error {
	contentType, lines := h.Values("Content-Type")
	media, params, _ := strings.Cut(contentType, ";")
	if lines != 1 || !strings.EqualFold(strings.TrimSpace(media), "application/json") {
		return &ChargeError{statusUnsupportedMediaType, "Content-Type: application/json is wanted"}
	}
	params = strings.ToLower(strings.ReplaceAll(params, " ", ""))
	if params != "" && params != "charset=utf-8" {
		return &ChargeError{statusUnsupportedMediaType, "Content-Type: no other charset than utf-8 is read"}
	}
	if _, lines := h.Values("Content-Encoding"); lines > 0 {
		return &ChargeError{statusUnsupportedMediaType, "Content-Encoding: a packed body is not read"}
	}
	return nil
}

// bodyValue returns the text of the property at a path in a JSON object. The body must consist of one JSON value. In
// each object on the path the name must occur once, and in the case of the description. Names that differ only in case
// count as duplicates, since servers differ in how they treat them.
func bodyValue(body []byte, path []string, want valueType) (string, error) {
	reader := bodyReader{decoder: json.NewDecoder(bytes.NewReader(body)), want: want}
	reader.decoder.UseNumber()
	value, err := reader.readObject(path)
	if err != nil {
		return "", err
	}
	if _, err := reader.decoder.Token(); err != io.EOF {
		return "", newChargeError("body: more than one JSON value")
	}
	return value, nil
}

// bodyReader reads a property of a JSON body token by token.
type bodyReader struct {
	decoder *json.Decoder
	want    valueType
}

// readObject reads the next value, which must be an object, and returns the text of its property at the path.
func (r *bodyReader) readObject(path []string) (value string, err error) {
	start, err := r.token()
	if err != nil {
		return "", err
	}
	if start != json.Delim('{') {
		return "", newChargeError("body: an object is wanted where %q stands", path[0])
	}
	isFound := false
	for r.decoder.More() {
		name, err := r.token()
		if err != nil {
			return "", err
		}
		if !strings.EqualFold(name.(string), path[0]) {
			if err := r.skipValue(); err != nil {
				return "", err
			}
			continue
		}
		if isFound {
			return "", errDuplicate
		}
		if name != path[0] {
			return "", fmt.Errorf("stands as %q: write it as described", name)
		}
		isFound = true
		if value, err = r.readValue(path); err != nil {
			return "", err
		}
	}
	if _, err := r.token(); err != nil { // the closing brace
		return "", err
	}
	if !isFound {
		return "", errMissing
	}
	return value, nil
}

// readValue reads the value of the first name of the path. It is the property itself, or an object that contains it.
func (r *bodyReader) readValue(path []string) (string, error) {
	if len(path) > 1 {
		return r.readObject(path[1:])
	}
	token, err := r.token()
	if err != nil {
		return "", err
	}
	switch value := token.(type) {
	case json.Number:
		if r.want != numberType {
			return "", errWantString
		}
		return value.String(), nil
	case string:
		if r.want != stringType {
			return "", errWantNumber
		}
		return value, nil
	}
	return "", errWantNumberOrString
}

// skipValue discards the next value.
func (r *bodyReader) skipValue() error {
	var skipped json.RawMessage
	if err := r.decoder.Decode(&skipped); err != nil {
		return invalidJSON(err)
	}
	return nil
}

// token reads the next token. The error is a [*ChargeError].
func (r *bodyReader) token() (json.Token, error) {
	token, err := r.decoder.Token()
	if err != nil {
		return nil, invalidJSON(err)
	}
	return token, nil
}

func invalidJSON(err error) error {
	return newChargeError("body: is no JSON, or is cut short: %v", err)
}
