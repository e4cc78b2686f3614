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
	clientTransitDelay = 10 * time.Millisecond // subtracted from a client's timeout, which starts when the client sends
	defaultMaxUnits    = 1e6                   // of one request, if the settings set no limit
	maxIDLength        = 64
	customerDigits     = 16 // hexadecimal digits of a customer's number
	maxCustomerBits    = 33
)

// parseRequest parses a request's head. engineRequest is passed to the engine; forwarded is sent to an app server and
// has no body yet. The error is a badRequestError.
func (s *clientServer) parseRequest(r *http.Request) (
	engineRequest policy.Request, forwarded serverRequest, err error,
) {
	header := func(name string) (value string) {
		if err == nil {
			value, err = singleHeader(r, name)
		}
		return value
	}
	engineRequest.ID = header(headerRequestID)
	engineRequest.Class = header(headerClass)
	engineRequest.Plan = header(headerPlan)
	expiresIn := header(headerTimeout)
	metering := header(headerMetering)
	if err != nil {
		return engineRequest, forwarded, err
	}
	class, err := s.checkNames(r, &engineRequest)
	if err != nil {
		return engineRequest, forwarded, err
	}
	if engineRequest.Timeout, err = parseTimeout(expiresIn, class.Deadline); err != nil {
		return engineRequest, forwarded, err
	}
	if engineRequest.Customer, err = parseCustomer(r.URL.RawQuery); err != nil {
		return engineRequest, forwarded, err
	}
	if err = s.parseMetering(metering, &engineRequest); err != nil {
		return engineRequest, forwarded, err
	}
	forwarded, err = forwardedRequest(r, engineRequest.ID, class.Idempotency)
	return engineRequest, forwarded, err
}

// checkNames validates a request's ID, class and plan, and returns the class.
func (s *clientServer) checkNames(r *http.Request, engineRequest *policy.Request) (policy.Class, error) {
	class, isKnown := s.classes[engineRequest.Class]
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !isValidID(engineRequest.ID):
		return class, badRequestf(headerRequestID + ": malformed")
	case !isKnown:
		return class, badRequestf(headerClass + ": unknown class")
	case firstSegment != engineRequest.Class || !strings.HasPrefix(r.RequestURI, "/"):
		return class, badRequestf("path: does not begin with the class")
	case !s.plans[engineRequest.Plan]:
		return class, badRequestf(headerPlan + ": unknown plan")
	}
	return class, nil
}

// parseTimeout parses the client's timeout from its header. It is limited to the class's deadline, so that requests
// can't pile up.
func parseTimeout(text string, deadline time.Duration) (time.Duration, error) {
	seconds, isNumber := loadreport.ParseDecimal(text)
	if !isNumber || seconds <= 0 {
		return 0, badRequestf(headerTimeout + ": malformed")
	}
	seconds = math.Min(seconds, deadline.Seconds())
	return time.Duration(seconds*float64(time.Second)) - clientTransitDelay, nil
}

// singleHeader returns the value of a header that must have exactly one value.
func singleHeader(r *http.Request, name string) (string, error) {
	values := r.Header[name]
	if len(values) != 1 || values[0] == "" {
		return "", badRequestf("%s: exactly one non-empty value is required (got %d values)", name, len(values))
	}
	return values[0], nil
}

// forwardedRequest returns the request to be sent to an app server, without its body. It checks the method and the
// headers against the idempotency of the request's class.
func forwardedRequest(r *http.Request, id string, idempotency policy.Idempotency) (forwarded serverRequest, err error) {
	forwarded = serverRequest{target: r.RequestURI, host: r.Host, id: id, contentType: r.Header.Get("Content-Type")}
	forwarded.method = http.MethodPost
	if idempotency == policy.Idempotent {
		forwarded.method = http.MethodGet
	}
	if r.Method != forwarded.method {
		return forwarded, &badRequestError{
			status: http.StatusMethodNotAllowed,
			text:   "method: the class requires " + forwarded.method,
			allow:  forwarded.method,
		}
	}
	if idempotency == policy.Idempotent && r.ContentLength != 0 {
		return forwarded, badRequestf("body: not allowed for this class")
	}
	if idempotency == policy.IdempotentWithKey {
		forwarded.key, err = singleHeader(r, headerIdempotencyKey)
	} else {
		forwarded.key = r.Header.Get(headerIdempotencyKey)
	}
	return forwarded, err
}

// isValidID reports whether an ID consists of 1 to maxIDLength letters, digits and characters of "-_.".
func isValidID(id string) bool {
	for i := 0; i < len(id); i++ {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxIDLength
}

// parseCustomer parses the customer from the query: 16 hexadecimal digits, a number below 2^33.
func parseCustomer(query string) (uint64, error) {
	values, err := url.ParseQuery(query)
	if err != nil || len(values[queryCustomer]) != 1 {
		return 0, badRequestf(queryCustomer + ": missing or malformed")
	}
	text := values[queryCustomer][0]
	x, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != customerDigits || x >= 1<<maxCustomerBits {
		return 0, badRequestf(queryCustomer + ": missing or malformed")
	}
	return x, nil
}

// parseMetering parses a request's units and the instances that serve its customer. Values that no valid client sends
// must not reach the engine, because they would count towards the customer's quota at every node.
func (s *clientServer) parseMetering(text string, engineRequest *policy.Request) error {
	settings := &s.node.cfg.Settings
	maxUnits := settings.MaxUnits
	if maxUnits <= 0 {
		maxUnits = defaultMaxUnits
	}
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return badRequestf(headerMetering+": %q is given twice", name)
		}
		seen[name] = true
		isValid := true
		switch name {
		case meteringUnits:
			engineRequest.Units, isValid = loadreport.ParseDecimal(value)
			isValid = isValid && engineRequest.Units > 0 && engineRequest.Units <= maxUnits
		case meteringInstanceCount:
			engineRequest.InstanceCount, isValid = parseIntIn(value, 1, settings.InstanceCount)
		case meteringFirstInstance:
			engineRequest.FirstInstance, isValid = parseIntIn(value, 0, settings.InstanceCount-1)
		}
		if !isValid {
			return badRequestf(headerMetering+": %s is malformed or out of range", name)
		}
	}
	if !seen[meteringUnits] || !seen[meteringInstanceCount] || !seen[meteringFirstInstance] {
		return badRequestf(headerMetering + ": units, spread or first is missing")
	}
	offset := (settings.InstanceIndex - engineRequest.FirstInstance + settings.InstanceCount) % settings.InstanceCount
	if offset >= engineRequest.InstanceCount {
		return badRequestf(headerMetering + ": this node does not serve the customer")
	}
	return nil
}

// parseIntIn parses an integer and reports whether it is within the limits.
func parseIntIn(text string, smallest, largest int) (int, bool) {
	x, isNumber := loadreport.ParseDecimal(text)
	return int(x), isNumber && x == math.Trunc(x) && x >= float64(smallest) && x <= float64(largest)
}

// badRequestError is an error in a client's request. Its status is never that of a rejection, which a client would
// retry.
type badRequestError struct {
	status int
	text   string
	allow  string // the class's method, for the Allow header; empty if there is none
}

// Error returns the text of the response.
func (e *badRequestError) Error() string { return e.text }

// badRequestf returns an error whose response has the status 400 Bad Request.
func badRequestf(format string, args ...any) error {
	return &badRequestError{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}
