// Package reload reads a program's files again while the program runs.
package reload

// Reader reads something again, beside the goroutine that asks for it: a file may be on a disk that hangs, and the
// program has to be able to end meanwhile. Its methods are called by one goroutine.
type Reader[T any] struct {
	read    func() (T, error)
	results chan Result[T]

	isReading      bool
	isReadOutdated bool // another read was asked for during the one in progress
}

// Result is what a read returned.
type Result[T any] struct {
	Value T
	Err   error
}

// NewReader returns a reader that calls read, on a goroutine of its own.
func NewReader[T any](read func() (T, error)) *Reader[T] {
	return &Reader[T]{read: read, results: make(chan Result[T], 1)}
}

// Start begins a read. During another one it causes one more after that.
func (r *Reader[T]) Start() {
	if r.isReading {
		r.isReadOutdated = true
		return
	}
	r.isReading = true
	go func() { // ends with the read; nothing waits for it
		value, err := r.read()
		r.results <- Result[T]{value, err}
	}()
}

// Results receives the result of each read. The receiver calls Finish.
func (r *Reader[T]) Results() <-chan Result[T] { return r.results }

// Finish ends a read whose result was received, and begins the next one if it was asked for meanwhile.
func (r *Reader[T]) Finish() {
	r.isReading = false
	if r.isReadOutdated {
		r.isReadOutdated = false
		r.Start()
	}
}
