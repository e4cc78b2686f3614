package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// stallInterval is the time between two measurements.
const stallInterval = 5 * time.Millisecond

// stallMonitor measures for how long at a stretch the tool, or a process under test, got no processor: the tool by its
// own clock, the others by what the kernel counts as their wait for one.
type stallMonitor struct {
	done    chan struct{}
	longest chan time.Duration

	mu   sync.Mutex
	pids []int // guarded by mu
}

func newStallMonitor() *stallMonitor {
	return &stallMonitor{done: make(chan struct{}), longest: make(chan time.Duration, 1)}
}

// add has a process measured as well.
func (m *stallMonitor) add(pid int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pids = append(m.pids, pid)
}

// start begins the measurement.
func (m *stallMonitor) start() { go m.measure() }

// stop ends the measurement and returns the longest stretch.
func (m *stallMonitor) stop() time.Duration {
	close(m.done)
	return <-m.longest
}

// measure measures until stop.
func (m *stallMonitor) measure() {
	longest := time.Duration(0)
	waits := map[string]time.Duration{}
	for last := time.Now(); ; {
		time.Sleep(stallInterval)
		now := time.Now()
		longest = max(longest, now.Sub(last)-stallInterval, m.longestWait(waits))
		last = now
		select {
		case <-m.done:
			m.longest <- longest
			return
		default:
		}
	}
}

// longestWait returns for how long a thread of a process has waited since the last call, and records the sums so far, by
// the thread's file.
func (m *stallMonitor) longestWait(waits map[string]time.Duration) (longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pid := range m.pids {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
		if err != nil {
			continue
		}
		for _, file := range files {
			waited := waitedFor(file)
			if before, isKnown := waits[file]; isKnown {
				longest = max(longest, waited-before)
			}
			waits[file] = waited
		}
	}
	return longest
}

// waitedFor returns for how long a thread has waited for a processor so far; 0 where its file can't be read.
func waitedFor(file string) time.Duration {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0 // the thread has ended
	}
	var onProcessor, waited, slices int64
	if _, err := fmt.Sscan(string(text), &onProcessor, &waited, &slices); err != nil {
		return 0
	}
	return time.Duration(waited)
}
