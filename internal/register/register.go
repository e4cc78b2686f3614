// Package register follows a register of app servers: it reads the list and its changes
// as the register's agent tells them (HTTP/1.1, one JSON object a line).
package register

import (
	"bufio"
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

	"mulleinmux/choice"
)

// List is one message of the register.
type List struct {
	Generation uint64
	Full       bool // the complete list: a server missing from it is gone
	Servers    []Instance
}

// Instance is one app server and where it listens.
type Instance struct {
	choice.Server
	Addr netip.AddrPort
}

// maxList bounds one message of discovery.
const maxList = 4 << 20

// ParseList parses one message of discovery. An entry that can't be is left out, or one
// would cost all others; the errors name each.
func ParseList(text []byte) (l List, left []error, err error) {
	var raw struct {
		Generation uint64
		Reset      bool
		Instances  []json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, nil, err
	}
	l = List{Generation: raw.Generation, Full: raw.Reset}
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
func parseInstance(text []byte) (Instance, error) {
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
			return Instance{}, fmt.Errorf("%s: is a %s", te.Field, te.Value)
		}
		return Instance{}, err
	}
	s := Instance{Server: choice.Server{ID: e.InstanceID, Weight: e.Weight, Kind: e.MachineType, Zone: e.Zone,
		Cell: e.Cell, Boot: time.Duration(e.StartedAtMs * float64(time.Millisecond))}}
	if s.ID == "" {
		return Instance{}, errors.New("instanceId: is empty")
	}
	switch e.Lifecycle {
	case "up":
		s.State = choice.Up
	case "draining":
		s.State = choice.Draining
	case "removed":
		s.State = choice.Removed
	default:
		return Instance{}, fmt.Errorf("lifecycle: unknown word %q", e.Lifecycle)
	}
	if e.Weight < 0 {
		return Instance{}, fmt.Errorf("weight: %v is negative", e.Weight)
	}
	if e.StartedAtMs < 0 || e.StartedAtMs > math.MaxInt64/float64(time.Millisecond) {
		return Instance{}, fmt.Errorf("startedAtMs: %v is out of range", e.StartedAtMs)
	}
	var err error
	if s.Addr, err = Address("hostPort", e.HostPort); err != nil && s.State != choice.Removed {
		return Instance{}, err
	}
	return s, nil
}

// Silent is how long a watch may say nothing before it is given up: a line comes every 2 s, and what is told counts as known 6 s
// later at the latest.
const Silent = 3 * time.Second

// Follower follows the changes of the list of app servers. Its fields are set before Run.
type Follower struct {
	Addr   netip.AddrPort
	Silent time.Duration // the constant Silent but in tests
	Last   uint64        // the version that is held; 0: none
	Pace   *Pace         // nil: that of a node alone
	Apply  func(List)    // called by Run, one list at a time
	Logf   func(format string, args ...any)

	down bool // the latest watch ended and nothing has been heard since
}

// Run watches until ctx ends. A watch that breaks, ends or falls silent is opened
// again from the version held, after a pause that grows while nothing comes.
func (r *Follower) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: r.Silent}).DialContext,
		DisableKeepAlives: true, // each watch is a connection of its own
	}}
	pace := r.Pace
	if pace == nil {
		pace = NewPace(1, 0)
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
		select {
		case <-ctx.Done():
			return
		case <-time.After(pace.Next(heard)):
		}
	}
}

// watch follows one watch to its end, which always has a reason, and tells
// whether anything was heard on it.
func (r *Follower) watch(ctx context.Context, client *http.Client) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(r.Silent, func() { cancel(errors.New("silent for too long")) })
	defer silence.Stop()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", r.Addr, r.Last)
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
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxList)
	for lines.Scan() {
		silence.Reset(r.Silent)
		if r.down {
			r.down = false
			r.Logf("discovery: watching again")
		}
		if len(lines.Bytes()) == 0 {
			heard = true
			continue
		}
		l, left, err := ParseList(lines.Bytes())
		if err != nil {
			// What was said is lost with this line: only the whole list can make up for it. It
			// may come malformed again, so that the pause must go on growing.
			r.Last = 0
			return false, fmt.Errorf("malformed line: %w", err)
		}
		if len(left) > 0 { // one line for each list, however many entries
			r.Logf("discovery: %d entries left out, the first: %v", len(left), left[0])
		}
		r.Last = l.Generation
		r.Apply(l)
		heard = true
	}
	if err := lines.Err(); err != nil {
		return heard, err
	}
	return heard, io.EOF
}

// Address parses an address with a port; an error names the field.
func Address(field, v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, fmt.Errorf("%s: %w", field, err)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}
