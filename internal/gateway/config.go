// Package gateway implements one gateway instance on network sockets. It reads clients' requests, matches each to an
// operation of the description in force, and carries out what the policy engine decides. Package routing determines
// routes and costs, package policy decides on admission, servers and retries; this package does the network I/O.
package gateway

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// Site is a group of servers with its own service discovery.
type Site struct {
	Name      string         // zone of its servers
	Discovery netip.AddrPort // of its discovery agent, which speaks the protocol of package discovery
}

// Config is the configuration of an instance. It does not change after the start.
type Config struct {
	Name   string
	Listen netip.AddrPort
	Seed   uint64
	Sites  []Site

	PeerListen netip.AddrPort   // for gossip; invalid: no gossip, unless UseSockets has set a socket
	Peers      []netip.AddrPort // gossip addresses by instance index, including this instance's own

	Settings policy.Settings // Classes is ignored: the classes come from the description
	Classes  []routing.Class

	Licensees map[string]Licensee // by name

	// Agreement, if set, restricts the instance to setups that the instances have agreed on and that have been
	// confirmed (see [Instance.ConfirmVersion]).
	Agreement *Agreement

	// Keys, if set, routes each request with an idempotency key to the site that owns the key: see
	// [multisite.KeyTable].
	Keys *multisite.KeyConfig

	// Health, if set, enables health monitoring of the sites: see [multisite.HealthMonitor].
	Health *multisite.HealthConfig

	// QuorumConfirmation, if set, has the key owners confirmed by a quorum of the voters. Newer key owners cannot be
	// agreed on without that quorum.
	QuorumConfirmation *multisite.ConfirmationConfig

	// RecoveryRamp, if set, divides the load that cold servers may receive among the instances: see
	// [multisite.RecoveryRamp].
	RecoveryRamp *multisite.RampConfig

	// Relay, if set, makes the instance reach other sites through their instances.
	Relay *RelayConfig

	MaxClientConns    int           // connections of clients
	MaxServerConns    int           // connections to servers
	ConnectTimeout    time.Duration // for a connection to a server
	ServerIdleTimeout time.Duration // after which a server may close an idle connection
	DrainTimeout      time.Duration // for which a draining instance still accepts requests
	FullValidation    bool          // check all parameters and bodies against their schemas

	// OnAnswer, if set, is called with each final answer; it must not block.
	OnAnswer func(RequestRecord)

	// OnTrace, if set, is called with the trace of each request once its answer was written or could not be; it must not
	// block.
	OnTrace func(RequestTrace)

	listener net.Listener // open client listener, in tests and scenarios; nil: Listen is used
	peerConn *net.UDPConn // open gossip socket, in tests and scenarios; nil: PeerListen is used
}

// Agreement configures how an instance handles requests while its setup may have been superseded.
type Agreement struct {
	StaleAfter   time.Duration // age of the last confirmation beyond which a setup is stale; 30 s if 0
	RejectsStale bool          // reject requests while the setup is stale; otherwise they are served on it
}

// Setup is the part of the configuration that can be replaced while an instance runs.
type Setup struct {
	Number    uint64         // version number, which is sent to servers and clients
	Table     *routing.Table // nil: the table in force stays
	Checker   Checker        // for Table; nil: only the values that determine the cost are checked
	Licensees map[string]Licensee
	Plans     []policy.Plan // by index, as [policy.Engine.SetPlans] expects them
	Sites     []Site
}

// Setup returns the setup that the configuration contains.
func (c *Config) Setup(number uint64, table *routing.Table, check Checker) Setup {
	return Setup{Number: number, Table: table, Checker: check, Licensees: c.Licensees,
		Plans: c.Settings.Plans, Sites: c.Sites}
}

// Defaults of a [Config].
const (
	defaultMaxClientConns    = 4096
	defaultMaxServerConns    = 2048
	defaultConnectTimeout    = 250 * time.Millisecond
	defaultServerIdleTimeout = 30 * time.Second
	defaultDrainTimeout      = 500 * time.Millisecond
	defaultStaleAfter        = 30 * time.Second
)

// Options returns the options for compiling a description.
func (c *Config) Options() routing.Options {
	return routing.Options{Classes: c.Classes, MaxUnits: int(c.Settings.MaxUnits)}
}

// UseSockets makes the instance use sockets that are already open: ln for clients, conn for gossip. conn is nil without
// peers.
func (c *Config) UseSockets(ln net.Listener, conn *net.UDPConn) { c.listener, c.peerConn = ln, conn }

// check validates the configuration and sets the defaults.
func (c *Config) check() error {
	switch {
	case c.Name == "":
		return errors.New("name: must not be empty")
	case c.PeerListen.IsValid() && len(c.Peers) != c.Settings.InstanceCount:
		return fmt.Errorf("peers: got %d addresses, want %d (one per instance)", len(c.Peers), c.Settings.InstanceCount)
	case !c.PeerListen.IsValid() && c.peerConn == nil && c.Settings.InstanceCount > 1:
		return errors.New("peers: peer_listen is required: instances that share quotas exchange messages")
	}
	c.MaxClientConns = orDefault(c.MaxClientConns, defaultMaxClientConns)
	c.MaxServerConns = orDefault(c.MaxServerConns, defaultMaxServerConns)
	c.ConnectTimeout = orDefault(c.ConnectTimeout, defaultConnectTimeout)
	c.Settings.ConnectTimeout = c.ConnectTimeout
	c.ServerIdleTimeout = orDefault(c.ServerIdleTimeout, defaultServerIdleTimeout)
	c.DrainTimeout = orDefault(c.DrainTimeout, defaultDrainTimeout)
	if c.Agreement != nil {
		c.Agreement.StaleAfter = orDefault(c.Agreement.StaleAfter, defaultStaleAfter)
	}
	return nil
}

// orDefault returns value if it is positive, otherwise defaultValue.
func orDefault[T int | time.Duration](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// Licensee is the configuration of a licensee.
type Licensee struct {
	Plan     string
	Customer uint64 // its ID in the engine, the same at every instance
}

// CustomerID returns the customer ID of the licensee with a name.
func CustomerID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() >> 1
}
