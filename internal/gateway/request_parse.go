package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// parse matches a request to its operation and returns the request as the engine needs it. The version in force is read
// once, and the request keeps it.
func (s *clientServer) parse(r *pendingRequest, receivedAt time.Time) (policy.Request, error) {
	var err error
	if r.version, r.confirmationAge, err = s.instance.versions.forRequest(time.Now()); err != nil {
		return policy.Request{}, err
	}
	path, query, _ := strings.Cut(r.requestHead.Target, "?")
	if err := r.match(path, query); err != nil {
		return policy.Request{}, err
	}
	call := routing.Request{Query: query, Header: &r.requestHead, Body: r.body}
	if err := r.chargeAndValidate(call); err != nil {
		return policy.Request{}, err
	}
	licensee, err := r.identifyLicensee()
	if err != nil {
		return policy.Request{}, err
	}
	if err := r.setTraceID(); err != nil {
		return policy.Request{}, err
	}
	timeout, err := r.clientTimeout()
	if err != nil {
		return policy.Request{}, err
	}
	r.hasKeyOwner = s.instance.sites.keys != nil && r.operation.KeySource.In != routing.InNowhere
	if r.hasKeyOwner {
		r.key = hashKey(r.licensee, r.operation.ReadKey(call, path))
	}
	return policy.Request{
		Class:         r.operation.Class.Name,
		Plan:          licensee.Plan,
		Customer:      licensee.Customer,
		Timeout:       timeout - clientTransitTime - time.Since(receivedAt),
		Units:         float64(r.units),
		InstanceCount: s.instance.config.Settings.InstanceCount,
	}, nil
}

// chargeAndValidate sets the request's cost in units and validates the request against its operation's description.
func (r *pendingRequest) chargeAndValidate(call routing.Request) (err error) {
	if r.units, err = r.operation.CheckAndReadUnits(call); err != nil {
		return err
	}
	checker := r.version.checker
	if checker == nil {
		return nil
	}
	if err := checker.Check(r.operation, &r.requestHead, r.body); err != nil {
		return &badRequest{status: http.StatusBadRequest, text: err.Error()}
	}
	return nil
}

// match finds the operation of a request. It returns an error if servers could interpret the method or the target
// differently.
func (r *pendingRequest) match(path, query string) error {
	head, table := &r.requestHead, r.version.table
	if reason := table.CheckPath(path); reason != "" {
		return &badRequest{status: http.StatusBadRequest, text: reason}
	}
	if strings.IndexByte(query, '#') >= 0 {
		return &badRequest{status: http.StatusBadRequest, text: "the target has a fragment"}
	}
	if head.NamesConnectionFields {
		// Intermediaries drop the fields that Connection names, and the cost could depend on such a field.
		return &badRequest{status: http.StatusBadRequest,
			text: "Connection: options other than close and keep-alive are not supported"}
	}
	if err := checkOverrides(head, query); err != nil {
		return err
	}
	operation, allow, result := table.Match(head.Method, path)
	switch result {
	case routing.UnknownPath:
		return &badRequest{status: http.StatusNotFound, text: "no operation has this path"}
	case routing.UnknownMethod:
		return &badRequest{status: http.StatusMethodNotAllowed, text: "this path has no such method", allow: allow}
	case routing.Preflight:
		return &badRequest{status: http.StatusNoContent, allow: allow}
	}
	r.operation, r.counters = operation, r.version.counters[operation.Index]
	return nil
}

// identifyLicensee returns the licensee that the request names.
func (r *pendingRequest) identifyLicensee() (Licensee, error) {
	name, n := r.requestHead.Values(licenseeField)
	r.licensee = name
	if n != 1 || name == "" {
		return Licensee{}, &badRequest{status: http.StatusBadRequest,
			text: licenseeField + ": exactly one non-empty value is required"}
	}
	licensee, ok := r.version.licensees[name]
	if !ok {
		return Licensee{}, &badRequest{status: http.StatusForbidden, text: licenseeField + ": unknown licensee"}
	}
	return licensee, nil
}

// setTraceID sets the trace ID from the request's header, or a new one if there is no such header.
func (r *pendingRequest) setTraceID() error {
	trace, n := r.requestHead.Values(traceIDField)
	r.traceID = trace
	switch {
	case n == 0:
		r.traceID = newTraceID()
	case n > 1 || !isValidTraceID(trace):
		return &badRequest{status: http.StatusBadRequest, text: traceIDField + ": malformed"}
	}
	return nil
}

// newTraceID returns a random trace ID.
func newTraceID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// clientTimeout returns the timeout of the request: the value of X-Expires-In, limited to the class's deadline.
func (r *pendingRequest) clientTimeout() (time.Duration, error) {
	timeout := r.operation.Class.Deadline
	text, n := r.requestHead.Values(timeoutField)
	if n == 0 {
		return timeout, nil
	}
	seconds, ok := loadreport.ParseDecimal(text)
	if !ok || seconds <= 0 || n > 1 {
		return 0, &badRequest{status: http.StatusBadRequest, text: timeoutField + ": malformed"}
	}
	if seconds < timeout.Seconds() {
		timeout = time.Duration(seconds * float64(time.Second))
	}
	return timeout, nil
}

// hashKey returns the FNV-1a hash of a licensee's idempotency key, which is the same at all instances.
func hashKey(licensee, key string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(licensee))
	hash.Write([]byte{0})
	hash.Write([]byte(key))
	return hash.Sum64()
}

// overridingFields are header fields that some servers use in place of the method or target in the request line.
var overridingFields = [...]string{
	"X-HTTP-Method", "X-Method-Override", "X-HTTP-Method-Override", "X-Original-URL", "X-Rewrite-URL",
}

// checkOverrides returns an error if a server could use a method or target other than that of the request line.
func checkOverrides(head *httpwire.Head, query string) error {
	for i := range head.Fields {
		if field := overridingField(head.Fields[i].Name); field != "" {
			return &badRequest{status: http.StatusBadRequest,
				text: field + ": overriding the method or target of the request line is not supported"}
		}
	}
	if strings.Contains(query, "_method") {
		return &badRequest{status: http.StatusBadRequest,
			text: "_method: overriding the method of the request line is not supported"}
	}
	return nil
}

// overridingField returns the element of overridingFields that a field name matches, or "". Some servers treat "_" in a
// name as "-".
func overridingField(name string) string {
	for _, field := range overridingFields {
		if len(field) != len(name) {
			continue
		}
		if strings.EqualFold(name, field) || strings.EqualFold(strings.ReplaceAll(name, "_", "-"), field) {
			return field
		}
	}
	return ""
}

// isValidTraceID reports whether id consists of 1 to 64 ASCII letters, digits, "-", "_" and ".".
func isValidTraceID(id string) bool {
	for i := range len(id) {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}
