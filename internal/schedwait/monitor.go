// Package schedwait measures how long the threads of processes wait for a processor. A test on a busy machine can then
// distinguish a slow program from one that was not scheduled.
package schedwait

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	sampleInterval = 5 * time.Millisecond // between two samples
	minWait        = 2 * time.Millisecond // shorter waits are not recorded
	maxWaits       = 1 << 18              // recorded; later ones are only counted
)

// Wait is a period in which a thread waited for a processor.
type Wait struct {
	Process  string
	From, To time.Time
	Waited   time.Duration // time without a processor, at most To minus From
}

// Monitor samples the kernel's counters of the time that each thread of the added processes has waited for a processor.
// The process that runs the monitor is measured by how late its own timer fires. The kernel adds a wait to its counter
// when the wait ends, so a wait that is still in progress is not seen yet.
type Monitor struct {
	done    chan struct{}
	stopped chan struct{}

	mu         sync.Mutex // guards the fields below
	processes  []process
	lastTotals map[string]time.Duration // total at the last sample, by the thread's schedstat file
	waits      []Wait
	dropped    int // waits dropped because maxWaits was reached
	longest    time.Duration
}

// process is a measured process.
type process struct {
	name string
	id   int
}

// New returns a monitor without processes. Start begins the sampling.
func New() *Monitor {
	return &Monitor{done: make(chan struct{}), stopped: make(chan struct{}), lastTotals: map[string]time.Duration{}}
}

// Add adds a process to those that are sampled.
func (m *Monitor) Add(name string, id int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes = append(m.processes, process{name: name, id: id})
}

// Start begins sampling in a goroutine of its own.
func (m *Monitor) Start() { go m.run() }

// Stop ends the sampling and returns the longest wait. It must be called once, after Start.
func (m *Monitor) Stop() time.Duration {
	close(m.done)
	<-m.stopped
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest
}

// Between returns the recorded waits that overlap the period between two times. dropped is the number of waits, at any
// time, that were not recorded because maxWaits was reached.
func (m *Monitor) Between(from, to time.Time) (waits []Wait, dropped int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, wait := range m.waits {
		if wait.From.Before(to) && wait.To.After(from) {
			waits = append(waits, wait)
		}
	}
	return waits, m.dropped
}

// run samples every sampleInterval until Stop is called.
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

// sample reads the counters of all threads at time now. last is the time of the previous sample.
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

// sampleThread records how long a thread has waited since the last sample. The caller must hold m.mu.
func (m *Monitor) sampleThread(name, file string, last time.Time) {
	total, isRead := waitedFor(file)
	if !isRead {
		return // the thread has ended
	}
	before, isKnown := m.lastTotals[file]
	m.lastTotals[file] = total
	waited, now := total-before, time.Now()
	if !isKnown || waited <= 0 {
		return
	}
	m.longest = max(m.longest, waited)
	if waited < minWait {
		return
	}
	if len(m.waits) == maxWaits {
		m.dropped++
		return
	}
	from := now.Add(-waited) // the wait may have begun before the last sample
	if from.After(last) {
		from = last
	}
	m.waits = append(m.waits, Wait{Process: name, From: from, To: now, Waited: waited})
}

// waitedFor returns the total time for which a thread has waited for a processor, from its schedstat file. isRead is
// false if the file can't be read or parsed.
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
