package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/testserver"
)

// process is one process of the program under test.
type process struct {
	number  int
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{} // closed when it has ended

	mu          sync.Mutex // guards all below
	readyAt     time.Time  // zero: it was not awaited
	toldToEnd   time.Time  // the first SIGTERM; zero: none
	killedAt    time.Time  // by the plan, not for being late
	wasKilled   bool       // for being late
	lateAt      time.Time  // when it was, set if wasKilled
	lateThreads string     // what its threads did then
	exitStatus  int
	exitedAt    time.Time
}

// startProcess starts a command whose log goes to a file.
func startProcess(number int, cmd *exec.Cmd, dir string) (*process, error) {
	p := &process{number: number, cmd: cmd, exited: make(chan struct{}),
		logPath: filepath.Join(dir, fmt.Sprint("log-", number))}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		cmd.Wait()
		p.mu.Lock()
		p.exitStatus, p.exitedAt = cmd.ProcessState.ExitCode(), time.Now()
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// log is what the process has logged so far.
func (p *process) log() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// hasLogged reports whether a line with a message was logged.
func (p *process) hasLogged(message string) bool { return testserver.HasLogLine(p.log(), message) }

// awaitLog waits until a line with a message was logged, and reports whether it was in time.
func (p *process) awaitLog(message string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if p.hasLogged(message) {
			return true
		}
		if p.hasExited() {
			return p.hasLogged(message)
		}
	}
	return false
}

// awaitStep waits until a line with a message was logged, for processTimeout at most, and goes on at once then.
func (p *process) awaitStep(message string) {
	for end := time.Now().Add(processTimeout); time.Now().Before(end) && !p.hasExited(); time.Sleep(stepPollInterval) {
		if p.hasLogged(message) {
			return
		}
	}
}

// stepPollInterval is the time between two looks at a log for a step.
const stepPollInterval = 200 * time.Microsecond

// signal sends a signal, and notes the first SIGTERM.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	if signal == syscall.SIGTERM && p.toldToEnd.IsZero() {
		p.toldToEnd = time.Now()
	}
	if signal == syscall.SIGKILL {
		p.killedAt = time.Now()
	}
	p.mu.Unlock()
	p.cmd.Process.Signal(signal)
}

// awaitExit kills the process at a time if it has not ended by itself.
func (p *process) awaitExit(killAt time.Time) {
	timer := time.NewTimer(time.Until(killAt))
	defer timer.Stop()
	select {
	case <-p.exited:
		return
	case <-timer.C:
	}
	p.mu.Lock()
	p.wasKilled, p.lateAt, p.lateThreads = true, time.Now(), threadStates(p.cmd.Process.Pid)
	p.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.exited
}

// threadStates returns the kernel's states of a process's threads, with what each waits for: "D" is a wait that no signal
// ends, as for a disk.
func threadStates(pid int) string {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err.Error()
	}
	var states []string
	for _, file := range files {
		text, _ := os.ReadFile(file)
		_, behindName, _ := strings.Cut(string(text), ") ")
		state, _, _ := strings.Cut(behindName, " ")
		waitsFor, _ := os.ReadFile(strings.TrimSuffix(file, "stat") + "wchan")
		states = append(states, state+" "+string(waitsFor))
	}
	return strings.Join(states, ", ")
}

// lastLogLine is the last line of the log.
func (p *process) lastLogLine() (last string) {
	for line := range strings.Lines(p.log()) {
		last = strings.TrimSpace(line)
	}
	return last
}

// errorLines are the lines of the log that tell of an error or a panic.
func (p *process) errorLines() (lines []string) {
	for line := range strings.Lines(p.log()) {
		if strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic") ||
			strings.Contains(line, "DATA RACE") || strings.Contains(line, "goroutine ") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
