// Package testserver holds what stands outside the gateway: halls of booking servers, their
// registers, and licensees' clients. They run on loopback addresses, keep an exact account
// of what reached them, and share no code for routes or costs with the gateway, so that
// the account can be held against what the gateway counted.
package testserver

import (
	"encoding/json"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Route is one operation as a hall knows it, written by hand.
type Route struct {
	Operation, Method, Template string
	Effect                      string // "safe", "keyed" or "unsafe"
	Work                        time.Duration
	Units                       func(version int, r *http.Request, body []byte) int
}

// Lookup finds the route of a request in the slow and obvious way, as lenient as any
// server might be: the path is decoded, cleaned, freed of parameters and of a slash at
// its end, and a method may be overridden. Of two templates the one that is literal at
// the first segment in which they differ counts.
func Lookup(routes []Route, method, target string, h http.Header) *Route {
	for _, name := range []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"} {
		if v := h.Get(name); v != "" {
			method = v
		}
	}
	raw, _, _ := strings.Cut(target, "?")
	p, err := url.PathUnescape(raw)
	if err != nil {
		return nil
	}
	p = strings.ReplaceAll(p, "\\", "/")
	segs := strings.Split(p, "/")
	for i := range segs {
		segs[i], _, _ = strings.Cut(segs[i], ";")
	}
	p = path.Clean(strings.Join(segs, "/"))
	var best *Route
	for i := range routes {
		r := &routes[i]
		if (r.Method == method || method == "HEAD" && r.Method == "GET") && fits(r.Template, p) &&
			(best == nil || narrower(r.Template, best.Template)) {
			best = r
		}
	}
	return best
}

func fits(template, p string) bool {
	ts, ps := strings.Split(template, "/"), strings.Split(p, "/")
	if len(ts) != len(ps) {
		return false
	}
	for i := range ts {
		before, rest, param := strings.Cut(ts[i], "{")
		if !param {
			if ts[i] != ps[i] {
				return false
			}
			continue
		}
		_, after, _ := strings.Cut(rest, "}")
		if len(ps[i]) <= len(before)+len(after) || !strings.HasPrefix(ps[i], before) || !strings.HasSuffix(ps[i], after) {
			return false
		}
	}
	return true
}

func narrower(a, b string) bool {
	as, bs := strings.Split(a, "/"), strings.Split(b, "/")
	rank := func(s string) int { // literal, partly literal, parameter
		before, rest, param := strings.Cut(s, "{")
		_, after, _ := strings.Cut(rest, "}")
		if !param {
			return 1 << 20
		}
		return len(before) + len(after)
	}
	for i := range as {
		if x, y := rank(as[i]), rank(bs[i]); x != y {
			return x > y
		}
	}
	return false
}

// QueryUnits reads units from a query parameter as an app server would; d is the default where there is none.
func QueryUnits(name string, d int) func(int, *http.Request, []byte) int {
	return func(_ int, r *http.Request, _ []byte) int { return atoi(r.URL.Query().Get(name), d) }
}

// HeaderUnits reads units from a header field, as [QueryUnits] does from the query.
func HeaderUnits(name string, d int) func(int, *http.Request, []byte) int {
	return func(_ int, r *http.Request, _ []byte) int { return atoi(r.Header.Get(name), d) }
}

// BodyUnits reads units from the property of a JSON body that the names lead to; -1 if the body is no JSON.
func BodyUnits(d int, names ...string) func(int, *http.Request, []byte) int {
	return func(_ int, _ *http.Request, body []byte) int {
		var v any
		if json.Unmarshal(body, &v) != nil {
			return -1
		}
		for _, name := range names {
			m, _ := v.(map[string]any)
			v = m[name]
		}
		if x, ok := v.(float64); ok {
			return int(x)
		}
		return d
	}
}

// FixedUnits are the same for every request.
func FixedUnits(n int) func(int, *http.Request, []byte) int {
	return func(int, *http.Request, []byte) int { return n }
}

func atoi(text string, d int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return d
	}
	return n
}

// Arrival is one request that came whole to a server.
type Arrival struct {
	Site, Server, Operation, Effect string
	Trace, Key, Licensee            string
	Version, Units                  int
	At, Ended                       time.Time     // Ended: its answer was written or its connection ended
	Ran                             bool          // it may have had its effect, or will have
	Effected                        bool          // it had it: its key was not remembered
	Draining                        time.Duration // since the list said that the server drains; 0: it did not
	Status                          int           // 0: no answer
}

// Ledger is the account of all halls.
type Ledger struct {
	mu       sync.Mutex
	arrivals []*Arrival
	strays   []string // requests that no route knows
	fallen   []string // servers that were pushed over
}

func (l *Ledger) add(a *Arrival) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mu.Unlock()
}

func (l *Ledger) stray(text string) {
	l.mu.Lock()
	l.strays = append(l.strays, text)
	l.mu.Unlock()
}

// Arrivals returns the requests that the servers have recorded so far.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Arrival, len(l.arrivals))
	for i, a := range l.arrivals {
		out[i] = *a
	}
	return out
}

// Strays returns the requests that no route of the servers matched, as text.
func (l *Ledger) Strays() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.strays...)
}

// Collapsed returns the servers that collapsed under overload, as site/server.
func (l *Ledger) Collapsed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.fallen...)
}

// change changes an arrival under the ledger's mutex.
func (l *Ledger) change(f func()) {
	l.mu.Lock()
	f()
	l.mu.Unlock()
}
