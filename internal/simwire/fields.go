package simwire

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"mulleinmux/policy"
)

// maxSeconds is the largest absolute value of a time on the wire, in seconds.
const maxSeconds = 1e9

// fields parses the values of one line in order and keeps the first error.
type fields struct {
	values []string
	next   int
	err    error
}

// left returns the number of values that have not been read.
func (f *fields) left() int { return len(f.values) - f.next }

// str reads the next value. It returns "" for an absent value, which is written as wordAbsent.
func (f *fields) str(field string) string {
	if f.next >= len(f.values) {
		if f.err == nil {
			f.err = fmt.Errorf("value of %s is missing", field)
		}
		return ""
	}
	v := f.values[f.next]
	f.next++
	if v == wordAbsent {
		return ""
	}
	if v == "" && f.err == nil {
		f.err = fmt.Errorf("value of %s is empty", field)
	}
	return v
}

// int reads an integer.
func (f *fields) int(field string) int {
	v := f.str(field)
	x, err := strconv.Atoi(v)
	if err != nil {
		f.reject(field, v)
	}
	return x
}

// uint reads a non-negative integer. An absent value is 0.
func (f *fields) uint(field string) uint64 {
	v := f.str(field)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.reject(field, v)
	}
	return x
}

// bool reads 0 or 1.
func (f *fields) bool(field string) bool {
	v := f.str(field)
	if v != "0" && v != "1" {
		f.reject(field, v)
	}
	return v == "1"
}

// bytes reads base64-encoded bytes.
func (f *fields) bytes(field string) []byte {
	v := f.str(field)
	b, err := base64.StdEncoding.DecodeString(v)
	if err != nil {
		f.reject(field, v)
	}
	return b
}

// wordValue reads a word and returns its value in meanings. An unknown word is an error and yields fallback.
func wordValue[T any](f *fields, field string, meanings map[string]T, fallback T) T {
	text := f.str(field)
	value, isKnown := meanings[text]
	if !isKnown {
		f.reject(field, text)
		return fallback
	}
	return value
}

// state reads the state of a server.
func (f *fields) state(field string) policy.ServerState {
	return wordValue(f, field, serverStates, policy.Up)
}

// result reads the result of an attempt.
func (f *fields) result(field string) policy.Result {
	return wordValue(f, field, results, policy.NotSent)
}

// seconds converts a number of seconds to a duration, rounded to microseconds.
func seconds(x float64) time.Duration {
	return time.Duration(math.Round(x*1e6)) * time.Microsecond
}

// reject records the error of an invalid value, unless there was an error before.
func (f *fields) reject(field, v string) {
	if f.err == nil {
		f.err = fmt.Errorf("invalid %s %q", field, v)
	}
}

// number reads a finite number. An absent value is 0.
func (f *fields) number(field string) float64 {
	v := f.str(field)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.reject(field, v)
	}
	return x
}

// duration reads a time in seconds.
func (f *fields) duration(field string) time.Duration {
	x := f.number(field)
	if math.Abs(x) > maxSeconds {
		f.reject(field, strconv.FormatFloat(x, 'g', -1, 64))
		return 0
	}
	return seconds(x)
}

// loadReport reads a load report and skips unknown names in it. An absent value is nil.
func (f *fields) loadReport(field string) *policy.LoadReport {
	v := f.str(field)
	if v == "" {
		return nil
	}
	l := policy.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1}
	for _, pair := range strings.Split(v, ",") {
		name, val, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(val, 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			f.reject(field, v)
			return nil
		}
		switch name {
		case reportInFlight:
			l.InFlight = x
		case reportQueueLength:
			l.QueueLength = x
		case reportUtilization:
			l.Utilization = x
		}
	}
	return &l
}
