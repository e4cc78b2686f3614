package gatewayconfig

import (
	"slices"
	"strings"
	"testing"

	"mulleinmux/deploy"
)

const linkSection = `
[cluster.link]
listen = "127.0.0.1:7301"
[[cluster.link.far]]
hall = "hall-b"
member = 2
address = "127.0.0.1:7302"
`

// parseWithLink parses the example of a member's file with a section cluster.link appended.
func parseWithLink(section string) (*File, error) {
	return Parse("member.toml", slices.Concat(deploy.Member, []byte(section)))
}

// The section cluster.link is converted into the relay configuration.
func TestLink(t *testing.T) {
	f, err := parseWithLink(linkSection)
	if err != nil {
		t.Fatal(err)
	}
	link := f.Config.Relay
	if link == nil || link.OwnSites[0] != "hall-a" || link.PeersBySite["hall-b"][0].Member != 2 ||
		link.PeersBySite["hall-b"][0].Addr.Port() != 7302 {
		t.Errorf("relay configuration: got %+v, want own site hall-a and member 2 of hall-b at port 7302", link)
	}
}

// A problem names the invalid field of the section cluster.link.
func TestLinkProblems(t *testing.T) {
	farTables := linkSection[strings.Index(linkSection, "[[cluster.link.far"):]
	for _, test := range []struct{ field, old, new string }{
		{"cluster.link.listen", `"127.0.0.1:7301"`, `"nowhere"`},
		{"cluster.link.far[0].hall", `"hall-b"`, `"hall-a"`},
		{"cluster.link.far[0].member", "member = 2", "member = 9"},
		{"cluster.link.far[0].address", `"127.0.0.1:7302"`, `""`},
		{"cluster.link.most", "[cluster.link]", "[cluster.link]\nmost = 1"},
		{"cluster.link.far", farTables, ""},
	} {
		t.Run(test.field, func(t *testing.T) {
			_, err := parseWithLink(strings.Replace(linkSection, test.old, test.new, 1))
			if err == nil || !strings.Contains(err.Error(), test.field+":") {
				t.Error(err)
			}
		})
	}
}
