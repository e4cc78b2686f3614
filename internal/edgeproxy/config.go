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

// Config is the configuration of an edge node.
type Config struct {
	Name           string
	Listen         netip.AddrPort // listening address for clients
	Discovery      netip.AddrPort // the agent or service that provides the endpoint list
	AdminListen    netip.AddrPort // listening address for administration calls; invalid if they are disabled
	AcceptFD       int            // descriptor of the inherited listening socket for clients; 0 if there is none
	HandoverSocket string         // path of the hot restart socket; empty if hot restart is disabled
	Seed           uint64         // seed of the engine's random numbers
	MemoryMB       int            // memory limit of the node in MiB; 0 if unknown
	MaxSockets     int            // limit of the process's descriptors

	GossipListen    netip.AddrPort   // invalid if the edge nodes may not gossip
	GossipPeers     []netip.AddrPort // by instance index, including this node
	GossipBroadcast netip.AddrPort   // reaches every edge node of the tier

	SavedEndpoints    discovery.EndpointList // the endpoint list that this node had last
	Settings          policy.Settings
	ServerConnections simwire.ConnectionSettings

	reread           func() (*Config, error) // reads the configuration again, for a reload
	skippedEndpoints []error                 // invalid entries of the saved list
	drainDelay       time.Duration           // defaultDrainDelay except in tests
	firstListTimeout time.Duration           // defaultFirstListTimeout except in tests; 0 disables the wait
	minIdleTime      time.Duration           // defaultMinIdleTime except in tests
}

const (
	defaultSockets = 1024    // descriptor limit if the configuration has none
	minSockets     = 64      // leaves enough descriptors for clients and app servers
	maxSockets     = 1 << 20 // a higher limit is rejected as a mistake
	maxMemoryMB    = 1 << 20 // a higher limit is rejected as a mistake
	minInheritedFD = 3       // 0 to 2 are standard input, output and error
	maxInheritedFD = 1 << 16
)

// Timeouts of connections to app servers for settings that omit them.
const (
	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// LoadConfig reads the configuration file at the path in PROXY_CONFIG. PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and
// PROXY_MANAGEMENT override the values of the file. PROXY_ACCEPT_FD is the descriptor of an inherited listening socket;
// if TMPDIR is set as well, the hot restart socket is created in that directory, which predecessor and successor share.
// getenv is os.Getenv except in tests.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errors.New(envConfig + " is not set")
	}
	load := func(getenv func(string) string) (*Config, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf(envConfig+": %w", err)
		}
		return parseConfig(text, getenv)
	}
	c, err := load(getenv)
	if err != nil {
		return nil, err
	}
	c.reread = func() (*Config, error) {
		// The environment is that of the start of the process: its discovery address would override the one in a file
		// that has been replaced since.
		return load(func(name string) string {
			if name == envDiscovery {
				return ""
			}
			return getenv(name)
		})
	}
	return c, nil
}

// rawConfig is the layout of the configuration file. It and rawLimits are aliases because the errors of encoding/json
// contain the names of defined types.
type rawConfig = struct {
	Name, Listen, Discovery, Seed, Management string
	Limits                                    rawLimits
	PeerListen                                string `json:"peer_listen"`
	Peers                                     []string
	PeersAll                                  string `json:"peers_all"`
	Known                                     json.RawMessage
	Settings                                  json.RawMessage
}

// rawLimits are the resource limits that the platform sets for the process.
type rawLimits = struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64
}

// parseConfig parses and validates the configuration file. An error names the invalid field.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var raw rawConfig
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf(envConfig+": %w", err)
	}
	applyEnvironment(&raw, getenv)
	c := &Config{
		Name:             raw.Name,
		drainDelay:       defaultDrainDelay,
		firstListTimeout: defaultFirstListTimeout,
		minIdleTime:      defaultMinIdleTime,
	}
	if c.Name == "" {
		return nil, errors.New("name: must not be empty")
	}
	if err := c.setAddresses(&raw); err != nil {
		return nil, err
	}
	if err := c.setHotRestart(getenv); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", raw.Seed)
	}
	if err := c.setLimits(raw.Limits); err != nil {
		return nil, err
	}
	if err := c.setSettings(raw.Settings); err != nil {
		return nil, err
	}
	if c.Settings.AllowsGossip && c.Settings.InstanceCount > 1 {
		if err := c.setGossip(&raw); err != nil {
			return nil, err
		}
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.SavedEndpoints, c.skippedEndpoints, err = discovery.ParseEndpointList(raw.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// applyEnvironment overrides values of the file with those of the environment.
func applyEnvironment(raw *rawConfig, getenv func(string) string) {
	for env, field := range map[string]*string{
		envName: &raw.Name, envListen: &raw.Listen, envDiscovery: &raw.Discovery, envAdmin: &raw.Management,
	} {
		if v := getenv(env); v != "" {
			*field = v
		}
	}
}

// setAddresses parses the addresses for clients, discovery and administration calls.
func (c *Config) setAddresses(raw *rawConfig) error {
	var err error
	if c.Listen, err = discovery.ParseAddress("listen", raw.Listen); err != nil {
		return err
	}
	if c.Discovery, err = discovery.ParseAddress("discovery", raw.Discovery); err != nil {
		return err
	}
	if raw.Management == "" {
		return nil
	}
	c.AdminListen, err = discovery.ParseAddress("management", raw.Management)
	return err
}

// setHotRestart reads the inherited descriptor and the path of the hot restart socket from the environment.
func (c *Config) setHotRestart(getenv func(string) string) error {
	text := getenv(envAcceptFD)
	if text == "" {
		return nil
	}
	var err error
	if c.AcceptFD, err = strconv.Atoi(text); err != nil || c.AcceptFD < minInheritedFD || c.AcceptFD > maxInheritedFD {
		return fmt.Errorf(envAcceptFD+": %q is not a valid number of an inherited descriptor", text)
	}
	if dir := getenv(envTempDir); dir != "" {
		c.HandoverSocket = filepath.Join(dir, handoverSocketName)
	}
	return nil
}

// setLimits validates and sets the limits of memory and descriptors.
func (c *Config) setLimits(limits rawLimits) error {
	if m := limits.MemoryMB; m < 0 || m > maxMemoryMB || math.IsNaN(m) {
		return fmt.Errorf("limits.memory_mb: %v is out of range", m)
	}
	c.MemoryMB = int(limits.MemoryMB)
	if c.MaxSockets = int(limits.Sockets); c.MaxSockets == 0 {
		c.MaxSockets = defaultSockets
	}
	if c.MaxSockets < minSockets || c.MaxSockets > maxSockets {
		return fmt.Errorf("limits.sockets: %v is out of range", limits.Sockets)
	}
	return nil
}

// setSettings parses the settings of the engine and of the connections to app servers.
func (c *Config) setSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("settings: field is missing")
	}
	var err error
	if c.Settings, c.ServerConnections, err = simwire.ParseSettings(text); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.ServerConnections.ConnIdleTimeout <= 0 {
		c.ServerConnections.ConnIdleTimeout = defaultConnIdle
	}
	if c.ServerConnections.ConnectTimeout <= 0 {
		c.ServerConnections.ConnectTimeout = defaultConnectTimeout
	}
	c.Settings.ConnectTimeout = c.ServerConnections.ConnectTimeout
	return nil
}

// setGossip parses the gossip addresses of this node and its peers.
func (c *Config) setGossip(raw *rawConfig) error {
	var err error
	if c.GossipListen, err = discovery.ParseAddress("peer_listen", raw.PeerListen); err != nil {
		return err
	}
	if len(raw.Peers) != c.Settings.InstanceCount {
		return fmt.Errorf("peers: %d addresses, want one for each of %d instances",
			len(raw.Peers), c.Settings.InstanceCount)
	}
	for i, text := range raw.Peers {
		address, err := discovery.ParseAddress(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return err
		}
		c.GossipPeers = append(c.GossipPeers, address)
	}
	c.GossipBroadcast, err = discovery.ParseAddress("peers_all", raw.PeersAll)
	return err
}
