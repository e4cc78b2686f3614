// Package gateway is one instance of the gateway on sockets: it reads clients' requests,
// finds their operation in the description in force, has the policy engine decide what is to
// become of them, and carries that out. Routes and costs are decided in package routing,
// admission, servers and retries in package policy; here bytes are moved.
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

// Site is a site's servers, which a service discovery of their own lists.
type Site struct {
	Name      string         // the zone of its servers
	Discovery netip.AddrPort // its agent: the protocol of package discovery
}

// Config is the configuration of an instance, fixed at its start.
type Config struct {
	Name   string
	Listen netip.AddrPort
	Seed   uint64
	Sites  []Site

	PeerListen netip.AddrPort   // invalid: instances don't message each other
	Peers      []netip.AddrPort // by number, this instance's own among them

	Settings policy.Settings // without Classes, which follow from the description
	Classes  []routing.Class

	Licensees map[string]Licensee // by name

	// Agreement, if set, has the instance serve only on a setup on which instances have agreed, and which is
	// confirmed (see [Instance.ConfirmVersion]).
	Agreement *Agreement

	// Keys, if set, keeps a keyed request to the site that package multisite gives it.
	Keys *multisite.KeyConfig

	// Health, if set, has the instance judge the sites: see package multisite.
	Health *multisite.HealthConfig

	// QuorumConfirmation, if set, has key owners confirmed by a quorum of the voters, without which no newer ones can
	// be agreed on.
	QuorumConfirmation *multisite.ConfirmationConfig

	// RecoveryRamp, if set, has the instances share out what cold servers may be sent: see package multisite.
	RecoveryRamp *multisite.RampConfig

	// Relay, if set, has the instance reach other sites through their instances.
	Relay *RelayConfig

	MaxClientConns    int           // connections of clients
	MaxServerConns    int           // connections to servers
	ConnectTimeout    time.Duration // for a connection to a server
	ServerIdleTimeout time.Duration // after which a server may close an idle connection
	DrainTimeout      time.Duration // for which a draining instance still takes requests
	FullValidation    bool          // all parameters and bodies are checked against their schemas

	// Observe is called with each final answer, if set; it must not block.
	Observe func(RequestRecord)

	// Trace is called with the trace of each request once its answer was written, if set; it must not block.
	Trace func(RequestTrace)

	listener net.Listener // open, in tests and scenarios
	peerConn *net.UDPConn
}

// Agreement is how an instance deals with a setup that may no longer be the one in force.
type Agreement struct {
	StaleAfter   time.Duration // since it was last confirmed; 30 s where 0
	RejectsStale bool          // then requests are rejected; else they are served on
}

// Setup is the part of the configuration that can be replaced while an instance runs.
type Setup struct {
	Number    uint64         // its version, which servers and clients see
	Table     *routing.Table // nil: as it is
	Check     Checker        // with Table; nil: only what the cost depends on is checked
	Licensees map[string]Licensee
	Plans     []policy.Plan // by index, as [policy.Engine.SetPlans] expects them
	Sites     []Site
}

// Setup is the one that a configuration holds.
func (c *Config) Setup(number uint64, table *routing.Table, check Checker) Setup {
	return Setup{Number: number, Table: table, Check: check, Licensees: c.Licensees,
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

// Options are what a description is compiled with.
func (c *Config) Options() routing.Options {
	return routing.Options{Classes: c.Classes, MaxUnits: int(c.Settings.MaxUnits)}
}

// UseSockets has the instance serve on sockets that are open. conn is nil without peers.
func (c *Config) UseSockets(ln net.Listener, conn *net.UDPConn) { c.listener, c.peerConn = ln, conn }

// check returns what is wrong with the configuration, or sets the defaults.
func (c *Config) check() error {
	switch {
	case c.Name == "":
		return errors.New("name: is empty")
	case c.PeerListen.IsValid() && len(c.Peers) != c.Settings.InstanceCount:
		return fmt.Errorf("peers: %d addresses for %d instances", len(c.Peers), c.Settings.InstanceCount)
	case !c.PeerListen.IsValid() && c.peerConn == nil && c.Settings.InstanceCount > 1:
		return errors.New("peers: instances that share quotas must message each other")
	}
	c.MaxClientConns = orDefault(c.MaxClientConns, defaultMaxClientConns)
	c.MaxServerConns = orDefault(c.MaxServerConns, defaultMaxServerConns)
	c.ConnectTimeout = orDefault(c.ConnectTimeout, defaultConnectTimeout)
	c.ServerIdleTimeout = orDefault(c.ServerIdleTimeout, defaultServerIdleTimeout)
	c.DrainTimeout = orDefault(c.DrainTimeout, defaultDrainTimeout)
	if c.Agreement != nil {
		c.Agreement.StaleAfter = orDefault(c.Agreement.StaleAfter, defaultStaleAfter)
	}
	return nil
}

// orDefault returns a value, or its default where it is not set.
func orDefault[T int | time.Duration](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// Licensee is what the configuration says of a licensee.
type Licensee struct {
	Plan     string
	Customer uint64 // the engine's name for it, the same at every instance
}

// CustomerOf gives a licensee its number.
func CustomerOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() >> 1
}
