// Package schedwait measures for how long the threads of processes wait for a processor, so that a test on a busy
// machine can tell a late program from one that did not run.
package schedwait

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	sampleInterval = 5 * time.Millisecond // between two measurements
	minWait        = 2 * time.Millisecond // of the waits that are kept
	maxWaits       = 1 << 18              // kept; later ones are counted only
)

// Wait is a time in which a thread waited for a processor.
type Wait struct {
	Process  string
	From, To time.Time
	Waited   time.Duration // at most from From to To
}

// Monitor measures processes by the kernel's count of the time that each thread waited, and its own process by its
// clock. The kernel counts a wait when it ends, so that one that lasts is not seen yet.
type Monitor struct {
	done    chan struct{}
	stopped chan struct{}

	mu        sync.Mutex // guards all below
	processes []process
	waited    map[string]time.Duration // so far, by the thread's file
	waits     []Wait
	lost      int // waits that were not kept
	longest   time.Duration
}

// process is a process that is measured.
type process struct {
	name string
	id   int
}

// New returns a monitor that measures nothing yet.
func New() *Monitor {
	return &Monitor{done: make(chan struct{}), stopped: make(chan struct{}), waited: map[string]time.Duration{}}
}

// Add has a process measured.
func (m *Monitor) Add(name string, id int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes = append(m.processes, process{name: name, id: id})
}

// Start begins the measurement.
func (m *Monitor) Start() { go m.run() }

// Stop ends the measurement and returns the longest wait. It must be called once, after Start.
func (m *Monitor) Stop() time.Duration {
	close(m.done)
	<-m.stopped
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest
}

// Between returns the waits that overlap a time, and how many there may be beside them that were not kept.
func (m *Monitor) Between(from, to time.Time) (waits []Wait, lost int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, wait := range m.waits {
		if wait.From.Before(to) && wait.To.After(from) {
			waits = append(waits, wait)
		}
	}
	return waits, m.lost
}

// run measures until Stop.
func (m *Monitor) run() {
	defer close(m.stopped)
	for last := time.Now(); ; {
		time.Sleep(sampleInterval)
		now := time.Now()
		m.sample(last, now)
		last = now
		select {
		case <-m.done:
			return
		default:
		}
	}
}

// sample measures all threads, at a time after the last sample.
func (m *Monitor) sample(last, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest = max(m.longest, now.Sub(last)-sampleInterval)
	for _, process := range m.processes {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process.id))
		if err != nil {
			continue
		}
		for _, file := range files {
			m.sampleThread(process.name, file, last)
		}
	}
}

// sampleThread records for how long a thread has waited since the last sample. Called under the mutex.
func (m *Monitor) sampleThread(name, file string, last time.Time) {
	sum, isRead := waitedFor(file)
	if !isRead {
		return // the thread has ended
	}
	before, isKnown := m.waited[file]
	m.waited[file] = sum
	waited, now := sum-before, time.Now()
	if !isKnown || waited <= 0 {
		return
	}
	m.longest = max(m.longest, waited)
	if waited < minWait {
		return
	}
	if len(m.waits) == maxWaits {
		m.lost++
		return
	}
	from := now.Add(-waited) // it may have begun before the last sample
	if from.After(last) {
		from = last
	}
	m.waits = append(m.waits, Wait{Process: name, From: from, To: now, Waited: waited})
}

// waitedFor returns for how long a thread has waited for a processor so far, and whether its file could be read.
func waitedFor(file string) (waited time.Duration, isRead bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	var onProcessor, nanoseconds, slices int64
	if _, err := fmt.Sscan(string(text), &onProcessor, &nanoseconds, &slices); err != nil {
		return 0, false
	}
	return time.Duration(nanoseconds), true
}
