package openapi

import (
	"fmt"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
)

// serversInForce returns the servers of an operation: its own before the path's before
// the document's.
func serversInForce(spec *openapi3.T, item *openapi3.PathItem, operation *openapi3.Operation) openapi3.Servers {
	if operation.Servers != nil && len(*operation.Servers) > 0 {
		return *operation.Servers
	}
	if len(item.Servers) > 0 {
		return item.Servers
	}
	return spec.Servers
}

// basePath returns the path of a server's address, with the defaults of its variables
// and without a slash at its end.
func basePath(server *openapi3.Server) (string, error) {
	url := server.URL
	for name, variable := range server.Variables {
		placeholder := "{" + name + "}"
		if !strings.Contains(url, placeholder) {
			continue
		}
		if len(variable.Enum) > 1 && strings.Contains(urlPath(url), placeholder) {
			return "", fmt.Errorf("server %q: variable %q in the path has several values: list the servers one by one",
				server.URL, name)
		}
		url = strings.ReplaceAll(url, placeholder, variable.Default)
	}
	path := urlPath(url)
	if path != "" && !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "{}?#") {
		return "", fmt.Errorf("server %q: a URL or a path that begins with a slash is wanted", server.URL)
	}
	return strings.TrimRight(path, "/"), nil
}

// urlPath returns what follows the scheme and the host of a URL.
func urlPath(url string) string {
	_, rest, hasScheme := strings.Cut(url, "://")
	if !hasScheme {
		return url
	}
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return ""
}
