package routing

import (
	"errors"
	"strings"
	"testing"
)

// Units are read from the one place and in the one form in which every server reads them.
func TestCharge(t *testing.T) {
	from := func(in Location, name string, defaultUnits int) *Operation {
		source := ParamSource{In: in, Name: name, Path: strings.Split(strings.TrimPrefix(name, "/"), "/")}
		return &Operation{Units: Units{
			Source: source, Min: 1, Max: 50, Default: defaultUnits, HasDefault: defaultUnits > 0,
		}}
	}
	query, byHeader := from(InQuery, "n", 0), from(InHeader, "X-Units", 0)
	body, deep := from(InBody, "/n", 3), from(InBody, "/visit/n", 0)
	for _, c := range []struct {
		op   *Operation
		r    Request
		want int // 0: rejected
	}{
		{query, Request{Query: "n=7"}, 7},
		{query, Request{Query: "a=1&n=7&b"}, 7},
		{query, Request{Query: "x=%26n=9&n=7"}, 7},
		{query, Request{Query: "n=%37"}, 7},
		{query, Request{Query: ""}, 0},
		{query, Request{Query: "n"}, 0},
		{query, Request{Query: "n="}, 0},
		{query, Request{Query: "n=7&n=7"}, 0},
		{query, Request{Query: "n=7&%6E=50"}, 0},
		{query, Request{Query: "%6e=7"}, 7},
		{query, Request{Query: "n=7&N=50"}, 0},
		{query, Request{Query: "n=7&n[]=50"}, 0},
		{query, Request{Query: "N=7"}, 0},
		{query, Request{Query: "n=7;n=50"}, 0},
		{query, Request{Query: "n=0"}, 0},
		{query, Request{Query: "n=-1"}, 0},
		{query, Request{Query: "n=51"}, 0},
		{query, Request{Query: "n=99999999999999999999"}, 0},
		{query, Request{Query: "n=07"}, 0},
		{query, Request{Query: "n=+7"}, 0},
		{query, Request{Query: "n=7.0"}, 0},
		{query, Request{Query: "n=1e1"}, 0},
		{query, Request{Query: "n=%zz"}, 0},
		{query, Request{Query: "%n=1&n=2"}, 0},
		{byHeader, Request{Header: testHeader{"x-units": {"9"}}}, 9},
		{byHeader, Request{Header: testHeader{"X-Units": {"9", "1"}}}, 0},
		{byHeader, Request{Header: testHeader{"X-Units": {"9"}, "X_Units": {"1"}}}, 0},
		{byHeader, Request{Header: testHeader{"X-Units": {"9, 1"}}}, 0},
		{byHeader, Request{Header: testHeader{}}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n": 5}`)}, 5},
		{body, Request{Header: jsonHeader, Body: []byte(`{"a":[{"n":9}],"n": 5,"b":{"n":8}}`)}, 5},
		{body, Request{Header: jsonHeader, Body: []byte(`{}`)}, 3},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":5,"n":5}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":5,"\u006e":6}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"N":5}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":1,"N":50}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":"5"}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":null}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":5.0}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":-5}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":5`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`{"n":1}{"n":50}`)}, 0},
		{body, Request{Header: jsonHeader, Body: []byte(`[{"n":1}]`)}, 0},
		{body, Request{Header: jsonHeader, Body: nil}, 0},
		{body, Request{Header: testHeader{"Content-Type": {"text/plain"}}, Body: []byte(`{"n":5}`)}, 0},
		{body, Request{Header: testHeader{"Content-Type": {"application/json; charset=utf-16"}}, Body: []byte(`{"n":5}`)}, 0},
		{body, Request{
			Header: testHeader{"Content-Type": {"application/json"}, "Content-Encoding": {"gzip"}},
			Body:   []byte(`{"n":5}`),
		}, 0},
		{body, Request{Header: testHeader{"Content-Type": {"Application/JSON; charset=UTF-8"}}, Body: []byte(`{"n":5}`)}, 5},
		{deep, Request{Header: jsonHeader, Body: []byte(`{"n":1,"visit":{"n":5}}`)}, 5},
		{deep, Request{Header: jsonHeader, Body: []byte(`{"visit":{"n":5},"visit":{"n":50}}`)}, 0},
		{deep, Request{Header: jsonHeader, Body: []byte(`{"visit":5}`)}, 0},
		{deep, Request{Header: jsonHeader, Body: []byte(`{"visit":{}}`)}, 0},
	} {
		n, err := c.op.Charge(c.r)
		_, isChargeError := errors.AsType[*ChargeError](err)
		if n != c.want || (err != nil) != (c.want == 0) || err != nil && !isChargeError {
			t.Errorf("%s of %q %s: %d, %v; want %d", c.op.Units.Source, c.r.Query, c.r.Body, n, err, c.want)
		}
	}
	keyed := &Operation{KeySource: ParamSource{In: InHeader, Name: "Idempotency-Key"}, Units: Units{Fixed: 1}}
	for _, c := range []struct {
		h    testHeader
		want bool
	}{
		{testHeader{"Idempotency-Key": {"k"}}, true},
		{testHeader{}, false},
		{testHeader{"Idempotency-Key": {""}}, false},
		{testHeader{"Idempotency-Key": {"k", "l"}}, false},
	} {
		if _, err := keyed.Charge(Request{Header: c.h}); (err == nil) != c.want {
			t.Errorf("key in %v: %v", c.h, err)
		}
	}
}
