package gatewayconfig

import (
	"slices"
	"strings"
	"testing"

	"mulleinmux/deploy"
)

// The link's settings are read, and each that can't be is named.
func TestLink(t *testing.T) {
	good := `
[cluster.link]
listen = "127.0.0.1:7301"
[[cluster.link.far]]
hall = "hall-b"
member = 2
address = "127.0.0.1:7302"
`
	f, err := Parse("member.toml", slices.Concat(deploy.Member, []byte(good)))
	if err != nil {
		t.Fatal(err)
	}
	l := f.Config.Relay
	if l == nil || l.Own[0] != "hall-a" || l.Remote["hall-b"][0].Member != 2 || l.Remote["hall-b"][0].Addr.Port() != 7302 {
		t.Errorf("%+v", l)
	}
	for field, change := range map[string][2]string{
		"cluster.link.listen":         {`"127.0.0.1:7301"`, `"nowhere"`},
		"cluster.link.far[0].hall":    {`"hall-b"`, `"hall-a"`},
		"cluster.link.far[0].member":  {"member = 2", "member = 9"},
		"cluster.link.far[0].address": {`"127.0.0.1:7302"`, `""`},
		"cluster.link.most":           {"[cluster.link]", "[cluster.link]\nmost = 1"},
		"cluster.link.far":            {good[strings.Index(good, "[[cluster.link.far"):], ""},
	} {
		_, err := Parse("member.toml", slices.Concat(deploy.Member, []byte(strings.Replace(good, change[0], change[1], 1))))
		if err == nil || !strings.Contains(err.Error(), field+":") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
