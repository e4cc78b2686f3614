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
	errWantString         = errors.New("must be a string")
	errWantNumber         = errors.New("must be a number, not a string")
	errWantNumberOrString = errors.New("must be a number or a string")
)

// checkJSONType checks that the header declares a body of JSON in UTF-8 without a content coding, since a server could
// read any other body differently from this package. The error is a [*ChargeError].
func checkJSONType(h Header) error {
	contentType, lines := h.Values("Content-Type")
	media, params, _ := strings.Cut(contentType, ";")
	if lines != 1 || !strings.EqualFold(strings.TrimSpace(media), "application/json") {
		return &ChargeError{statusUnsupportedMediaType, "Content-Type: must be application/json"}
	}
	params = strings.ToLower(strings.ReplaceAll(params, " ", ""))
	if params != "" && params != "charset=utf-8" {
		return &ChargeError{statusUnsupportedMediaType, "Content-Type: the only supported parameter is charset=utf-8"}
	}
	if _, lines := h.Values("Content-Encoding"); lines > 0 {
		return &ChargeError{statusUnsupportedMediaType, "Content-Encoding: an encoded body is not supported"}
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
		return "", newChargeError("body: the value that contains %q must be a JSON object", path[0])
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
			return "", fmt.Errorf("is spelled %q: use the exact name in the API description", name)
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
	return newChargeError("body: invalid or truncated JSON: %v", err)
}
