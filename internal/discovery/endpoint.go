package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"mulleinmux/policy"
)

// maxListBytes is the size limit of one watch event.
const maxListBytes = 4 << 20

// EndpointList is one watch event: the complete endpoint list, or only the entries that changed.
type EndpointList struct {
	Generation uint64
	IsComplete bool // servers that are not in Servers have been removed
	Servers    []Endpoint
}

// Endpoint is one app server and the address that it listens on.
type Endpoint struct {
	policy.Server
	Addr netip.AddrPort
}

// ParseEndpointList parses one watch event. An invalid entry is skipped, so that it does not invalidate the others;
// skipped has an error for each, with its index and field.
func ParseEndpointList(text []byte) (list EndpointList, skipped []error, err error) {
	var raw struct {
		Generation uint64
		Reset      bool
		Instances  []json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return EndpointList{}, nil, err
	}
	list = EndpointList{Generation: raw.Generation, IsComplete: raw.Reset}
	for i, text := range raw.Instances {
		endpoint, err := parseEndpoint(text)
		if err != nil {
			skipped = append(skipped, fmt.Errorf("instances[%d].%w", i, err))
			continue
		}
		list.Servers = append(list.Servers, endpoint)
	}
	return list, skipped, nil
}

// endpointEntry is the JSON form of an entry of a watch event.
type endpointEntry struct {
	InstanceID  string
	HostPort    string
	Zone        string
	MachineType string
	Cell        int
	Lifecycle   string
	Weight      float64
	StartedAtMs float64
}

// maxStartedAtMs is the latest start time that a time.Duration can hold, in milliseconds.
const maxStartedAtMs = math.MaxInt64 / float64(time.Millisecond)

// parseEndpoint parses one entry. The error of an invalid value names the field.
func parseEndpoint(text []byte) (Endpoint, error) {
	var entry endpointEntry
	if err := json.Unmarshal(text, &entry); err != nil {
		if typeErr, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			return Endpoint{}, fmt.Errorf("%s: wrong JSON type: %s", typeErr.Field, typeErr.Value)
		}
		return Endpoint{}, err
	}
	if entry.InstanceID == "" {
		return Endpoint{}, errors.New("instanceId: must not be empty")
	}
	state, err := parseLifecycle(entry.Lifecycle)
	if err != nil {
		return Endpoint{}, err
	}
	if entry.Weight < 0 {
		return Endpoint{}, fmt.Errorf("weight: %v is negative", entry.Weight)
	}
	if entry.StartedAtMs < 0 || entry.StartedAtMs > maxStartedAtMs {
		return Endpoint{}, fmt.Errorf("startedAtMs: %v is out of range", entry.StartedAtMs)
	}
	addr, err := ParseAddress("hostPort", entry.HostPort)
	if err != nil && state != policy.Removed {
		return Endpoint{}, err
	}
	server := policy.Server{
		ID:        entry.InstanceID,
		State:     state,
		Weight:    entry.Weight,
		Kind:      entry.MachineType,
		Zone:      entry.Zone,
		Cell:      entry.Cell,
		StartedAt: time.Duration(entry.StartedAtMs * float64(time.Millisecond)),
	}
	return Endpoint{Server: server, Addr: addr}, nil
}

// lifecycles maps the lifecycle field to the server's state.
var lifecycles = map[string]policy.ServerState{
	"up":       policy.Up,
	"draining": policy.Draining,
	"removed":  policy.Removed,
}

// parseLifecycle returns the server's state for a value of the lifecycle field.
func parseLifecycle(word string) (policy.ServerState, error) {
	state, isKnown := lifecycles[word]
	if !isKnown {
		return 0, fmt.Errorf("lifecycle: unknown state %q (want up, draining or removed)", word)
	}
	return state, nil
}

// ParseAddress parses an IP address with a port, the value of the named field. The error names the field.
func ParseAddress(field, v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, fmt.Errorf("%s: %w", field, err)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}
