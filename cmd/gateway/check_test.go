package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"mulleinmux/deploy"
)

// exampleFolder is a temporary folder with example files of package deploy and edited copies of them.
type exampleFolder struct {
	t   *testing.T
	dir string
}

func newExampleFolder(t *testing.T) *exampleFolder {
	t.Helper()
	x := &exampleFolder{t, t.TempDir()}
	writeFile(t, x.dir, "booking.yaml", string(deploy.Booking))
	writeFile(t, x.dir, "gateway.toml", string(deploy.Gateway))
	writeFile(t, x.dir, "member.toml", string(deploy.Member))
	writeFile(t, x.dir, "follower.toml", string(deploy.Follower))
	return x
}

func (x *exampleFolder) path(name string) string { return filepath.Join(x.dir, name) }

// writeEdited writes a copy of source as name, in which the first occurrence of old is replaced, and returns its path.
func (x *exampleFolder) writeEdited(name, source, old, replacement string) string {
	x.t.Helper()
	text, err := os.ReadFile(x.path(source))
	if err != nil || !strings.Contains(string(text), old) {
		x.t.Fatalf("example %s does not contain %q (read error: %v)", source, old, err)
	}
	return writeFile(x.t, x.dir, name, strings.Replace(string(text), old, replacement, 1))
}

// commandCase is a command line, its exit status, and texts that its standard output and standard error contain.
type commandCase struct {
	name   string
	args   []string
	status int
	want   []string
}

func (c *commandCase) run(t *testing.T) {
	var out, errs bytes.Buffer
	status := run(context.Background(), c.args, &out, &errs)
	if status != c.status {
		t.Errorf("%v: got exit status %d, want %d; output:\n%s%s", c.args, status, c.status, out.String(), errs.String())
	}
	for _, want := range c.want {
		if !strings.Contains(out.String()+errs.String(), want) {
			t.Errorf("%v: output lacks %q:\n%s%s", c.args, want, out.String(), errs.String())
		}
	}
}

// Invalid input is reported with its position and exit status 2; valid files are summarized with exit status 0.
func TestCheck(t *testing.T) {
	x := newExampleFolder(t)
	cases := slices.Concat(
		descriptionCases(x),
		configurationCases(x),
		programCases(x),
		certificateCases(x),
		memberFileCases(x),
		followerFileCases(x),
		clusterCases(x),
		commandLineCases(x),
	)
	for _, c := range cases {
		t.Run(c.name, c.run)
	}
	t.Run("as JSON", func(t *testing.T) {
		var out bytes.Buffer
		args := []string{"check", "--json", x.path("booking.yaml"), x.path("bad.yaml")}
		run(context.Background(), args, &out, io.Discard)
		var got []checkResult
		if err := json.Unmarshal(out.Bytes(), &got); err != nil || len(got) != 2 {
			t.Fatalf("check --json of two files: error %v, got %+v, want 2 results", err, got)
		}
		if !got[0].OK || got[1].OK || len(got[1].Problems) != 2 || got[1].Problems[0].Line == 0 {
			t.Errorf("check --json: got %+v, want the first file valid and the second with 2 problems and their lines", got)
		}
	})
}

// descriptionCases check descriptions.
func descriptionCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"examples",
			[]string{"check", x.path("booking.yaml"), x.path("gateway.toml")}, 0,
			[]string{"booking.yaml: can be used, 21 operations", "gateway.toml: can be used",
				"1 to 4 by body property installers, else 1"}},
		{"description with a configuration",
			[]string{"check", "--config", x.path("gateway.toml"), x.path("booking.yaml")}, 0,
			[]string{"can be used"}},
		{"description that warns",
			[]string{"check", x.writeEdited("cheap.yaml", "booking.yaml",
				"x-mulleinmux: {class: visit-book, units: 2}\n", "description: cheap\n")}, 0,
			[]string{"warning", "PATCH /v1/visits/{visit} changes something and takes its class and units"}},
		{"description with two problems",
			[]string{"check", x.writeEdited("bad.yaml", "booking.yaml",
				"{class: visit-book, units: 2}", "{class: visit-bok, units: 0}")}, 2,
			[]string{"bad.yaml:", `class "visit-bok"`, "0 is outside 1 to 50",
				"paths./visits/{visit}.patch.x-mulleinmux.class"}},
		{"description that is missing",
			[]string{"check", x.path("none.yaml")}, 2,
			[]string{"no such file"}},
	}
}

// configurationCases check the file of an instance.
func configurationCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"plan that is unknown",
			[]string{"check", x.writeEdited("a.toml", "gateway.toml", `plan = "kubwa"`, `plan = "kubva"`)}, 2,
			[]string{"a.toml:81", "licensee[0].plan", `"kubva" is not the name of a [[plan]]`}},
		{"zone that is unknown",
			[]string{"check", x.writeEdited("b.toml", "gateway.toml", `zone = "hall-a"`, `zone = "hall-c"`)}, 2,
			[]string{"b.toml:6", "zone"}},
		{"unknown field",
			[]string{"check", x.writeEdited("c.toml", "gateway.toml", "rate = 18", "rat = 18")}, 2,
			[]string{"c.toml:", "plan.rat", "is not a field of this file"}},
		{"wrong type",
			[]string{"check", x.writeEdited("d.toml", "gateway.toml", `aim = "400ms"`, `aim = 400`)}, 2,
			[]string{"d.toml:"}},
		{"address without a port",
			[]string{"check", x.writeEdited("e.toml", "gateway.toml", `"127.0.0.1:8501"`, `"127.0.0.1"`)}, 2,
			[]string{"e.toml:", "hall[1].register"}},
		{"hard limit below the rate",
			[]string{"check", x.writeEdited("f.toml", "gateway.toml", "ceiling_rate = 40", "ceiling_rate = 10")}, 2,
			[]string{"plan[2].ceiling_rate", "must not be below rate"}},
		{"broken TOML",
			[]string{"check", x.writeEdited("g.toml", "gateway.toml", "[limits]", "[limits")}, 2,
			[]string{"g.toml:16"}},
		{"missing description of a configuration",
			[]string{"check", x.writeEdited("h.toml", "gateway.toml",
				`description = "booking.yaml"`, `description = "nowhere.yaml"`)}, 2,
			[]string{"nowhere.yaml"}},
		{"check without files",
			[]string{"check"}, 2,
			[]string{"<file>"}},
		{"check with a missing configuration",
			[]string{"check", "--config", x.path("none.toml"), x.path("booking.yaml")}, 2,
			[]string{"--config"}},
	}
}

// programCases run instances, scenarios and measurements.
func programCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"run with a missing configuration",
			[]string{"run", "--config", x.path("none.toml")}, 2,
			[]string{"--config"}},
		{"run with a bad configuration",
			[]string{"run", "--config", x.path("b.toml")}, 2,
			[]string{"b.toml:6"}},
		{"unknown scenario",
			[]string{"lab", "--scenario", "storm"}, 2,
			[]string{"storm", "--list"}},
		{"scenario too short",
			[]string{"lab", "--for", "1ms"}, 2,
			[]string{"--for"}},
		{"list of scenarios",
			[]string{"lab", "--list"}, 0,
			[]string{"calm", "mixed", "contract-change"}},
		{"bench without rounds",
			[]string{"bench", "--rounds", "0"}, 2,
			[]string{"--rounds"}},
		{"bench with an empty subset",
			[]string{"bench", "--parts", "--size", "0"}, 2,
			[]string{"--size"}},
	}
}

// certificateCases issue certificates, one after the other in one folder.
func certificateCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"certificates of a new cluster",
			[]string{"certs", "--cluster", "c", "--members", "1,2", "--dir", x.path("certs")}, 0,
			[]string{"cluster c for members [1 2]"}},
		{"certificates of a further member",
			[]string{"certs", "--members", "3", "--dir", x.path("certs")}, 0,
			[]string{"cluster c for members [3]"}},
		{"second cluster in a folder",
			[]string{"certs", "--cluster", "d", "--members", "4", "--dir", x.path("certs")}, 2,
			[]string{"authority-key.pem", "exists"}},
		{"second certificate of a member",
			[]string{"certs", "--members", "2", "--dir", x.path("certs")}, 2,
			[]string{"member-2", "exists"}},
		{"folder without an authority",
			[]string{"certs", "--members", "1", "--dir", x.path("none")}, 2,
			[]string{"authority"}},
		{"certificate of an operator",
			[]string{"certs", "--operators", "amina", "--dir", x.path("certs")}, 0,
			[]string{"operators [amina]"}},
		{"certificates of nobody",
			[]string{"certs", "--dir", x.path("certs")}, 2,
			[]string{"none is named"}},
	}
}

// memberFileCases check the file of a member.
func memberFileCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"member",
			[]string{"check", x.path("member.toml")}, 0,
			[]string{"can be used"}},
		{"member that is not listed",
			[]string{"check", x.writeEdited("m1.toml", "member.toml", "number = 1 ", "number = 7 ")}, 2,
			[]string{"m1.toml:33", "cluster.number", "7 is not the number of a [[cluster.member]]"}},
		{"member address without a port",
			[]string{"check", x.writeEdited("m2.toml", "member.toml", `raft = "127.0.0.1:7102"`, `raft = "127.0.0.1"`)}, 2,
			[]string{"cluster.member[1].raft", "is not an IP address with a port"}},
		{"unknown answer to staleness",
			[]string{"check", x.writeEdited("m3.toml", "member.toml", `"serve"`, `"maybe"`)}, 2,
			[]string{"cluster.when_stale", "maybe"}},
		{"member with a description",
			[]string{"check", x.writeEdited("m4.toml", "member.toml",
				`zone = "hall-a"`, "zone = \"hall-a\"\ndescription = \"x.yaml\"")}, 2,
			[]string{"description", "agreed on by the cluster"}},
		{"unknown rule for keys",
			[]string{"check", x.writeEdited("m6.toml", "member.toml", `"home"`, `"here"`)}, 2,
			[]string{"cluster.keys", "here"}},
		{"member listed twice",
			[]string{"check", x.writeEdited("m5.toml", "member.toml", "number = 2", "number = 1")}, 2,
			[]string{"cluster.member[1].number", "used twice"}},
	}
}

// followerFileCases check the file of a follower.
func followerFileCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"follower",
			[]string{"check", x.writeEdited("f0.toml", "follower.toml", "", "")}, 0,
			[]string{"can be used"}},
		{"stream address without a port",
			[]string{"check", x.writeEdited("f1.toml", "follower.toml",
				`stream = "127.0.0.1:7302"`, `stream = "nowhere"`)}, 2,
			[]string{"f1.toml:", "follow.member[1].stream", "is not an IP address with a port"}},
		{"followed member listed twice",
			[]string{"check", x.writeEdited("f2.toml", "follower.toml", "number = 3", "number = 2")}, 2,
			[]string{"follow.member[2].number", "used twice"}},
		{"unknown rule for keys of a follower",
			[]string{"check", x.writeEdited("f3.toml", "follower.toml", `keys = "home"`, `keys = "here"`)}, 2,
			[]string{"follow.keys", "here"}},
		{"follower with a plan",
			[]string{"check", x.writeEdited("f4.toml", "follower.toml", "[limits]", "[[plan]]\nname = \"a\"\n[limits]")}, 2,
			[]string{"plan", "agreed on by the cluster"}},
		{"follower without certificates",
			[]string{"run", "--config", x.writeEdited("f5.toml", "follower.toml",
				`certs = "certs"`, `certs = "nowhere"`)}, 2,
			[]string{"follow.certs", "--followers edge-1"}},
	}
}

// clusterCases create a member's data file and send requests to a cluster. They use the certificates that
// certificateCases issued.
func clusterCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"certificate of a follower",
			[]string{"certs", "--followers", "edge-1", "--dir", x.path("certs")}, 0,
			[]string{"followers [edge-1]"}},
		{"pin to no version",
			[]string{"stream", "pin", "edge-1", "0"}, 2,
			[]string{"version"}},
		{"unknown wait",
			[]string{"config", "apply", x.path("booking.yaml"), "--wait", "all-but-some"}, 2,
			[]string{"all-but-N"}},
		{"member without a data file",
			[]string{"run", "--config", x.path("member.toml")}, 2,
			[]string{"member-1.db", "gateway init"}},
		{"init without a way",
			[]string{"init", "--config", x.path("member.toml")}, 2,
			[]string{"--new-cluster", "--join"}},
		{"init of no member",
			[]string{"init", "--config", x.path("gateway.toml"), "--join"}, 2,
			[]string{"cluster: is missing"}},
		{"init of a new cluster",
			[]string{"init", "--config", x.path("member.toml"), "--new-cluster"}, 0,
			[]string{"member 1 of cluster dodoma"}},
		{"init of a member that exists",
			[]string{"init", "--config", x.path("member.toml"), "--join"}, 2,
			[]string{"exists"}},
		{"operator without a certificate",
			[]string{"config", "--certs", x.path("certs"), "--operator", "zuri", "status"}, 2,
			[]string{"--operator", "zuri", "gateway certs"}},
		{"cluster that cannot be reached",
			[]string{"config", "--certs", x.path("certs"), "--operator", "amina", "--at", "127.0.0.1:1", "status"}, 1,
			[]string{"127.0.0.1:1", "refused"}},
		{"timeout too long",
			[]string{"config", "--timeout", "1h", "status"}, 2,
			[]string{"--timeout"}},
		{"cluster file without its parts",
			[]string{"config", "apply", writeFile(x.t, x.dir, "empty.toml", "description = \"none.yaml\"\n")}, 2,
			[]string{"empty.toml", "hall", "class"}},
	}
}

// commandLineCases run an unknown command, and the help.
func commandLineCases(x *exampleFolder) []commandCase {
	return []commandCase{
		{"unknown command",
			[]string{"nothing"}, 2,
			[]string{"nothing"}},
		{"help",
			[]string{"--help"}, 0,
			[]string{"Usage: gateway <command>", "lab", "check", "run"}},
	}
}
