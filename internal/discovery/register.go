// Package register follows a register of app servers: it reads the list and its changes
// as the register's agent tells them (HTTP/1.1, one JSON object a line).
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"mulleinmux/policy"
)

// EndpointList is one message of the register.
type EndpointList struct {
	Generation uint64
	IsComplete bool // the complete list: a server missing from it is gone
	Servers    []Endpoint
}

// Endpoint is one app server and where it listens.
type Endpoint struct {
	policy.Server
	Addr netip.AddrPort
}

// maxList bounds one message of discovery.
const maxList = 4 << 20

// ParseEndpointList parses one message of discovery. An entry that can't be is left out, or one
// would cost all others; the errors name each.
func ParseEndpointList(text []byte) (l EndpointList, left []error, err error) {
	var raw struct {
		Generation uint64
		Reset      bool
		Instances  []json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return EndpointList{}, nil, err
	}
	l = EndpointList{Generation: raw.Generation, IsComplete: raw.Reset}
	for i, text := range raw.Instances {
		s, err := parseInstance(text)
		if err != nil {
			left = append(left, fmt.Errorf("instances[%d].%w", i, err))
			continue
		}
		l.Servers = append(l.Servers, s)
	}
	return l, left, nil
}

// parseInstance parses one entry; an error names the field.
func parseInstance(text []byte) (Endpoint, error) {
	var e struct {
		InstanceID  string
		HostPort    string
		Zone        string
		MachineType string
		Cell        int
		Lifecycle   string
		Weight      float64
		StartedAtMs float64
	}
	if err := json.Unmarshal(text, &e); err != nil {
		if te, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			return Endpoint{}, fmt.Errorf("%s: is a %s", te.Field, te.Value)
		}
		return Endpoint{}, err
	}
	s := Endpoint{Server: policy.Server{ID: e.InstanceID, Weight: e.Weight, Kind: e.MachineType, Zone: e.Zone,
		Cell: e.Cell, StartedAt: time.Duration(e.StartedAtMs * float64(time.Millisecond))}}
	if s.ID == "" {
		return Endpoint{}, errors.New("instanceId: is empty")
	}
	switch e.Lifecycle {
	case "up":
		s.State = policy.Up
	case "draining":
		s.State = policy.Draining
	case "removed":
		s.State = policy.Removed
	default:
		return Endpoint{}, fmt.Errorf("lifecycle: unknown word %q", e.Lifecycle)
	}
	if e.Weight < 0 {
		return Endpoint{}, fmt.Errorf("weight: %v is negative", e.Weight)
	}
	if e.StartedAtMs < 0 || e.StartedAtMs > math.MaxInt64/float64(time.Millisecond) {
		return Endpoint{}, fmt.Errorf("startedAtMs: %v is out of range", e.StartedAtMs)
	}
	var err error
	if s.Addr, err = ParseAddress("hostPort", e.HostPort); err != nil && s.State != policy.Removed {
		return Endpoint{}, err
	}
	return s, nil
}

// SilenceTimeout is how long a watch may say nothing before it is given up: a line comes every 2 s, and what is told counts as known 6 s
// later at the latest.
const SilenceTimeout = 3 * time.Second

// An agent runs on the node's own machine, answers at once and at no cost, and what it has counts as told at once, whether or not a
// watch is open. So nothing is gained by waiting for it: while it is down, a watch is open all but a moment of the time.
const (
	nearConnect = 250 * time.Millisecond // a connection on one machine is made at once or not at all
	nearAnswer  = time.Second            // of an agent that is up, for the first line of a watch
	nearPause   = 50 * time.Millisecond  // between watches; a drain that is told meanwhile has a grace of several times that
	listSilents = 4                      // silences that one list may take to come, in pieces
)

// Watcher follows the changes of the list of app servers. Its fields are set before Run.
type Watcher struct {
	Addr           netip.AddrPort
	SilenceTimeout time.Duration      // the constant Silent but in tests
	LastGeneration uint64             // the version that is held; 0: none
	IsLocalAgent   bool               // Addr is an agent on this machine to which lists are pushed, and not a register that a fleet asks
	Backoff        *Backoff           // of calls that are not Near; nil: that of a node alone
	OnList         func(EndpointList) // called by Run, one list at a time
	OnFailure      func()             // called by Run after a watch on which nothing was heard; may be nil
	Logf           func(format string, args ...any)

	down bool // the latest watch ended and nothing has been heard since
	torn bool // it ended with a list that can't be read, which may come again
}

// Run watches until ctx ends. A watch that breaks, ends or falls silent is opened again from the version held: at an agent
// at once, else after a pause that grows while nothing comes.
func (r *Watcher) Run(ctx context.Context) {
	connect := r.SilenceTimeout
	if r.IsLocalAgent {
		connect = min(connect, nearConnect)
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: connect}).DialContext,
		DisableKeepAlives: true, // each watch is a connection of its own
	}}
	pace := r.Backoff
	if pace == nil || r.IsLocalAgent { // an agent serves one node
		pace = NewBackoff(1, 0)
	}
	for {
		heard, err := r.watch(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if !r.down { // one line for an outage, however often the watch is tried
			r.down = true
			r.Logf("discovery: watch ended: %v", err)
		}
		if !heard && r.OnFailure != nil {
			r.OnFailure()
		}
		again := r.IsLocalAgent && !r.torn // at an agent only lists that can't be read make the pause grow
		pause := pace.NextDelay(heard || again)
		if again {
			pause = nearPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// watch follows one watch to its end, which always has a reason, and tells
// whether anything was heard on it.
func (r *Watcher) watch(ctx context.Context, client *http.Client) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first := r.SilenceTimeout
	if r.IsLocalAgent {
		first = min(first, nearAnswer)
	}
	silence := time.AfterFunc(first, func() { cancel(errors.New("silent for too long")) })
	defer silence.Stop()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	r.torn = false
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", r.Addr, r.LastGeneration)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %s", resp.Status)
	}
	// What was said is lost with a list that can't be read: only the whole list can make up for it. It
	// may come malformed again, so that the pause must go on growing.
	malformed := func(err error) (bool, error) {
		r.LastGeneration, r.torn = 0, true
		return false, fmt.Errorf("malformed list: %w", err)
	}
	// A list may be long and come in pieces: each is a sign of life, but one list may not take for ever.
	body := &pieces{Reader: resp.Body}
	body.came = func() {
		if silence.Reset(r.SilenceTimeout); !body.begun.IsZero() && time.Since(body.begun) > listSilents*r.SilenceTimeout {
			cancel(errors.New("a list comes too slowly"))
		}
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxList)
	var f frame
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if r.down {
			r.down = false
			r.Logf("discovery: watching again")
		}
		if len(line) == 0 {
			if heard = true; f.open() {
				return malformed(errors.New("breaks off"))
			}
			continue
		}
		whole, err := f.add(line)
		if err != nil {
			return malformed(err)
		}
		if !whole {
			continue // indented: it goes on in the next line
		}
		body.begun = time.Time{}
		l, left, err := ParseEndpointList(f.take())
		if err != nil {
			return malformed(err)
		}
		if len(left) > 0 { // one line for each list, however many entries
			r.Logf("discovery: %d entries left out, the first: %v", len(left), left[0])
		}
		r.LastGeneration = l.Generation
		r.OnList(l)
		heard = true
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return malformed(err)
	} else if err != nil {
		return heard, err
	}
	if f.open() {
		return malformed(io.ErrUnexpectedEOF)
	}
	return heard, io.EOF
}

// pieces tells of each piece that comes.
type pieces struct {
	io.Reader
	came  func()
	begun time.Time // when the first of the list under way came; zero: none is
}

func (p *pieces) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		if p.begun.IsZero() && len(bytes.TrimSpace(b[:n])) > 0 {
			p.begun = time.Now()
		}
		p.came()
	}
	return n, err
}

// frame puts the lines of one JSON object together, which may be indented over many.
type frame struct {
	text    []byte
	depth   int
	quoted  bool
	escaped bool
}

func (f *frame) open() bool { return len(f.text) > 0 }

// add takes in a line, with no space around it, and tells whether the object is whole.
func (f *frame) add(line []byte) (whole bool, err error) {
	if !f.open() && line[0] != '{' {
		return false, errors.New("is no object")
	}
	if len(f.text)+len(line) > maxList {
		return false, fmt.Errorf("over %d bytes", maxList)
	}
	f.text = append(f.text, line...)
	for i, c := range line {
		switch {
		case f.escaped:
			f.escaped = false
		case f.quoted:
			f.escaped, f.quoted = c == '\\', c != '"'
		case c == '"':
			f.quoted = true
		case c == '{' || c == '[':
			f.depth++
		case c == '}' || c == ']':
			if f.depth--; f.depth == 0 && i < len(line)-1 {
				return false, errors.New("has something behind its end")
			}
		}
	}
	if f.quoted { // no string goes on in the next line
		return false, errors.New("breaks off")
	}
	return f.depth <= 0, nil
}

// take returns the object and begins anew.
func (f *frame) take() []byte {
	text := f.text
	*f = frame{}
	return text
}

// ParseAddress parses an address with a port; an error names the field.
func ParseAddress(field, v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, fmt.Errorf("%s: %w", field, err)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}
