package raftnode

import (
	"bytes"
	cryptorand "crypto/rand"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
)

// electionJitter replaces [cryptorand.Reader], from which alone the engine draws its random election timeouts. Each
// simulation runs on a goroutine of its own, on which the reader is seeded, so that several simulations can run in
// parallel. All other goroutines read from the system.
type electionJitter struct {
	system io.Reader

	mu     sync.RWMutex         // guards seeded
	seeded map[string]io.Reader // by goroutine id
}

// jitter replaces [cryptorand.Reader] in all tests, see TestMain.
var jitter = &electionJitter{system: cryptorand.Reader, seeded: map[string]io.Reader{}}

// Read fills p from the source of the calling goroutine.
func (j *electionJitter) Read(p []byte) (int, error) {
	j.mu.RLock()
	source, ok := j.seeded[goroutineID()]
	j.mu.RUnlock()
	if !ok {
		source = j.system
	}
	return source.Read(p)
}

// seed makes the jitter on the calling goroutine depend only on a seed, until the test ends or calls seed again.
func (j *electionJitter) seed(t testing.TB, seed uint64) {
	id := goroutineID()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seeded[id] = seededReader{rand.New(rand.NewPCG(seed, 77))}
	t.Cleanup(func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.seeded, id)
	})
}

// goroutineID returns the id of the calling goroutine, which it parses from the first line of the stack: "goroutine 7
// [".
func goroutineID() string {
	var line [64]byte
	fields := bytes.Fields(line[:runtime.Stack(line[:], false)])
	return string(fields[1])
}

// seededReader reads random bytes that depend only on the seed of rng.
type seededReader struct{ rng *rand.Rand }

func (s seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.rng.Uint32())
	}
	return len(p), nil
}
