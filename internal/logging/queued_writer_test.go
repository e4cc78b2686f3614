package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// All lines are written, in their order, by the time Close returns. Later ones are dropped.
func TestQueuedWriter(t *testing.T) {
	var out bytes.Buffer
	w := NewQueuedWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		w.Write([]byte(line))
	}
	w.Close()
	w.Write([]byte("late\n"))
	if out.String() != "a\nb\nc\n" {
		t.Errorf("written %q, want the lines a, b and c", out.String())
	}
}

// Guards against a program that waits for the reader of its log, at a line or at its end. The lines that the queue can't
// hold are counted.
func TestQueuedWriterDoesNotWaitForReader(t *testing.T) {
	reader, writer := io.Pipe()
	w := NewQueuedWriter(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lineCount = 2 * maxQueuedBytes / 1024
	began := time.Now()
	for range lineCount {
		w.Write(line)
	}
	if took := time.Since(began); took > flushTimeout {
		t.Errorf("%d lines that nobody reads took %v", lineCount, took)
	}
	w.Close()
	if took := time.Since(began); took < flushTimeout || took > 10*flushTimeout {
		t.Errorf("the log that nobody reads was closed %v after the first line, want %v", took, flushTimeout)
	}
	go func() {
		<-w.done
		writer.Close()
	}()
	text, err := io.ReadAll(reader)
	if err != nil || !strings.Contains(string(text), `msg="log lines dropped" count=`) {
		t.Errorf("the log ends with %q (error %v), want the number of dropped lines", text[max(len(text)-100, 0):], err)
	}
}
