package routing

import (
	"testing"
)

// TestCheckPath checks that a path is accepted only in the spelling that no server changes.
func TestCheckPath(t *testing.T) {
	table := mustCompile(t, "GET /a/{x}", "PUT /a/b:run")
	for _, good := range []string{
		"/", "/a", "/a/", "/a/b:run", "/a/%C3%A9", "/a/%20", "/a/100%25",
		"/a/~x-y_z.!$&'()*+,=:@", "/a/..x", "/a/...", "/a/x%2Cy", "/a/%3F%23",
	} {
		t.Run("good "+good, func(t *testing.T) {
			if reason := table.CheckPath(good); reason != "" {
				t.Errorf("path %s: got reason %q, want none", good, reason)
			}
		})
	}
	for _, bad := range []string{
		"", "a", "*", "//a", "/a//b", "/a//", "/a/./b", "/a/../b", "/a/..", "/a/.", "/a/%2e%2e/b",
		"/a/%2E", "/a/b;x=1", "/a/%3B",
		"/a/%2F", "/a/%2f", "/a/%5C", "/a/b\\c", "/a/%6Eew", "/a/%c3%a9", "/a/%", "/a/%2",
		"/a/%zz", "/a/%00", "/a/%0A", "/a/%7F", "/a/\xc3\xa9", "/a/b c",
		"/a/%252F", "/a/%252e", "/a/b%3Arun", "/a/x%3Ay", "/a/{x}", "/a/b|c", "/a/b#c", "/a/b%7E",
	} {
		t.Run("bad "+bad, func(t *testing.T) {
			if table.CheckPath(bad) == "" {
				t.Errorf("path %s: got no reason, want one", bad)
			}
		})
	}
}
