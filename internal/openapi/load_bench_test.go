package openapi

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// largeDescription returns a description of n operations.
func largeDescription(n int) []byte {
	var b strings.Builder
	b.WriteString(descriptionStart + "paths:\n")
	for i := range n {
		fmt.Fprintf(&b, "  /r%d/{id}/x%d:\n    get:\n      operationId: op%d\n"+
			"      x-mulleinmux: {units: {query: n}}\n      parameters:\n"+
			"        - {name: id, in: path, required: true, schema: {type: string}}\n"+
			"        - {name: n, in: query, schema: {type: integer, minimum: 1, maximum: 20}}\n"+
			"      responses:\n        '200': {description: ok}\n", i/50, i, i)
	}
	return []byte(b.String())
}

// BenchmarkLoad reads and compiles a description of 10,000 operations. MB-peak is the peak
// resident memory of the process, including the text and the test itself.
func BenchmarkLoad(b *testing.B) {
	text := largeDescription(10000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, _, err := Compile("d.yaml", text, testOptions()); err != nil {
			b.Fatal(err)
		}
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(u.Maxrss)/1024, "MB-peak")
}
