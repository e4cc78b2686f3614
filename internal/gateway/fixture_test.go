package gateway

import (
	"bytes"
	"fmt"
	"regexp"
	"testing"

	"mulleinmux/internal/fixture"
)

// The lines of the access log, the customer IDs and the key numbers match the recorded fixture. Times are masked.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/gateway -run Fixture
func TestFixtureAccessLogAndNumbers(t *testing.T) {
	var out bytes.Buffer
	l := NewAccessLog(&out)
	l.Record(RequestRecord{
		TraceID:   "t",
		Operation: "slots",
		Licensee:  "bahari",
		Version:   3,
		Units:     2,
		Sent:      true,
		Attempts:  2,
		Status:    200,
		Answer:    "served",
	})
	l.Record(RequestRecord{Status: 503, Answer: "refused", KeyRejection: "its home is not known"})
	l.log.dropped.Add(5)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"", "bahari", "kilima"} {
		fmt.Fprintln(&out, CustomerID(name), hashKey(name, ""), hashKey(name, "key-1"), hashKey("key-1", name))
	}
	times := regexp.MustCompile(`"time":"\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)"`)
	fixture.Compare(t, "access.txt", times.ReplaceAll(out.Bytes(), []byte(`"time":"TIME"`)))
}
