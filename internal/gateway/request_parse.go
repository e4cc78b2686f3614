package gateway

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// parse finds a request's operation and what the module must know of it. The version in
// force is read once: the request keeps it.
func (f *clientServer) parse(fl *pendingRequest, began time.Time) (q policy.Request, err error) {
	h := &fl.requestHead
	// First its standing, then the version: a version may be put in force in between, which is
	// confirmed then as well.
	fl.confirmationAge, fl.version = 0, nil
	if f.instance.config.Agreement != nil {
		var serves bool
		if fl.confirmationAge, serves = f.instance.Confirmation(began); !serves {
			f.instance.unconfirmedCount.Add(1)
			return q, errUnconfirmed
		}
	}
	v := f.instance.version.Load()
	fl.version = v
	path, query, _ := strings.Cut(h.Target, "?")
	if reason := v.table.CheckPath(path); reason != "" {
		return q, &badRequest{status: http.StatusBadRequest, text: reason}
	}
	if strings.IndexByte(query, '#') >= 0 {
		return q, &badRequest{status: http.StatusBadRequest, text: "the target has a fragment"}
	}
	if h.Nominated {
		// A field that Connection names is dropped on the way: the cost could stand in it.
		return q, &badRequest{status: http.StatusBadRequest, text: "Connection: names other fields than close and keep-alive"}
	}
	if err := overridesTarget(h, query); err != nil {
		return q, err
	}
	op, allow, a := v.table.Match(h.Method, path)
	switch a {
	case routing.UnknownPath:
		return q, &badRequest{status: http.StatusNotFound, text: "no operation has this path"}
	case routing.UnknownMethod:
		return q, &badRequest{status: http.StatusMethodNotAllowed, text: "this path has no such method", allow: allow}
	case routing.Preflight:
		return q, &badRequest{status: http.StatusNoContent, allow: allow}
	}
	fl.operation, fl.counters = op, v.counters[op.Index]
	units, err := op.Charge(routing.Request{Query: query, Head: h, Body: fl.body})
	if err != nil {
		return q, err
	}
	if v.checker != nil {
		if err := v.checker.Check(op, h, fl.body); err != nil {
			return q, &badRequest{status: http.StatusBadRequest, text: err.Error()}
		}
	}
	var n int
	if fl.licensee, n = h.Values("X-Licensee"); n != 1 || fl.licensee == "" {
		return q, &badRequest{status: http.StatusBadRequest, text: "X-Licensee: one is wanted"}
	}
	l, ok := v.licensees[fl.licensee]
	if !ok {
		return q, &badRequest{status: http.StatusForbidden, text: "X-Licensee: is not known"}
	}
	if fl.trace, n = h.Values("X-Trace-Id"); n > 1 || n == 1 && !validTrace(fl.trace) {
		return q, &badRequest{status: http.StatusBadRequest, text: "X-Trace-Id: malformed"}
	} else if n == 0 {
		fl.trace = newTrace()
	}
	grace := op.Class.Deadline
	if text, n := h.Values("X-Expires-In"); n > 0 {
		s, ok := loadreport.Decimal(text)
		if !ok || s <= 0 || n > 1 {
			return q, &badRequest{status: http.StatusBadRequest, text: "X-Expires-In: malformed"}
		}
		if s < grace.Seconds() { // nobody waits for longer than the class's clients do
			grace = time.Duration(s * float64(time.Second))
		}
	}
	fl.units = units
	if fl.hasKeyOwner = f.instance.keys != nil && op.Key.In != routing.Nowhere; fl.hasKeyOwner {
		fl.key = keyNumber(fl.licensee, op.KeyOf(routing.Request{Query: query, Head: h, Body: fl.body}, path))
	}
	return policy.Request{Class: op.Class.Name, Plan: l.Plan, Customer: l.Customer, Timeout: grace - clientTransit - time.Since(began),
		Units: float64(units), InstanceCount: f.instance.config.Settings.InstanceCount}, nil
}

// keyNumber gives a licensee's key its number, the same at every instance (FNV-1a).
func keyNumber(licensee, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(licensee))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return h.Sum64()
}

// overridesTarget turns down what makes a server take a request for another than its line
// says.
func overridesTarget(h *httpwire.Head, query string) error {
	for i := range h.Fields {
		switch n := h.Fields[i].Name; len(n) {
		case 13, 17, 22, 14:
			for _, o := range [...]string{"X-HTTP-Method", "X-Method-Override", "X-HTTP-Method-Override", "X-Original-URL", "X-Rewrite-URL"} {
				if len(o) == len(n) && (strings.EqualFold(n, o) || strings.EqualFold(strings.ReplaceAll(n, "_", "-"), o)) {
					return &badRequest{status: http.StatusBadRequest, text: o + ": the method and path are those of the request's line"}
				}
			}
		}
	}
	if strings.Contains(query, "_method") {
		return &badRequest{status: http.StatusBadRequest, text: "_method: the method is that of the request's line"}
	}
	return nil
}

func validTrace(id string) bool {
	for i := range len(id) {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}
