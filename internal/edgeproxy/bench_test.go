package edgeproxy

import (
	"fmt"
	"testing"
)

// BenchmarkRequest is one request through the node and back, with the client and the
// app server in the same process.
func BenchmarkRequest(b *testing.B) {
	s := newAppServer(b, respondWith(okAnswer))
	n := runNode(b, testConfig(s.instance("a")))
	c := dial(b, n.addr)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if a := c.ask(request("book", fmt.Sprint("t", i))); a.status != 200 {
			b.Fatalf("status %d", a.status)
		}
	}
}
