package gateway

import (
	"fmt"
	"io"
	"time"
)

// AccessLog writes a JSON line for each request that was charged or rejected. Recording never blocks a request: if the
// queue is full, the line is dropped and counted.
type AccessLog struct{ log *lineLog[accessLine] }

// RequestRecord is the access log entry of a request that was charged or rejected.
type RequestRecord struct {
	TraceID      string `json:"trace"` // X-Trace-Id
	Operation    string `json:"operation"`
	Licensee     string `json:"licensee"`
	Version      uint64 `json:"version"` // of the setup by which the request was matched
	Units        int    `json:"units"`
	Sent         bool   `json:"sent"` // an attempt was written completely, so the units count
	Attempts     int    `json:"attempts"`
	Status       int    `json:"status"`        // of the response to the client
	Answer       string `json:"answer"`        // one of outcomeTexts
	KeyRejection string `json:"why,omitempty"` // why the idempotency key caused the rejection; empty: it did not
}

type accessLine struct {
	Time time.Time `json:"time"`
	RequestRecord
}

// NewAccessLog returns an access log that writes to w until Close is called.
func NewAccessLog(w io.Writer) *AccessLog { return &AccessLog{newLineLog[accessLine](w)} }

// Record queues a record. It can be used as [Config.OnAnswer].
func (l *AccessLog) Record(r RequestRecord) { l.log.record(accessLine{time.Now(), r}) }

// Close writes the queued records and returns the first write error. Record must not be called after Close.
func (l *AccessLog) Close() error {
	if err := l.log.close(); err != nil {
		return fmt.Errorf("access log: %w", err)
	}
	return nil
}
