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
	exited  chan struct{} // closed once it has exited

	atReady descriptorCounts  // set for the first process
	atIdle  *descriptorCounts // quietTime after its last client has left; nil if clients never left
	idleAt  time.Time         // when atIdle was counted; set if atIdle is

	mu               sync.Mutex // guards the fields below
	readyAt          time.Time  // zero if its readiness was not awaited or not reached
	sigtermAt        time.Time  // first SIGTERM; zero if there was none
	killedByPlanAt   time.Time  // SIGKILL that the plan sent; zero if there was none
	killedForTimeout bool       // it still ran after the kill delay
	timedOutAt       time.Time  // when it was killed for that; set if killedForTimeout
	threadsAtTimeout string     // states of its threads just before
	exitStatus       int
	exitedAt         time.Time
}

// startProcess starts a command whose output is written to a log file in dir.
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

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// log returns the process's log so far, or the error of reading it.
func (p *process) log() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// hasLogged reports whether the log has a line with the message.
func (p *process) hasLogged(message string) bool { return testserver.HasLogLine(p.log(), message) }

// awaitLog waits until the log has a line with the message, and reports whether that was within the timeout and before
// the process exited.
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

// awaitStep waits until the log has a line with the message, for processTimeout at most. It polls more often than
// awaitLog, to return as soon as possible after the step.
func (p *process) awaitStep(message string) {
	for end := time.Now().Add(processTimeout); time.Now().Before(end) && !p.hasExited(); time.Sleep(stepPollInterval) {
		if p.hasLogged(message) {
			return
		}
	}
}

// stepPollInterval is the time between two checks of a log for a step.
const stepPollInterval = 200 * time.Microsecond

// signal sends a signal, and records the time of the first SIGTERM and of a SIGKILL.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	if signal == syscall.SIGTERM && p.sigtermAt.IsZero() {
		p.sigtermAt = time.Now()
	}
	if signal == syscall.SIGKILL {
		p.killedByPlanAt = time.Now()
	}
	p.mu.Unlock()
	p.cmd.Process.Signal(signal)
}

// awaitExit waits until the process has exited, and kills it at a time if it still runs then.
func (p *process) awaitExit(killAt time.Time) {
	timer := time.NewTimer(time.Until(killAt))
	defer timer.Stop()
	select {
	case <-p.exited:
		return
	case <-timer.C:
	}
	p.mu.Lock()
	p.killedForTimeout, p.timedOutAt, p.threadsAtTimeout = true, time.Now(), threadStates(p.cmd.Process.Pid)
	p.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.exited
}

// String describes a process with the times at which it became ready, got its signals and exited, and with its
// descriptors.
func (p *process) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprint("process ", p.number)
	for _, event := range []struct {
		name string
		at   time.Time
	}{{"ready", p.readyAt}, {"SIGTERM", p.sigtermAt}, {"SIGKILL", p.killedByPlanAt}, {"exited", p.exitedAt}} {
		if !event.at.IsZero() {
			text += fmt.Sprintf(", %s %s", event.name, event.at.Format(timeFormat))
		}
	}
	if p.atIdle != nil {
		text += fmt.Sprintf(", descriptors when ready: %v; when idle: %v", p.atReady, p.atIdle)
	}
	return text
}

// threadStates returns the kernel's states of a process's threads, each with the kernel function in which it waits.
// State "D" is a wait that no signal interrupts, such as one for a disk.
func threadStates(pid int) string {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err.Error()
	}
	var states []string
	for _, file := range files {
		text, _ := os.ReadFile(file)
		_, afterName, _ := strings.Cut(string(text), ") ")
		state, _, _ := strings.Cut(afterName, " ")
		waitFunction, _ := os.ReadFile(strings.TrimSuffix(file, "stat") + "wchan")
		states = append(states, state+" "+string(waitFunction))
	}
	return strings.Join(states, ", ")
}

// lastLogLine returns the last line of the log.
func (p *process) lastLogLine() (last string) {
	for line := range strings.Lines(p.log()) {
		last = strings.TrimSpace(line)
	}
	return last
}

// errorLines returns the lines of the log that report an error, a panic or a data race.
func (p *process) errorLines() (lines []string) {
	for line := range strings.Lines(p.log()) {
		if strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic") ||
			strings.Contains(line, "DATA RACE") || strings.Contains(line, "goroutine ") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
