package edgeproxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/simwire"
	"mulleinmux/policy"
)

// Config is all that an edge node is told at its start.
type Config struct {
	Name           string
	Listen         netip.AddrPort // where clients connect
	Discovery      netip.AddrPort // the agent of the server register
	AdminListen    netip.AddrPort // where operators call; invalid where they don't
	AcceptFD       int            // the descriptor of a clients' listening socket that the platform holds; 0: none
	HandoverSocket string         // the socket on which a successor takes over; empty: none does
	Seed           uint64
	MemoryMB       int // 0: no limit told
	MaxSockets     int // descriptors that the process may hold

	GossipListen    netip.AddrPort   // invalid where edge nodes may not message each other
	GossipPeers     []netip.AddrPort // by number, this node's own among them
	GossipBroadcast netip.AddrPort   // every edge node of the tier

	SavedEndpoints discovery.EndpointList // the app servers as this node last had them
	Settings       policy.Settings
	Transport      simwire.ConnectionSettings

	reread    func() (*Config, error) // reads the configuration again, for a reload
	left      []error                 // entries of Known that can't be
	drainFor  time.Duration           // drainTime but in tests
	firstList time.Duration           // firstList but in tests; 0: it is not waited for
	rest      time.Duration           // restLeast but in tests
}

// defaultSockets is the descriptor budget where no limit is told.
const defaultSockets = 1024

// leastSockets is the smallest budget that leaves room for clients and servers.
const leastSockets = 64

// defaultConnIdle and defaultConnectTimeout hold where the settings are silent.
const (
	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// LoadConfig reads the file that PROXY_CONFIG names. PROXY_NAME, PROXY_LISTEN,
// PROXY_DISCOVERY and PROXY_MANAGEMENT, where set, go before what the file says.
// PROXY_ACCEPT_FD names an inherited listening socket; with one and a $TMPDIR, which both
// processes share, a successor takes over there. getenv is os.Getenv but for tests.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	load := func(getenv func(string) string) (*Config, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
		}
		return parseConfig(text, getenv)
	}
	c, err := load(getenv)
	if err != nil {
		return nil, err
	}
	c.reread = func() (*Config, error) {
		// The environment is that of the start: it would hide the address in a file replaced since.
		return load(func(name string) string {
			if name == "PROXY_DISCOVERY" {
				return ""
			}
			return getenv(name)
		})
	}
	return c, nil
}

// parseConfig validates the configuration; an error names the field at fault.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var raw struct {
		Name, Listen, Discovery, Seed, Management string
		Limits                                    struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64
		}
		PeerListen string `json:"peer_listen"`
		Peers      []string
		PeersAll   string `json:"peers_all"`
		Known      json.RawMessage
		Settings   json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	for env, field := range map[string]*string{"PROXY_NAME": &raw.Name, "PROXY_LISTEN": &raw.Listen,
		"PROXY_DISCOVERY": &raw.Discovery, "PROXY_MANAGEMENT": &raw.Management} {
		if v := getenv(env); v != "" {
			*field = v
		}
	}
	c := &Config{Name: raw.Name, drainFor: drainTime, firstList: firstList, rest: restLeast}
	if c.Name == "" {
		return nil, errors.New("name: is empty")
	}
	var err error
	if c.Listen, err = discovery.ParseAddress("listen", raw.Listen); err != nil {
		return nil, err
	}
	if c.Discovery, err = discovery.ParseAddress("discovery", raw.Discovery); err != nil {
		return nil, err
	}
	if raw.Management != "" {
		if c.AdminListen, err = discovery.ParseAddress("management", raw.Management); err != nil {
			return nil, err
		}
	}
	if text := getenv("PROXY_ACCEPT_FD"); text != "" {
		if c.AcceptFD, err = strconv.Atoi(text); err != nil || c.AcceptFD < 3 || c.AcceptFD > 1<<16 {
			return nil, fmt.Errorf("PROXY_ACCEPT_FD: %q is not the number of an inherited descriptor", text)
		}
		if dir := getenv("TMPDIR"); dir != "" {
			c.HandoverSocket = filepath.Join(dir, handoverName)
		}
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a 64-bit hex number", raw.Seed)
	}
	if m := raw.Limits.MemoryMB; m < 0 || m > 1<<20 || math.IsNaN(m) {
		return nil, fmt.Errorf("limits.memory_mb: %v is out of range", m)
	}
	c.MemoryMB = int(raw.Limits.MemoryMB)
	if c.MaxSockets = int(raw.Limits.Sockets); c.MaxSockets == 0 {
		c.MaxSockets = defaultSockets
	}
	if c.MaxSockets < leastSockets || c.MaxSockets > 1<<20 {
		return nil, fmt.Errorf("limits.sockets: %v is out of range", raw.Limits.Sockets)
	}
	if len(raw.Settings) == 0 {
		return nil, errors.New("settings: is missing")
	}
	if c.Settings, c.Transport, err = simwire.ParseSettings(raw.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Transport.ConnIdleTimeout <= 0 {
		c.Transport.ConnIdleTimeout = defaultConnIdle
	}
	if c.Transport.ConnectTimeout <= 0 {
		c.Transport.ConnectTimeout = defaultConnectTimeout
	}
	c.Settings.ConnectTimeout = c.Transport.ConnectTimeout
	if c.Settings.AllowsGossip && c.Settings.InstanceCount > 1 {
		if c.GossipListen, err = discovery.ParseAddress("peer_listen", raw.PeerListen); err != nil {
			return nil, err
		}
		if len(raw.Peers) != c.Settings.InstanceCount {
			return nil, fmt.Errorf("peers: %d addresses for %d instances", len(raw.Peers), c.Settings.InstanceCount)
		}
		for i, p := range raw.Peers {
			a, err := discovery.ParseAddress(fmt.Sprintf("peers[%d]", i), p)
			if err != nil {
				return nil, err
			}
			c.GossipPeers = append(c.GossipPeers, a)
		}
		if c.GossipBroadcast, err = discovery.ParseAddress("peers_all", raw.PeersAll); err != nil {
			return nil, err
		}
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.SavedEndpoints, c.left, err = discovery.ParseEndpointList(raw.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}
