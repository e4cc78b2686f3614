//go:build review

package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Cluster is a cluster of three members and, if it has a name, one follower, configured after deploy/member.toml,
// deploy/follower.toml and deploy/fleet.toml.
type Cluster struct {
	Program  string // bin/gateway
	Dir      string
	Zones    [3]string // of the members
	Follower string    // name; empty: none
	Extra    [3]string // TOML that follows a member's file

	Clients      [3]string // addresses for clients
	Raft         [3]string
	Admin        [3]string
	Stream       [3]string
	FollowerAddr string
	StreamVia    [3]string         // the members' stream addresses as the follower's file names them
	RaftVia      [3][3]string      // RaftVia[i][j]: member j's address as member i's file names it
	Registers    map[string]string // discovery's address by hall
	Licensees    []string          // of tariff kubwa
	Members      [3]*Process
	FollowerProc *Process
	gossip       [4]string
	applied      int
}

// Reserve sets the addresses.
func (c *Cluster) Reserve() (err error) {
	free := func() string {
		addr, freeErr := FreeAddr()
		if freeErr != nil {
			err = freeErr
		}
		return addr
	}
	for i := range 3 {
		c.Clients[i], c.Raft[i], c.Admin[i], c.Stream[i] = free(), free(), free(), free()
		c.StreamVia[i] = c.Stream[i]
	}
	for i := range 3 {
		c.RaftVia[i] = c.Raft
	}
	for i := range c.gossip {
		c.gossip[i] = free()
	}
	c.FollowerAddr = free()
	return err
}

// Start makes the certificates and files, starts the members and the follower and applies the first configuration.
func (c *Cluster) Start() error {
	certs := []string{"certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "admin", "--dir", "certs"}
	if _, err := Run(c.Dir, c.Program, nil, certs...); err != nil {
		return err
	}
	if c.Follower != "" {
		if _, err := Run(c.Dir, c.Program, nil, "certs", "--followers", c.Follower, "--dir", "certs"); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := os.WriteFile(filepath.Join(c.Dir, c.memberFile(i)), []byte(c.memberText(i)), 0o600); err != nil {
			return err
		}
		if _, err := Run(c.Dir, c.Program, nil, "init", "--config", c.memberFile(i), "--new-cluster"); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := c.StartMember(i); err != nil {
			return err
		}
	}
	description, err := os.ReadFile("deploy/booking.yaml")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Dir, "booking.yaml"), description, 0o600); err != nil {
		return err
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		if err = c.Apply("", 0); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		return err
	}
	for _, addr := range c.Clients {
		if err := AwaitReady(addr, 10*time.Second); err != nil {
			return err
		}
	}
	if c.Follower == "" {
		return nil
	}
	if err := os.WriteFile(filepath.Join(c.Dir, "follower.toml"), []byte(c.followerText()), 0o600); err != nil {
		return err
	}
	if c.FollowerProc, err = Start(c.Dir, c.Follower, c.Program, "run", "--config", "follower.toml"); err != nil {
		return err
	}
	return AwaitReady(c.FollowerAddr, 10*time.Second)
}

// StartMember starts a member's process.
func (c *Cluster) StartMember(i int) (err error) {
	c.Members[i], err = Start(c.Dir, fmt.Sprint("member-", i+1), c.Program, "run", "--config", c.memberFile(i))
	return err
}

// Stop ends all processes.
func (c *Cluster) Stop() {
	for _, p := range c.Members {
		p.Kill()
	}
	c.FollowerProc.Kill()
}

// Apply applies deploy/fleet.toml with the cluster's halls, of which one may be closed, at a member.
func (c *Cluster) Apply(closedHall string, member int) error {
	text, err := os.ReadFile("deploy/fleet.toml")
	if err != nil {
		return err
	}
	edited := strings.NewReplacer(
		`register = "127.0.0.1:8500"`, c.hallText("hall-a", closedHall),
		`register = "127.0.0.1:8501"`, c.hallText("hall-b", closedHall),
	).Replace(string(text))
	for _, name := range c.Licensees {
		edited += fmt.Sprintf("\n[[licensee]]\nname = %q\nplan = \"kubwa\"\n", name)
	}
	if c.Follower != "" {
		edited += fmt.Sprintf("\n[[follower]]\nname = %q\n", c.Follower)
	}
	c.applied++
	file := fmt.Sprintf("fleet-%d.toml", c.applied)
	if err := os.WriteFile(filepath.Join(c.Dir, file), []byte(edited), 0o600); err != nil {
		return err
	}
	_, err = c.Operate(member, "config", "apply", file, "--why", "review")
	return err
}

// Operate runs an operator's command at a member and returns what it prints.
func (c *Cluster) Operate(member int, args ...string) (string, error) {
	env := []string{"MULLEINGATE_AT=" + c.Admin[member], "MULLEINGATE_CERTS=certs", "MULLEINGATE_OPERATOR=admin"}
	return Run(c.Dir, c.Program, env, args...)
}

func (c *Cluster) hallText(name, closedHall string) string {
	text := fmt.Sprintf("register = %q", c.Registers[name])
	if name == closedHall {
		text += "\nclosed = true"
	}
	return text
}

func (c *Cluster) memberFile(i int) string { return fmt.Sprintf("member-%d.toml", i+1) }

// peers returns the list of the gossip addresses.
func (c *Cluster) peers() string {
	count := 3
	if c.Follower != "" {
		count = 4
	}
	return `"` + strings.Join(c.gossip[:count], `", "`) + `"`
}

const fileText = `
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

func (c *Cluster) memberText(i int) string {
	text := fmt.Sprintf("name = \"gate-%d\"\nlisten = %q\nzone = %q\ninstance = %d\npeer_listen = %q\npeers = [%s]\n",
		i+1, c.Clients[i], c.Zones[i], i, c.gossip[i], c.peers()) + fileText
	text += fmt.Sprintf("\n[cluster]\nname = \"dodoma\"\nnumber = %d\ndata = \"member-%d.db\"\ncerts = \"certs\"\n"+
		"tick = \"50ms\"\nstale_after = \"30s\"\nstream = %q\nkeys = \"home\"\nwhen_stale = \"serve\"\n",
		i+1, i+1, c.Stream[i])
	for j := range 3 {
		text += fmt.Sprintf("\n[[cluster.member]]\nnumber = %d\nraft = %q\nadmin = %q\n", j+1, c.RaftVia[i][j], c.Admin[j])
	}
	return text + c.Extra[i]
}

func (c *Cluster) followerText() string {
	text := fmt.Sprintf("name = %q\nlisten = %q\nzone = \"hall-a\"\ninstance = 3\npeer_listen = %q\npeers = [%s]\n",
		c.Follower, c.FollowerAddr, c.gossip[3], c.peers()) + fileText
	text += fmt.Sprintf("\n[follow]\ncluster = \"dodoma\"\nname = %q\ndata = \"follower.db\"\ncerts = \"certs\"\n"+
		"stale_after = \"30s\"\nwhen_stale = \"serve\"\nkeys = \"home\"\n", c.Follower)
	for i := range 3 {
		text += fmt.Sprintf("\n[[follow.member]]\nnumber = %d\nstream = %q\n", i+1, c.StreamVia[i])
	}
	return text
}
