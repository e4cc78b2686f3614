package routing

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// benchOperations returns n operations like those of large APIs: resources with literal and
// templated paths of two to five segments. paths holds the method and a matching path for
// each of them.
func benchOperations(n int) (ops, paths []string) {
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

// newBenchRequests returns a request for each path, which follows its method.
func newBenchRequests(b *testing.B, paths []string) (requests []*http.Request) {
	b.Helper()
	for _, p := range paths {
		method, path, _ := strings.Cut(p, " ")
		r, err := http.NewRequest(method, path, nil)
		if err != nil {
			b.Fatal(err)
		}
		requests = append(requests, r)
	}
	return requests
}

// benchmarkRequests measures match over the requests, in an order that is not sequential.
func benchmarkRequests(b *testing.B, name string, requests []*http.Request, match func(r *http.Request) bool) {
	b.Helper()
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if r := requests[i*7919%len(requests)]; !match(r) {
				b.Fatal(r.URL.Path)
			}
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		operations, paths := benchOperations(n)
		table, err := Compile(makeDocument(operations...), classOptions())
		if err != nil {
			b.Fatal(err)
		}
		mux := http.NewServeMux()
		for _, operation := range operations {
			mux.HandleFunc(operation, func(http.ResponseWriter, *http.Request) {})
		}
		requests := newBenchRequests(b, paths)
		benchmarkRequests(b, fmt.Sprintf("ops=%d/table", n), requests, func(r *http.Request) bool {
			if table.CheckPath(r.URL.Path) != "" {
				return false
			}
			operation, _, _ := table.Match(r.Method, r.URL.Path)
			return operation != nil
		})
		benchmarkRequests(b, fmt.Sprintf("ops=%d/servemux", n), requests, func(r *http.Request) bool {
			_, pattern := mux.Handler(r)
			return pattern != ""
		})
	}
}
