package testserver

import (
	"encoding/json"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"
)

// Effect is the effect of a repeat of an operation.
type Effect int

// Effects of operations.
const (
	Idempotent        Effect = iota // a repeat has no further effect
	IdempotentWithKey               // a repeat with the same idempotency key has none
	NonIdempotent                   // a repeat has its effect again
)

// Route is one operation of a site. Routes are written by hand, not derived from the description.
type Route struct {
	Operation, Method, Template string
	Effect                      Effect
	Work                        time.Duration // core time of a warm server
	Units                       func(version int, r *http.Request, body []byte) int
}

// Lookup finds the route of a request, or nil, as leniently as any server might: the
// path is decoded and cleaned, segment parameters and a trailing slash are removed, and
// headers may override the method. Of two matching templates, the one that is more
// specific at the first differing segment takes precedence.
func Lookup(routes []Route, method, target string, header http.Header) *Route {
	for _, name := range []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"} {
		if override := header.Get(name); override != "" {
			method = override
		}
	}
	cleanPath, err := lenientPath(target)
	if err != nil {
		return nil
	}
	var best *Route
	for i := range routes {
		route := &routes[i]
		if !route.serves(method) || !matches(route.Template, cleanPath) {
			continue
		}
		if best == nil || isMoreSpecific(route.Template, best.Template) {
			best = route
		}
	}
	return best
}

// serves reports whether the route answers a method: its own, and HEAD if its own is GET.
func (route *Route) serves(method string) bool {
	return route.Method == method || method == http.MethodHead && route.Method == http.MethodGet
}

// lenientPath returns the decoded and cleaned path of a request target, without the parameters of its segments.
func lenientPath(target string) (string, error) {
	rawPath, _, _ := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(rawPath)
	if err != nil {
		return "", err
	}
	segments := strings.Split(strings.ReplaceAll(decoded, "\\", "/"), "/")
	for i := range segments {
		segments[i], _, _ = strings.Cut(segments[i], ";")
	}
	return path.Clean(strings.Join(segments, "/")), nil
}

// matches reports whether a path fits a template.
func matches(template, cleanPath string) bool {
	templateSegments := strings.Split(template, "/")
	pathSegments := strings.Split(cleanPath, "/")
	if len(templateSegments) != len(pathSegments) {
		return false
	}
	for i := range templateSegments {
		if !segmentMatches(templateSegments[i], pathSegments[i]) {
			return false
		}
	}
	return true
}

// segmentMatches reports whether a segment of a path fits one of a template. A parameter stands for at least one byte.
func segmentMatches(templateSegment, segment string) bool {
	before, rest, isParameter := strings.Cut(templateSegment, "{")
	if !isParameter {
		return templateSegment == segment
	}
	_, after, _ := strings.Cut(rest, "}")
	return len(segment) > len(before)+len(after) &&
		strings.HasPrefix(segment, before) && strings.HasSuffix(segment, after)
}

// isMoreSpecific reports whether template a takes precedence over b.
func isMoreSpecific(a, b string) bool {
	segmentsOfA := strings.Split(a, "/")
	segmentsOfB := strings.Split(b, "/")
	for i := range segmentsOfA {
		rankOfA := segmentRank(segmentsOfA[i])
		rankOfB := segmentRank(segmentsOfB[i])
		if rankOfA != rankOfB {
			return rankOfA > rankOfB
		}
	}
	return false
}

// literalRank is the rank of a segment without a parameter, above that of any with one.
const literalRank = 1 << 20

// segmentRank ranks a segment of a template: literal ones first, then those with more literal text.
func segmentRank(segment string) int {
	before, rest, isParameter := strings.Cut(segment, "{")
	_, after, _ := strings.Cut(rest, "}")
	if !isParameter {
		return literalRank
	}
	return len(before) + len(after)
}

// QueryUnits reads units from a query parameter. They are defaultUnits if it is absent or not a number.
func QueryUnits(name string, defaultUnits int) func(int, *http.Request, []byte) int {
	return func(_ int, r *http.Request, _ []byte) int { return atoi(r.URL.Query().Get(name), defaultUnits) }
}

// HeaderUnits reads units from a header field, as [QueryUnits] does from a query parameter.
func HeaderUnits(name string, defaultUnits int) func(int, *http.Request, []byte) int {
	return func(_ int, r *http.Request, _ []byte) int { return atoi(r.Header.Get(name), defaultUnits) }
}

// BodyUnits reads units from the property at the path of names in a JSON body. They are defaultUnits if that is not a
// number, and -1 if the body is not valid JSON.
func BodyUnits(defaultUnits int, names ...string) func(int, *http.Request, []byte) int {
	return func(_ int, _ *http.Request, body []byte) int {
		var value any
		if json.Unmarshal(body, &value) != nil {
			return -1
		}
		for _, name := range names {
			object, _ := value.(map[string]any)
			value = object[name]
		}
		if number, ok := value.(float64); ok {
			return int(number)
		}
		return defaultUnits
	}
}

// atoi returns the number in text, or defaultNumber if text is not a number.
func atoi(text string, defaultNumber int) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		return defaultNumber
	}
	return number
}
