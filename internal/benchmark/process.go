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

// Part names a part that a process plays, with what it is told.
type Part struct {
	Role    string   `json:"role"` // "halls", "gateway", "reverseproxy" or "member"
	Servers []string `json:"servers,omitempty"`
	Profile string   `json:"profile,omitempty"`

	// Of an instance at one of two sites, with Dir.
	Link string `json:"link,omitempty"` // where the far one is reached over the link

	// Of a member.
	Member  uint64                          `json:"member,omitempty"`
	Dir     string                          `json:"dir,omitempty"` // with certificates
	Members map[uint64]clusterconfig.Member `json:"members,omitempty"`
	Stream  string                          `json:"stream,omitempty"` // for followers

	StreamFull bool `json:"stream_full,omitempty"` // by whole versions alone
}

// Play plays a part until standard input ends. It prints the addresses where it listens,
// and at a line of input what it has used so far.
func Play(ctx context.Context, text string, stdin io.Reader, stdout io.Writer) error {
	var p Part
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return fmt.Errorf("part: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var addrs []string
	var err error
	switch p.Role {
	case "halls":
		addrs, err = halls()
	case "gateway":
		addrs, err = startGateway(ctx, p.Servers, nil)
	case "near", "far":
		addrs, err = startSite(ctx, &p)
	case "member":
		addrs, err = startMember(ctx, &p)
	case "reverseproxy":
		addrs, err = startReverseProxy(p.Servers)
	default:
		err = fmt.Errorf("part: unknown role %q", p.Role)
	}
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
	in := bufio.NewScanner(stdin)
	for n := 0; in.Scan(); n++ {
		if profile != nil && n == 0 {
			if err := pprof.StartCPUProfile(profile); err != nil {
				return err
			}
			defer pprof.StopCPUProfile()
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			return err
		}
		fmt.Fprintln(stdout, time.Duration(u.Utime.Nano()+u.Stime.Nano()).Nanoseconds(), m.Mallocs)
	}
	return in.Err()
}

// process is a part in a process of its own.
type process struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	addrs []string
}

func begin(ctx context.Context, self string, procs int, p Part) (*process, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, self, "bench-part", string(text))
	cmd.Env = os.Environ()
	if p.Stream == "" { // its memory counts
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
	pr := &process{cmd, in, bufio.NewReader(out), nil}
	line, err := pr.out.ReadString('\n')
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", p.Role, err), pr.end())
	}
	pr.addrs = strings.Fields(line)
	return pr, nil
}

// used is CPU time and allocations of the process so far.
func (p *process) used() (cpu time.Duration, allocs uint64, err error) {
	if _, err := io.WriteString(p.in, "\n"); err != nil {
		return 0, 0, err
	}
	var ns int64
	_, err = fmt.Fscanln(p.out, &ns, &allocs)
	return time.Duration(ns), allocs, err
}

func (p *process) end() error {
	p.in.Close()
	return p.cmd.Wait()
}
