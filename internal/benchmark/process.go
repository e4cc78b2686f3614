package benchmark

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"mulleinmux/clusterconfig"
)

// Roles of the processes of a measurement.
const (
	roleServers      = "halls" // the test servers
	roleGateway      = "gateway"
	roleNear         = "near" // an instance that relays to the far one
	roleFar          = "far"  // an instance at the servers' site
	roleReverseProxy = "reverseproxy"
	roleMember       = "member" // an instance of a cluster
)

// Part describes what a process does in a measurement. It is passed to the process as a JSON argument.
type Part struct {
	Role    string   `json:"role"` // one of the role constants
	Servers []string `json:"servers,omitempty"`
	Profile string   `json:"profile,omitempty"`

	// RelayAddr is set for an instance at one of two sites.
	RelayAddr string `json:"link,omitempty"` // the far instance's relay address

	// The fields below are set for a member of a cluster, Dir also for an instance at one of two sites.
	Member     uint64                          `json:"member,omitempty"`
	Dir        string                          `json:"dir,omitempty"` // directory with certificates
	Members    map[uint64]clusterconfig.Member `json:"members,omitempty"`
	StreamAddr string                          `json:"stream,omitempty"` // address for followers

	SendFullVersions bool `json:"stream_full,omitempty"` // followers get full versions only, no deltas
}

// RunPart runs the part that text describes until stdin ends. It prints the addresses on which the part listens, and
// for each line of input the CPU time and the allocations of this process so far. The first line of input also starts
// the CPU profile, if there is one.
func RunPart(ctx context.Context, text string, stdin io.Reader, stdout io.Writer) error {
	var p Part
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return fmt.Errorf("benchmark: parsing the part's JSON argument: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	addrs, err := p.start(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, strings.Join(addrs, " "))
	var profile *os.File
	if p.Profile != "" {
		if profile, err = os.Create(p.Profile); err != nil {
			return err
		}
		defer profile.Close()
	}
	lines := bufio.NewScanner(stdin)
	for isFirst := true; lines.Scan(); isFirst = false {
		if profile != nil && isFirst {
			if err := pprof.StartCPUProfile(profile); err != nil {
				return err
			}
			defer pprof.StopCPUProfile()
		}
		if err := printUsage(stdout); err != nil {
			return err
		}
	}
	return lines.Err()
}

// start starts the part, which runs until ctx ends, and returns the addresses on which it listens.
func (p *Part) start(ctx context.Context) (addrs []string, err error) {
	switch p.Role {
	case roleServers:
		return startServers()
	case roleGateway:
		return startGateway(ctx, p.Servers, nil)
	case roleNear, roleFar:
		return startSite(ctx, p)
	case roleMember:
		return startMember(ctx, p)
	case roleReverseProxy:
		return startReverseProxy(p.Servers)
	}
	return nil, fmt.Errorf("benchmark: part has the unknown role %q", p.Role)
}

// printUsage prints the CPU time of this process in nanoseconds and its number of allocations.
func printUsage(out io.Writer) error {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return err
	}
	fmt.Fprintln(out, used.Utime.Nano()+used.Stime.Nano(), memory.Mallocs)
	return nil
}

// process is a part that runs in a process of its own.
type process struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	addrs []string
}

// startPart starts a part in a process of its own and waits until it listens. self is the path of the program. procs is
// the GOMAXPROCS of the process; 0 leaves it at the default.
func startPart(ctx context.Context, self string, procs int, p Part) (*process, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, self, "bench-part", string(text))
	cmd.Env = os.Environ()
	if p.StreamAddr == "" { // the memory of members with followers is measured with the default GOGC
		cmd.Env = append(cmd.Env, "GOGC=400")
	}
	if procs > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprint("GOMAXPROCS=", procs))
	}
	cmd.Stderr = io.Discard
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{cmd: cmd, in: in, out: bufio.NewReader(out)}
	line, err := started.out.ReadString('\n')
	if err != nil {
		return nil, errors.Join(fmt.Errorf("benchmark: starting part %s: %w", p.Role, err), started.stop())
	}
	started.addrs = strings.Fields(line)
	return started, nil
}

// usage is the CPU time and the number of allocations of a process since its start.
type usage struct {
	cpu    time.Duration
	allocs uint64
}

// queryUsage returns the usage of a process so far; of a nil process it is zero.
func (p *process) queryUsage() (usage, error) {
	if p == nil {
		return usage{}, nil
	}
	if _, err := io.WriteString(p.in, "\n"); err != nil {
		return usage{}, err
	}
	var nanoseconds int64
	var allocs uint64
	_, err := fmt.Fscanln(p.out, &nanoseconds, &allocs)
	return usage{cpu: time.Duration(nanoseconds), allocs: allocs}, err
}

// stop closes the standard input of a process, which makes it exit, and waits until it has exited.
func (p *process) stop() error {
	p.in.Close()
	return p.cmd.Wait()
}
