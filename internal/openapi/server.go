package openapi

import (
	"fmt"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
)

// effectiveServers returns the servers that apply to an operation: its own, or else those
// of the path, or else those of the document.
func effectiveServers(spec *openapi3.T, item *openapi3.PathItem, operation *openapi3.Operation) openapi3.Servers {
	if operation.Servers != nil && len(*operation.Servers) > 0 {
		return *operation.Servers
	}
	if len(item.Servers) > 0 {
		return item.Servers
	}
	return spec.Servers
}

// basePath returns the path of a server's URL, with the default values of its variables
// and without trailing slashes.
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
		return "", fmt.Errorf("server %q: must be a URL or a path that begins with a slash", server.URL)
	}
	return strings.TrimRight(path, "/"), nil
}

// urlPath returns the part of a URL after the scheme and the host.
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
