package edgeproxy

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
)

const (
	clientTransitDelay = 10 * time.Millisecond // taken off a client's timeout, which counts from its send
	defaultMaxUnits    = 1e6                   // of one request, where the settings name no limit
	maxIDLength        = 64
	maxCustomerBits    = 33
)

// parseRequest reads a request's head.
func (s *clientServer) parseRequest(r *http.Request) (q policy.Request, m serverRequest, err error) {
	header := func(name string) string {
		v := r.Header[name]
		if len(v) != 1 || v[0] == "" {
			if err == nil {
				err = badRequestf("%s: %d values where one is wanted", name, len(v))
			}
			return ""
		}
		return v[0]
	}
	q.ID, q.Class, q.Plan = header("X-Trace-Id"), header("X-Qos"), header("X-Contract")
	expires, metering := header("X-Expires-In"), header("X-Metering")
	if err != nil {
		return q, m, err
	}
	class, known := s.classes[q.Class]
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !isValidID(q.ID):
		return q, m, badRequestf("X-Trace-Id: malformed")
	case !known:
		return q, m, badRequestf("X-Qos: unknown class")
	case first != q.Class || !strings.HasPrefix(r.RequestURI, "/"):
		return q, m, badRequestf("path: does not begin with the class")
	case !s.plans[q.Plan]:
		return q, m, badRequestf("X-Contract: unknown plan")
	}
	seconds, ok := loadreport.Decimal(expires)
	if !ok || seconds <= 0 {
		return q, m, badRequestf("X-Expires-In: malformed")
	}
	// Nobody waits for longer than the class's clients do: requests must not pile up.
	seconds = math.Min(seconds, class.Deadline.Seconds())
	q.Timeout = time.Duration(seconds*float64(time.Second)) - clientTransitDelay
	if q.Customer, err = parseCustomer(r.URL.RawQuery); err != nil {
		return q, m, err
	}
	if err = s.parseMetering(metering, &q); err != nil {
		return q, m, err
	}
	m = serverRequest{target: r.RequestURI, host: r.Host, id: q.ID, contentType: r.Header.Get("Content-Type")}
	m.method = http.MethodPost
	if class.Idempotency == policy.Idempotent {
		m.method = http.MethodGet
	}
	if r.Method != m.method {
		return q, m, &badRequestError{http.StatusMethodNotAllowed, "method: the class wants " + m.method, m.method}
	}
	if class.Idempotency == policy.Idempotent && r.ContentLength != 0 {
		return q, m, badRequestf("body: the class has none")
	}
	if class.Idempotency == policy.IdempotentWithKey {
		m.key = header("Idempotency-Key")
	} else {
		m.key = r.Header.Get("Idempotency-Key")
	}
	return q, m, err
}

// isValidID tells whether an id is one word of ordinary characters.
func isValidID(id string) bool {
	for i := 0; i < len(id); i++ {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxIDLength
}

// parseCustomer takes the customer from the query: 16 hex digits, a number below 2^33.
func parseCustomer(query string) (uint64, error) {
	vals, err := url.ParseQuery(query)
	if err != nil || len(vals["customer"]) != 1 {
		return 0, badRequestf("customer: missing or malformed")
	}
	v := vals["customer"][0]
	x, err := strconv.ParseUint(v, 16, 64)
	if err != nil || len(v) != 16 || x >= 1<<maxCustomerBits {
		return 0, badRequestf("customer: missing or malformed")
	}
	return x, nil
}

// parseMetering takes units, spread and first from X-Metering. What can't be of a usual client
// must not reach the module: it would mark the customer's store in everybody's name.
func (s *clientServer) parseMetering(text string, q *policy.Request) error {
	set := &s.node.cfg.Settings
	number := func(val string, least, most int) (int, bool) {
		x, ok := loadreport.Decimal(val)
		return int(x), ok && x == math.Trunc(x) && x >= float64(least) && x <= float64(most)
	}
	most := set.MaxUnits
	if most <= 0 {
		most = defaultMaxUnits
	}
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return badRequestf("X-Metering: %q stands twice", name)
		}
		seen[name] = true
		ok := true
		switch name {
		case "units":
			q.Units, ok = loadreport.Decimal(val)
			ok = ok && q.Units > 0 && q.Units <= most
		case "spread":
			q.InstanceCount, ok = number(val, 1, set.InstanceCount)
		case "first":
			q.FirstInstance, ok = number(val, 0, set.InstanceCount-1)
		}
		if !ok {
			return badRequestf("X-Metering: %s is malformed or out of range", name)
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return badRequestf("X-Metering: units, spread or first is missing")
	}
	if (set.InstanceIndex-q.FirstInstance+set.InstanceCount)%set.InstanceCount >= q.InstanceCount {
		return badRequestf("X-Metering: the customer does not come through this node")
	}
	return nil
}

// badRequestError is an error in what a client sent. None is worded as a refusal.
type badRequestError struct {
	status int
	text   string
	allow  string // the method that the class wants
}

func (e *badRequestError) Error() string { return e.text }

func badRequestf(format string, args ...any) error {
	return &badRequestError{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}
