package routing

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// benchTable describes n operations as large APIs have them: resources with literal and
// templated paths of two to five segments. It returns paths that match them in turn.
func benchTable(n int) (ops, paths []string) {
	for i := 0; len(ops) < n; i++ {
		for _, op := range []string{
			"GET /v1/res%d", "POST /v1/res%d", "GET /v1/res%d/new",
			"GET /v1/res%d/{id}", "PUT /v1/res%d/{id}",
			"GET /v1/res%d/{id}/parts", "GET /v1/res%d/{id}/parts/{part}", "POST /v1/res%d/{id}/confirm",
		} {
			if len(ops) < n {
				op = fmt.Sprintf(op, i)
				ops = append(ops, op)
				paths = append(paths, strings.NewReplacer("{id}", "9b1f03aa", "{part}", "17").Replace(op))
			}
		}
	}
	return ops, paths
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		ops, paths := benchTable(n)
		tab, err := Compile(makeDocument(ops...), classOptions())
		if err != nil {
			b.Fatal(err)
		}
		mux := http.NewServeMux()
		for _, op := range ops {
			mux.HandleFunc(op, func(http.ResponseWriter, *http.Request) {})
		}
		type target struct {
			method, path string
			r            *http.Request
		}
		var ts []target
		for _, p := range paths {
			method, path, _ := strings.Cut(p, " ")
			r, err := http.NewRequest(method, path, nil)
			if err != nil {
				b.Fatal(err)
			}
			ts = append(ts, target{method, path, r})
		}
		b.Run(fmt.Sprintf("ops=%d/table", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t := &ts[i*7919%len(ts)]
				if tab.CheckPath(t.path) != "" {
					b.Fatal(t.path)
				}
				if op, _, _ := tab.Match(t.method, t.path); op == nil {
					b.Fatal(t.path)
				}
			}
		})
		b.Run(fmt.Sprintf("ops=%d/servemux", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t := &ts[i*7919%len(ts)]
				if _, pattern := mux.Handler(t.r); pattern == "" {
					b.Fatal(t.path)
				}
			}
		})
	}
}
