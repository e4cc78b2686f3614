//go:build review

package rig2

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"mulleinmux/internal/testserver"
)

// FreeTCP returns loopback addresses to which no socket is bound, below the ports of outgoing connections.
func FreeTCP(count int) ([]string, error) { return free("tcp", count) }

// FreeUDP is FreeTCP for UDP.
func FreeUDP(count int) ([]string, error) { return free("udp", count) }

func free(network string, count int) (addrs []string, err error) {
	for len(addrs) < count {
		addr, err := testserver.FreeAddr(network)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// Hall is a hall with the address of its discovery.
type Hall struct{ Name, Register string }

// Agreed returns the part of the configuration that instances agree on: as in deploy/fleet.toml, with these halls and
// licensees of the plan kubwa.
func Agreed(halls []Hall, licensees []string) string {
	var b strings.Builder
	for _, h := range halls {
		fmt.Fprintf(&b, "[[hall]]\nname = %q\nregister = %q\n\n", h.Name, h.Register)
	}
	b.WriteString(`[[class]]
name = "slot-check"
worth = 3
aim = "400ms"
deadline = "2s"

[[class]]
name = "visit-book"
worth = 9
late = 0.2
aim = "750ms"
deadline = "2s"

[[plan]]
name = "kubwa"
rate = 18
burst = 26
ceiling_rate = 40
ceiling_burst = 60
ceiling_slack = 6
price = 1.6
over_cost = 1

`)
	for _, name := range licensees {
		fmt.Fprintf(&b, "[[licensee]]\nname = %q\nplan = \"kubwa\"\n\n", name)
	}
	return b.String()
}

// Servers is the section of an instance's file on the behavior of servers, and its limits, as in deploy/member.toml.
const Servers = `
[limits]
drain_for = "500ms"
max_attempts = 5
max_retry_after = "2s"
answer_slack = "8ms"

[servers]
drain_grace = "250ms"
cold_from = 0.17
ramp_time = "15s"
fall_multiple = 2.5
overload_for = "2s"
`

// CopyDescription copies deploy/booking.yaml to a folder.
func CopyDescription(folder string) error {
	text, err := os.ReadFile("deploy/booking.yaml")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "booking.yaml"), text, 0o600)
}

// Member is a member of a cluster.
type Member struct {
	Number        int
	Zone          string
	Listen        string
	Raft, Admin   string
	Gossip, Link  string
	Stream        string // for followers
	Config        string
	*Process      // nil before its start
	logFileSerial int
}

// Cluster is a cluster of members that are started as processes.
type Cluster struct {
	Folder   string
	Members  []*Member
	Follower *Member // nil if there is none; its Number, Raft and Admin are not used
}

// NewCluster makes certificates, files and data of a cluster with a member for each zone, and starts it. If hasLink is
// set, each member reaches its own zone alone, and the others by their members.
func NewCluster(folder string, zones []string, hasLink bool) (*Cluster, error) {
	return newCluster(folder, zones, hasLink, false)
}

// NewClusterWithFollower is NewCluster without a link and with the files of a follower, which StartFollower starts.
func NewClusterWithFollower(folder string, zones []string) (*Cluster, error) {
	return newCluster(folder, zones, false, true)
}

func newCluster(folder string, zones []string, hasLink, hasFollower bool) (*Cluster, error) {
	c := &Cluster{Folder: folder}
	tcp, err := FreeTCP(5*len(zones) + 1)
	if err != nil {
		return nil, err
	}
	udp, err := FreeUDP(len(zones) + 1)
	if err != nil {
		return nil, err
	}
	if hasFollower {
		c.Follower = &Member{Zone: zones[0], Listen: tcp[5*len(zones)], Gossip: udp[len(zones)],
			Config: filepath.Join(folder, "follower.toml")}
	} else {
		udp = udp[:len(zones)]
	}
	var numbers []string
	for i, zone := range zones {
		c.Members = append(c.Members, &Member{
			Number: i + 1, Zone: zone, Listen: tcp[5*i], Raft: tcp[5*i+1], Admin: tcp[5*i+2], Link: tcp[5*i+3],
			Stream: tcp[5*i+4], Gossip: udp[i], Config: filepath.Join(folder, fmt.Sprintf("member-%d.toml", i+1)),
		})
		numbers = append(numbers, fmt.Sprint(i+1))
	}
	err = c.gateway("certs", "--cluster", "dodoma", "--members", strings.Join(numbers, ","),
		"--operators", "admin", "--dir", filepath.Join(folder, "certs"))
	if err == nil && hasFollower {
		err = c.gateway("certs", "--followers", "edge-1", "--dir", filepath.Join(folder, "certs"))
	}
	if err != nil {
		return nil, err
	}
	for i, m := range c.Members {
		if err := os.WriteFile(m.Config, []byte(c.memberFile(i, udp, hasLink)), 0o600); err != nil {
			return nil, err
		}
		if err := c.gateway("init", "--config", m.Config, "--new-cluster"); err != nil {
			return nil, err
		}
	}
	for _, m := range c.Members {
		if err := c.StartMember(m); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// StartFollower starts the follower's process. streams are the addresses at which it reaches the members' streams.
func (c *Cluster) StartFollower(streams []string) (err error) {
	f := c.Follower
	var gossip []string
	for _, m := range c.Members {
		gossip = append(gossip, m.Gossip)
	}
	gossip = append(gossip, f.Gossip)
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"edge-1\"\nlisten = %q\nzone = %q\naccess_log = \"\"\ninstance = %d\npeer_listen = %q\npeers = [\"%s\"]\n",
		f.Listen, f.Zone, len(c.Members), f.Gossip, strings.Join(gossip, `", "`))
	b.WriteString(Servers)
	b.WriteString(`
[follow]
cluster = "dodoma"
name = "edge-1"
data = "edge-1.db"
certs = "certs"
stale_after = "30s"
when_stale = "serve"
keys = "home"
`)
	for i, m := range c.Members {
		fmt.Fprintf(&b, "\n[[follow.member]]\nnumber = %d\nstream = %q\n", m.Number, streams[i])
	}
	if err := os.WriteFile(f.Config, []byte(b.String()), 0o600); err != nil {
		return err
	}
	f.Process, err = Start("gateway", filepath.Join(c.Folder, "follower.log"), "run", "--config", f.Config)
	return err
}

// StartMember starts a member's process.
func (c *Cluster) StartMember(m *Member) (err error) {
	m.logFileSerial++
	log := filepath.Join(c.Folder, fmt.Sprintf("member-%d-%d.log", m.Number, m.logFileSerial))
	m.Process, err = Start("gateway", log, "run", "--config", m.Config)
	return err
}

func (c *Cluster) memberFile(index int, gossip []string, hasLink bool) string {
	m := c.Members[index]
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"gate-%d\"\nlisten = %q\nzone = %q\naccess_log = \"\"\ninstance = %d\npeer_listen = %q\npeers = [\"%s\"]\n",
		m.Number, m.Listen, m.Zone, index, m.Gossip, strings.Join(gossip, `", "`))
	b.WriteString(Servers)
	fmt.Fprintf(&b, `
[cluster]
name = "dodoma"
number = %d
data = "member-%d.db"
certs = "certs"
tick = "50ms"
stale_after = "30s"
stream = %q
keys = "home"
when_stale = "serve"
`, m.Number, m.Number, c.streamOf(m))
	for _, other := range c.Members {
		fmt.Fprintf(&b, "\n[[cluster.member]]\nnumber = %d\nraft = %q\nadmin = %q\n", other.Number, other.Raft, other.Admin)
	}
	if hasLink {
		fmt.Fprintf(&b, "\n[cluster.link]\nlisten = %q\nmost = 64\n", m.Link)
		for _, other := range c.Members {
			if other.Zone != m.Zone {
				fmt.Fprintf(&b, "\n[[cluster.link.far]]\nhall = %q\nmember = %d\naddress = %q\n",
					other.Zone, other.Number, other.Link)
			}
		}
	}
	return b.String()
}

// streamOf returns the address of a member's stream, or "" in a cluster without followers.
func (c *Cluster) streamOf(m *Member) string {
	if c.Follower == nil {
		return ""
	}
	return m.Stream
}

// gateway runs a command of the gateway to its end.
func (c *Cluster) gateway(args ...string) error {
	if _, err := Output(c.command(args...)); err != nil {
		return fmt.Errorf("gateway %s: %w", strings.Join(args, " "), err)
	}
	return nil
}

// command returns a command of the gateway with an operator's environment.
func (c *Cluster) command(args ...string) *exec.Cmd {
	cmd := exec.Command("bin/gateway", args...)
	var admin []string
	for _, m := range c.Members {
		admin = append(admin, m.Admin)
	}
	cmd.Env = append(os.Environ(), "MULLEINGATE_AT="+strings.Join(admin, ","),
		"MULLEINGATE_CERTS="+filepath.Join(c.Folder, "certs"), "MULLEINGATE_OPERATOR=admin")
	return cmd
}

// Apply has the cluster agree on a configuration and waits until it is in force everywhere.
func (c *Cluster) Apply(agreed string) error { return c.ApplyAndWait(agreed, "applied-everywhere") }

// ApplyAndWait has the cluster agree on a configuration and waits for what the command's --wait names.
func (c *Cluster) ApplyAndWait(agreed, wait string) error {
	if err := CopyDescription(c.Folder); err != nil {
		return err
	}
	file := filepath.Join(c.Folder, "fleet.toml")
	text := "description = \"booking.yaml\"\nmost_units = 50\n\n" + agreed
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if err = c.gateway("config", "apply", file, "--why", "case", "--wait", wait); err == nil {
			return nil
		}
	}
	return err
}

// Leader returns the number of the member that leads, or 0.
func (c *Cluster) Leader() int {
	out, err := Output(c.command("config", "status", "--json"))
	if err != nil {
		return 0
	}
	var status struct {
		Members map[int]struct {
			Leader int `json:"leader"`
		} `json:"members"`
	}
	if json.Unmarshal(out, &status) != nil {
		return 0
	}
	for _, m := range status.Members {
		if m.Leader != 0 {
			return m.Leader
		}
	}
	return 0
}

// AwaitReady waits until GET /health/ready is answered with 200.
func AwaitReady(addr string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if IsReady(addr) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", addr, limit)
}

// IsReady asks once for /health/ready.
func IsReady(addr string) bool {
	conn, err := Dial(addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := conn.Receive(time.Now().Add(time.Second))
	return err == nil && response.Status == 200
}
