package edgeproxy

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures one request through the node, with the client and the app server in the same process.
func BenchmarkRequest(b *testing.B) {
	s := newAppServer(b, respondWith(okAnswer))
	n := runNode(b, testConfig(s.instance("a")))
	c := dial(b, n.addr)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if a := c.do(request("book", fmt.Sprint("t", i))); a.status != 200 {
			b.Fatalf("status %d, want 200", a.status)
		}
	}
}
