//go:build review

package rig2

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

var (
	processesMu sync.Mutex
	processes   []*Process
)

// Process is a process that the case started.
type Process struct {
	cmd   *exec.Cmd
	Ended chan struct{} // closed when it has ended
}

// Start starts a program of bin/ with its standard error in a file.
func Start(program string, logFile string, args ...string) (*Process, error) {
	out, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	path, err := filepath.Abs(filepath.Join("bin", program))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, Ended: make(chan struct{})}
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	go func() {
		cmd.Wait()
		close(p.Ended)
	}()
	return p, nil
}

// Output runs a command to its end and returns what it wrote to standard output; an error has the rest. KillAll ends it
// like the other processes.
func Output(cmd *exec.Cmd) ([]byte, error) {
	var out, problems bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &problems
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	processesMu.Lock()
	if err := cmd.Start(); err != nil {
		processesMu.Unlock()
		return nil, err
	}
	p := &Process{cmd: cmd, Ended: make(chan struct{})}
	processes = append(processes, p)
	processesMu.Unlock()
	err := cmd.Wait()
	close(p.Ended)
	if err != nil {
		err = fmt.Errorf("%w: %s%s", err, out.String(), problems.String())
	}
	return out.Bytes(), err
}

// Signal sends a signal to the process unless it has ended.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.Ended:
	default:
		p.cmd.Process.Signal(signal)
	}
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.Ended:
		return true
	default:
		return false
	}
}

// KillAll ends all processes that the case started.
func KillAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.Ended
	}
}
