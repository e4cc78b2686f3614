//go:build review

// Package rig2 holds the stand-ins and the process control that the cases 6 to 10 share: app servers, clients, a proxy
// that delays, and the start of the gateway's programs as processes. Everything listens on loopback addresses.
package rig2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitCannotRun = 2
)

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file}, nil
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// HasTrouble reports whether the disruption takes place: it does unless TROUBLE is 0.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case on the folder that the first argument names and ends the process with its exit status. run gets a
// temporary folder, which is removed afterwards.
func Main(limit time.Duration, run func(r *Record, tmp string) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Println("the case's folder is wanted")
		os.Exit(ExitCannotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(ExitCannotRun)
	}
	tmp, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Println(err)
		os.Exit(ExitCannotRun)
	}
	type outcome struct {
		status int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		status, err := run(record, tmp)
		done <- outcome{status, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := outcome{ExitCannotRun, fmt.Errorf("no result within %v", limit)}
	select {
	case s := <-signals:
		result.err = fmt.Errorf("ended by %v", s)
	case result = <-done:
	case <-time.After(limit):
	}
	KillAll()
	os.RemoveAll(tmp)
	if result.err != nil {
		record.Say("cannot run: %v", result.err)
		result.status = ExitCannotRun
	}
	record.Say("exit %d", result.status)
	record.Close()
	os.Exit(result.status)
}
