package schedwait

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeSchedstat writes a schedstat file in the kernel's format: time on a processor and time waited, both in
// nanoseconds, and the number of time slices.
func writeSchedstat(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// An increase of a thread's counter between two samples is recorded as a wait that ended between them, unless it is
// shorter than minWait.
func TestWaitsBetweenSamples(t *testing.T) {
	m := New()
	file := filepath.Join(t.TempDir(), "schedstat")
	began := time.Now()
	for _, text := range []string{"1 7000000 1\n", "1 8000000 2\n", "1 48000000 3\n"} {
		writeSchedstat(t, file, text)
		m.sampleThread("p", file, time.Now())
	}
	waits, dropped := m.Between(began, time.Now())
	if len(waits) != 1 || dropped != 0 || waits[0].Waited != 40*time.Millisecond || waits[0].Process != "p" ||
		m.longest != 40*time.Millisecond {
		t.Errorf("got waits %+v, %d dropped, longest %v; want one wait of 40ms of process p", waits, dropped, m.longest)
	}
	if waits, _ := m.Between(time.Now().Add(time.Second), time.Now().Add(time.Minute)); len(waits) != 0 {
		t.Errorf("got waits %+v after the last sample, want none", waits)
	}
}

// A schedstat file that can't be read or parsed records no wait, and the next valid sample is compared with the last
// valid one.
func TestUnreadableSchedstat(t *testing.T) {
	m := New()
	file := filepath.Join(t.TempDir(), "schedstat")
	m.sampleThread("p", file, time.Now())
	for _, text := range []string{"1 5000000 1", "noise", "1 5000000 2"} {
		writeSchedstat(t, file, text)
		m.sampleThread("p", file, time.Now())
	}
	if waits, _ := m.Between(time.Time{}, time.Now()); len(waits) != 0 {
		t.Errorf("got waits %+v, want none", waits)
	}
}

// A started monitor samples the threads of an added process.
func TestMonitor(t *testing.T) {
	m := New()
	m.Add("self", os.Getpid())
	m.Start()
	time.Sleep(5 * sampleInterval)
	if longest := m.Stop(); longest < 0 {
		t.Errorf("got longest wait %v, want at least 0", longest)
	}
	if len(m.lastTotals) == 0 {
		t.Error("no thread of the added process was sampled")
	}
}
