package routing

import (
	"errors"
	"fmt"
)

const (
	InNowhere Location = iota
	InPath
	InQuery
	InHeader
	InBody // a property of a JSON body
)

// ChargeError tells why a request can't be charged. Nothing is sent on for it.
type ChargeError struct {
	Status int // 400 or 415
	Text   string
}

func (r *ChargeError) Error() string { return r.Text }

func newChargeError(format string, args ...any) error {
	return &ChargeError{400, fmt.Sprintf(format, args...)}
}

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
			return 0, asChargeError(o.KeySource, err)
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
		return 0, asChargeError(o.Units.Source, err)
	}
	n, ok := parsePlainNumber(text)
	if !ok {
		return 0, newChargeError("%s: a whole number is wanted, in digits alone", o.Units.Source)
	}
	if n < o.Units.Min || n > o.Units.Max {
		return 0, newChargeError("%s: is outside %d to %d", o.Units.Source, o.Units.Min, o.Units.Max)
	}
	return n, nil
}

func asChargeError(s ParamSource, err error) error {
	if _, ok := errors.AsType[*ChargeError](err); ok {
		return err
	}
	return newChargeError("%s: %v", s, err)
}

// parsePlainNumber reads digits without a sign, exponent or zeros ahead, which readers take
// in different ways (octal, among others).
func parsePlainNumber(text string) (n int, ok bool) {
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
