package routing

import (
	"errors"
	"fmt"
)

// maxNumberDigits is the maximum number of digits of a number in a request, so that it fits an int.
const maxNumberDigits = 9

// Statuses of a [ChargeError] (RFC 9110, 15.5). They are not imported from net/http, since that package does I/O.
const (
	statusBadRequest           = 400
	statusUnsupportedMediaType = 415
)

// ChargeError reports why a request cannot be charged. Such a request must not be forwarded.
type ChargeError struct {
	Status int    // of the response: 400 or 415
	Text   string // for the client
}

// Error returns the text for the client.
func (e *ChargeError) Error() string { return e.Text }

// newChargeError returns an error with status 400 for a request whose parameters or body are invalid.
func newChargeError(format string, args ...any) error {
	return &ChargeError{statusBadRequest, fmt.Sprintf(format, args...)}
}

// asChargeError returns an error of a parameter as a [*ChargeError] whose text begins with the parameter. It returns a
// [*ChargeError] unchanged.
func asChargeError(source ParamSource, err error) error {
	if _, ok := errors.AsType[*ChargeError](err); ok {
		return err
	}
	return newChargeError("%s: %v", source, err)
}

// ReadKey returns the idempotency key of a request that [Operation.CheckAndReadUnits] has accepted, or "" if the
// operation has no key. path is the path of the request line.
func (o *Operation) ReadKey(r Request, path string) string {
	switch o.KeySource.In {
	case InNowhere:
		return ""
	case InPath:
		return path
	}
	key, err := o.KeySource.read(r, stringType)
	if err != nil {
		return "" // not reached after CheckAndReadUnits, which rejects such a request
	}
	return key
}

// CheckAndReadUnits returns the units of a request, and checks that the request has an idempotency key if the operation
// requires one. Since servers must read the same values, a parameter that occurs twice or in another spelling, or a
// number in any but the plain form, is a [*ChargeError].
func (o *Operation) CheckAndReadUnits(r Request) (units int, err error) {
	if err := o.checkKey(r); err != nil {
		return 0, err
	}
	if o.Units.Fixed > 0 {
		return o.Units.Fixed, nil
	}
	source := o.Units.Source
	text, err := source.read(r, numberType)
	if errors.Is(err, errMissing) && o.Units.HasDefault {
		return o.Units.Default, nil
	}
	if err != nil {
		return 0, asChargeError(source, err)
	}
	n, ok := parsePlainNumber(text)
	if !ok {
		return 0, newChargeError("%s: must be a whole number, written with digits only", source)
	}
	if n < o.Units.Min || n > o.Units.Max {
		return 0, newChargeError("%s: is outside %d to %d", source, o.Units.Min, o.Units.Max)
	}
	return n, nil
}

// checkKey checks that a request has the idempotency key that the operation requires. A key in the path is always
// present.
func (o *Operation) checkKey(r Request) error {
	if o.KeySource.In == InNowhere || o.KeySource.In == InPath {
		return nil
	}
	key, err := o.KeySource.read(r, stringType)
	if err == nil && key == "" {
		err = errMissing
	}
	if err != nil {
		return asChargeError(o.KeySource, err)
	}
	return nil
}

// parsePlainNumber parses a number of digits only. It rejects signs, exponents and leading zeros, since parsers differ
// in how they treat them (a leading zero as octal, for example).
func parsePlainNumber(text string) (n int, ok bool) {
	if len(text) == 0 || len(text) > maxNumberDigits || len(text) > 1 && text[0] == '0' {
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
