package openapi

import (
	"strings"
	"testing"
)

// TestServers checks that the base paths are those of the operation's servers, or else of the
// path's, or else of the document's.
func TestServers(t *testing.T) {
	text := descriptionStart + `servers:
  - url: 'https://{region}.example.org/{v}/'
    variables: {region: {default: a, enum: [a, b]}, v: {default: v1}}
paths:
  /a:
    get: {` + okResponses + `}
    post: {servers: [{url: /v9}, {url: 'http://h'}], ` + okResponses + `}
  /b:
    servers: [{url: 'https://example.org/other'}]
    get: {` + okResponses + `}
`
	table, _, err := Compile("d.yaml", []byte(text), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, o := range table.Operations {
		got = append(got, o.Method+" "+o.Template)
	}
	if want := "GET /v1/a POST /v9/a POST /a GET /other/b"; strings.Join(got, " ") != want {
		t.Errorf("got operations %s, want %s", strings.Join(got, " "), want)
	}
}
