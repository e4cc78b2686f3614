//go:build review

// Package standin holds what the cases of the review share: processes of the project's programs, app servers, a proxy
// and clients, all on loopback addresses.
package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Process is a program of the project that a case has started.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a program. Its output goes to dir/name.log.
func Start(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{Name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Dir = dir
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Run runs a program to its end and returns its output.
func Run(dir, program string, env []string, args ...string) (string, error) {
	cmd := exec.Command(program, args...)
	cmd.Dir, cmd.Env = dir, append(os.Environ(), env...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%s %s: %w: %s", filepath.Base(program), strings.Join(args, " "), err, out)
	}
	return string(out), nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Ports of FreeAddr: below those that the system gives to outgoing connections.
const (
	firstPort = 15000
	portCount = 16000
)

// FreeAddr returns a loopback address with a port that is free now, for TCP and UDP.
func FreeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		conn, err := net.ListenPacket("udp", addr)
		ln.Close()
		if err == nil {
			conn.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

// AwaitReady waits until GET /health/ready at an address is answered with 200.
func AwaitReady(addr string, timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", addr, timeout)
}
