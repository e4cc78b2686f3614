package routing

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
)

// Location is where in a request a parameter stands.
type Location int

const (
	InNowhere Location = iota
	InPath
	InQuery
	InHeader
	InBody // a property of a JSON body
)

// ParamSource names a parameter of a request.
type ParamSource struct {
	In   Location
	Name string
	Path []string // of a body: the names from the outermost object inwards
}

func (s ParamSource) String() string {
	return [...]string{"nowhere", "path parameter ", "query parameter ", "header ", "body property "}[s.In] + s.Name
}

// mostDepth bounds how deep in a body a property may stand.
const mostDepth = 8

// Units says what a request of an operation takes from the quota.
type Units struct {
	Fixed      int // above 0: always so many
	Source     ParamSource
	Min, Max   int
	Default    int // where the parameter is missing
	HasDefault bool
}

// Header gives the header fields of a request.
type Header interface {
	// Values returns the first value of a field and the number of its lines. Names know
	// no case.
	Values(name string) (first string, lines int)
	// Resembles tells whether a field stands under a name that a hall could take for
	// this one, such as X_Units for X-Units.
	Resembles(name string) bool
}

// Request is what the cost of a request can depend on.
type Request struct {
	Query  string // raw, without '?'
	Header Header
	Body   []byte
}

// ChargeError tells why a request can't be charged. Nothing is sent on for it.
type ChargeError struct {
	Status int // 400 or 415
	Text   string
}

func (r *ChargeError) Error() string { return r.Text }

func refusal(format string, args ...any) error {
	return &ChargeError{400, fmt.Sprintf(format, args...)}
}

// errMissing is told of a parameter that is not there.
var errMissing = errors.New("is missing")

// ReadKey returns the key of a keyed operation's request that was charged, path being that of
// its line; empty for others.
func (o *Operation) ReadKey(r Request, path string) string {
	switch o.KeySource.In {
	case InNowhere:
		return ""
	case InPath:
		return path
	}
	key, err := o.KeySource.read(r, false)
	if err != nil {
		return "" // Charge has refused it
	}
	return key
}

// Charge returns the units of a request, and checks that a keyed one has its key. What
// it reads, a hall must read in the same way: a name that stands twice, in two
// spellings, or a number in any but the plain form is a [*ChargeError].
func (o *Operation) Charge(r Request) (units int, err error) {
	if o.KeySource.In != InNowhere && o.KeySource.In != InPath {
		key, err := o.KeySource.read(r, false)
		if err == nil && key == "" {
			err = errMissing
		}
		if err != nil {
			return 0, asRefusal(o.KeySource, err)
		}
	}
	if o.Units.Fixed > 0 {
		return o.Units.Fixed, nil
	}
	text, err := o.Units.Source.read(r, true)
	if errors.Is(err, errMissing) && o.Units.HasDefault {
		return o.Units.Default, nil
	}
	if err != nil {
		return 0, asRefusal(o.Units.Source, err)
	}
	n, ok := plainNumber(text)
	if !ok {
		return 0, refusal("%s: a whole number is wanted, in digits alone", o.Units.Source)
	}
	if n < o.Units.Min || n > o.Units.Max {
		return 0, refusal("%s: is outside %d to %d", o.Units.Source, o.Units.Min, o.Units.Max)
	}
	return n, nil
}

func asRefusal(s ParamSource, err error) error {
	if _, ok := errors.AsType[*ChargeError](err); ok {
		return err
	}
	return refusal("%s: %v", s, err)
}

// plainNumber reads digits without a sign, exponent or zeros ahead, which readers take
// in different ways (octal, among others).
func plainNumber(text string) (n int, ok bool) {
	if len(text) == 0 || len(text) > 9 || len(text) > 1 && text[0] == '0' {
		return 0, false
	}
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
		n = n*10 + int(text[i]-'0')
	}
	return n, true
}

// read returns the text of a parameter. Of a body, number says whether a number or a
// string is wanted.
func (s ParamSource) read(r Request, number bool) (string, error) {
	switch s.In {
	case InQuery:
		return queryValue(r.Query, s.Name)
	case InHeader:
		v, n := r.Header.Values(s.Name)
		switch {
		case n > 1 || r.Header.Resembles(s.Name):
			return "", errTwice
		case n == 0:
			return "", errMissing
		}
		return v, nil
	case InBody:
		if err := jsonType(r.Header); err != nil {
			return "", err
		}
		return bodyValue(r.Body, s.Path, number)
	}
	return "", errMissing
}

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
			return "", errTwice
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

// jsonType tells whether a body is JSON in UTF-8, unpacked: anything else a hall could
// read as other words than stand in it here.
func jsonType(h Header) error {
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
	value, err := property(dec, path, number)
	if err != nil {
		return "", err
	}
	if _, err := dec.Token(); err != io.EOF {
		return "", refusal("body: more than one JSON value")
	}
	return value, nil
}

func noJSON(err error) error { return refusal("body: is no JSON, or is cut short: %v", err) }

// property reads the object that comes next, to its end.
func property(dec *json.Decoder, path []string, number bool) (value string, err error) {
	tok, err := dec.Token()
	if err != nil {
		return "", noJSON(err)
	}
	if tok != json.Delim('{') {
		return "", refusal("body: an object is wanted where %q stands", path[0])
	}
	found := false
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return "", noJSON(err)
		}
		if !strings.EqualFold(name.(string), path[0]) {
			var skip json.RawMessage
			if err := dec.Decode(&skip); err != nil {
				return "", noJSON(err)
			}
			continue
		}
		if found {
			return "", errTwice
		}
		if found = true; name != path[0] {
			return "", fmt.Errorf("stands as %q: write it as described", name)
		}
		if len(path) > 1 {
			if value, err = property(dec, path[1:], number); err != nil {
				return "", err
			}
			continue
		}
		tok, err := dec.Token()
		if err != nil {
			return "", noJSON(err)
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
		return "", noJSON(err)
	}
	if !found {
		return "", errMissing
	}
	return value, nil
}
