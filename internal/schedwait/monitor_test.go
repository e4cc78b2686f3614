package schedwait

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeSchedstat writes a thread's file, as the kernel shows it: time on a processor, time waited, slices.
func writeSchedstat(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// What the kernel counts between two samples is a wait that ended between them; one too short is not kept.
func TestWaitsBetweenSamples(t *testing.T) {
	m := New()
	file := filepath.Join(t.TempDir(), "schedstat")
	began := time.Now()
	for _, text := range []string{"1 7000000 1\n", "1 8000000 2\n", "1 48000000 3\n"} {
		writeSchedstat(t, file, text)
		m.sampleThread("p", file, time.Now())
	}
	waits, lost := m.Between(began, time.Now())
	if len(waits) != 1 || lost != 0 || waits[0].Waited != 40*time.Millisecond || waits[0].Process != "p" ||
		m.longest != 40*time.Millisecond {
		t.Errorf("%+v, %d lost, longest %v", waits, lost, m.longest)
	}
	if waits, _ := m.Between(time.Now().Add(time.Second), time.Now().Add(time.Minute)); len(waits) != 0 {
		t.Errorf("later: %+v", waits)
	}
}

// A file that can't be read, or holds something else, is no wait, and none follows from it.
func TestUnreadableSchedstat(t *testing.T) {
	m := New()
	file := filepath.Join(t.TempDir(), "schedstat")
	m.sampleThread("p", file, time.Now())
	for _, text := range []string{"1 5000000 1", "noise", "1 5000000 2"} {
		writeSchedstat(t, file, text)
		m.sampleThread("p", file, time.Now())
	}
	if waits, _ := m.Between(time.Time{}, time.Now()); len(waits) != 0 {
		t.Errorf("%+v", waits)
	}
}

// A monitor measures its own process until it is stopped.
func TestMonitor(t *testing.T) {
	m := New()
	m.Add("self", os.Getpid())
	m.Start()
	time.Sleep(5 * sampleInterval)
	if longest := m.Stop(); longest < 0 {
		t.Errorf("longest %v", longest)
	}
	if len(m.waited) == 0 {
		t.Error("no thread was measured")
	}
}
