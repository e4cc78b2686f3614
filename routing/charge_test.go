package routing

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// chargeCase is a request and its expected units. A request is accepted only if the units are in the declared parameter
// and in the only form that every server reads in the same way.
type chargeCase struct {
	request Request
	want    int // 0: rejected
}

// checkCharges charges the requests of the cases for an operation whose units are the value of one parameter.
func checkCharges(t *testing.T, in Location, name string, defaultUnits int, cases []chargeCase) {
	t.Helper()
	op := &Operation{Units: Units{
		Source: ParamSource{In: in, Name: name, Path: strings.Split(strings.TrimPrefix(name, "/"), "/")},
		Min:    1, Max: 50, Default: defaultUnits, HasDefault: defaultUnits > 0,
	}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%q %v %s", c.request.Query, c.request.Header, c.request.Body), func(t *testing.T) {
			n, err := op.CheckAndReadUnits(c.request)
			_, isChargeError := errors.AsType[*ChargeError](err)
			if n != c.want || (err != nil) != (c.want == 0) || err != nil && !isChargeError {
				t.Errorf("%s: got %d units, error %v, want %d units", op.Units.Source, n, err, c.want)
			}
		})
	}
}

func TestChargeByQuery(t *testing.T) {
	checkCharges(t, InQuery, "n", 0, []chargeCase{
		{Request{Query: "n=7"}, 7},
		{Request{Query: "a=1&n=7&b"}, 7},
		{Request{Query: "x=%26n=9&n=7"}, 7},
		{Request{Query: "n=%37"}, 7},
		{Request{Query: ""}, 0},
		{Request{Query: "n"}, 0},
		{Request{Query: "n="}, 0},
		{Request{Query: "n=7&n=7"}, 0},
		{Request{Query: "n=7&%6E=50"}, 0},
		{Request{Query: "%6e=7"}, 7},
		{Request{Query: "n=7&N=50"}, 0},
		{Request{Query: "n=7&n[]=50"}, 0},
		{Request{Query: "N=7"}, 0},
		{Request{Query: "n=7;n=50"}, 0},
		{Request{Query: "n=0"}, 0},
		{Request{Query: "n=-1"}, 0},
		{Request{Query: "n=51"}, 0},
		{Request{Query: "n=99999999999999999999"}, 0},
		{Request{Query: "n=07"}, 0},
		{Request{Query: "n=+7"}, 0},
		{Request{Query: "n=7.0"}, 0},
		{Request{Query: "n=1e1"}, 0},
		{Request{Query: "n=%zz"}, 0},
		{Request{Query: "%n=1&n=2"}, 0},
	})
}

func TestChargeByHeader(t *testing.T) {
	checkCharges(t, InHeader, "X-Units", 0, []chargeCase{
		{Request{Header: testHeader{"x-units": {"9"}}}, 9},
		{Request{Header: testHeader{"X-Units": {"9", "1"}}}, 0},
		{Request{Header: testHeader{"X-Units": {"9"}, "X_Units": {"1"}}}, 0},
		{Request{Header: testHeader{"X-Units": {"9, 1"}}}, 0},
		{Request{Header: testHeader{}}, 0},
	})
}

// TestHeaderErrors checks that the error of a header names what is wrong: a field of another spelling is no duplicate.
func TestHeaderErrors(t *testing.T) {
	op := &Operation{Units: Units{Source: ParamSource{In: InHeader, Name: "X-Units"}, Min: 1, Max: 50}}
	const other = "header X-Units: a field of a similar name, which servers could take for it, is not allowed"
	for _, c := range []struct {
		name   string
		header testHeader
		want   string
	}{
		{"missing", testHeader{}, "header X-Units: is missing"},
		{"twice", testHeader{"X-Units": {"9", "1"}}, "header X-Units: occurs more than once"},
		{"another spelling", testHeader{"X_Units": {"9"}}, other},
		{"another spelling beside it", testHeader{"X-Units": {"9"}, "X_Units": {"1"}}, other},
		{"another spelling beside two", testHeader{"X-Units": {"9", "1"}, "X_Units": {"1"}},
			"header X-Units: occurs more than once"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := op.CheckAndReadUnits(Request{Header: c.header})
			if err == nil || err.Error() != c.want {
				t.Errorf("got error %v, want %s", err, c.want)
			}
		})
	}
}

func TestChargeByBody(t *testing.T) {
	checkCharges(t, InBody, "/n", 3, []chargeCase{
		{Request{Header: jsonHeader, Body: []byte(`{"n": 5}`)}, 5},
		{Request{Header: jsonHeader, Body: []byte(`{"a":[{"n":9}],"n": 5,"b":{"n":8}}`)}, 5},
		{Request{Header: jsonHeader, Body: []byte(`{}`)}, 3},
		{Request{Header: jsonHeader, Body: []byte(`{"n":5,"n":5}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":5,"\u006e":6}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"N":5}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":1,"N":50}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":"5"}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":null}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":5.0}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":-5}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":5`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"n":1}{"n":50}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`[{"n":1}]`)}, 0},
		{Request{Header: jsonHeader, Body: nil}, 0},
		{Request{Header: testHeader{"Content-Type": {"text/plain"}}, Body: []byte(`{"n":5}`)}, 0},
		{Request{Header: testHeader{"Content-Type": {"application/json; charset=utf-16"}}, Body: []byte(`{"n":5}`)}, 0},
		{Request{
			Header: testHeader{"Content-Type": {"application/json"}, "Content-Encoding": {"gzip"}},
			Body:   []byte(`{"n":5}`),
		}, 0},
		{Request{Header: testHeader{"Content-Type": {"Application/JSON; charset=UTF-8"}}, Body: []byte(`{"n":5}`)}, 5},
	})
}

func TestChargeByNestedProperty(t *testing.T) {
	checkCharges(t, InBody, "/visit/n", 0, []chargeCase{
		{Request{Header: jsonHeader, Body: []byte(`{"n":1,"visit":{"n":5}}`)}, 5},
		{Request{Header: jsonHeader, Body: []byte(`{"visit":{"n":5},"visit":{"n":50}}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"visit":5}`)}, 0},
		{Request{Header: jsonHeader, Body: []byte(`{"visit":{}}`)}, 0},
	})
}

// TestChargeRequiresKey checks that a request of an operation with an idempotency key is rejected unless it has the key
// once.
func TestChargeRequiresKey(t *testing.T) {
	keyed := &Operation{KeySource: ParamSource{In: InHeader, Name: "Idempotency-Key"}, Units: Units{Fixed: 1}}
	for _, c := range []struct {
		name string
		h    testHeader
		want bool
	}{
		{"one", testHeader{"Idempotency-Key": {"k"}}, true},
		{"none", testHeader{}, false},
		{"empty", testHeader{"Idempotency-Key": {""}}, false},
		{"two", testHeader{"Idempotency-Key": {"k", "l"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := keyed.CheckAndReadUnits(Request{Header: c.h}); (err == nil) != c.want {
				t.Errorf("header %v: got error %v", c.h, err)
			}
		})
	}
}
