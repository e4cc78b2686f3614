package gateway

import (
	"fmt"
	"io"
	"time"
)

// AccessLog writes a line of JSON for each request that was charged or rejected. It never
// holds a request up: a line that finds the queue full is dropped and counted.
type AccessLog struct{ log *lineLog[accessLine] }

// RequestRecord is what became of one request that was charged or rejected.
type RequestRecord struct {
	Trace        string `json:"trace"` // X-Trace-Id
	Operation    string `json:"operation"`
	Licensee     string `json:"licensee"`
	Version      uint64 `json:"version"` // of the setup that it was matched with
	Units        int    `json:"units"`
	Sent         bool   `json:"sent"` // an attempt was written whole: the units count
	Attempts     int    `json:"attempts"`
	Status       int    `json:"status"`        // of the final answer
	Answer       string `json:"answer"`        // one of outcomeTexts
	KeyRejection string `json:"why,omitempty"` // a request with a key was rejected for the sake of its key
}

type accessLine struct {
	Time time.Time `json:"time"`
	RequestRecord
}

// NewAccessLog starts a log on w. Close ends it.
func NewAccessLog(w io.Writer) *AccessLog { return &AccessLog{newLineLog[accessLine](w)} }

// Record takes a record; it is a [Config.Observe].
func (l *AccessLog) Record(r RequestRecord) { l.log.record(accessLine{time.Now(), r}) }

// Close writes what is queued and returns the first error of writing. Observe must not be
// called after it.
func (l *AccessLog) Close() error {
	if err := l.log.close(); err != nil {
		return fmt.Errorf("access log: %w", err)
	}
	return nil
}
