package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"mulleinmux/internal/fixture"
)

// fixtureCommands returns the recorded commands in the order in which they run. in returns the path of a file in the
// run's folder, and edited that of a copy in which one text is replaced.
func fixtureCommands(
	in func(name string) string, edited func(name, source, old, replacement string) string) [][]string {
	return [][]string{
		{"--help"},
		{},
		{"nothing"},
		{"check"},
		{"lab", "--list"},
		{"lab", "--scenario", "storm"},
		{"lab", "--for", "1ms"},
		{"bench", "--rounds", "0"},
		{"bench", "--parts", "--size", "0"},
		{"run", "--config", in("none.toml")},
		{"run", "--config", in("member.toml")},
		{"init", "--config", in("member.toml")},
		{"init", "--config", in("gateway.toml"), "--join"},
		{"init", "--config", in("member.toml"), "--adopt"},
		{"init", "--config", in("member.toml"), "--new-cluster"},
		{"init", "--config", in("member.toml"), "--join"},
		{"certs", "--dir", in("certs")},
		{"certs", "--members", "0", "--dir", in("certs")},
		{"certs", "--members", "1", "--dir", in("certs")},
		{
			"certs", "--cluster", "dodoma", "--members", "1,2", "--operators", "amina", "--followers", "edge-1",
			"--dir", in("certs"),
		},
		{"certs", "--cluster", "other", "--members", "3", "--dir", in("certs")},
		{"certs", "--members", "2", "--dir", in("certs")},
		{"config", "--timeout", "1h", "status"},
		{"config", "--certs", in("certs"), "--operator", "zuri", "status"},
		{"config", "apply", in("fleet.toml"), "--wait", "all"},
		{"config", "diff", edited("fleet-bad.toml", "fleet.toml", "rate = 18", "rate = -1")},
		{"config", "apply", in("none.toml")},
		{"stream", "pin", "edge-1", "0"},
		{
			"check", "--json", in("booking.yaml"),
			edited("bad.yaml", "booking.yaml", "{class: visit-book, units: 2}", "{class: visit-bok, units: 0}"),
		},
		{"check", in("bad.yaml")},
		{
			"check",
			edited(
				"cheap.yaml", "booking.yaml", "x-mulleinmux: {class: visit-book, units: 2}\n", "description: cheap\n",
			),
		},
		{"check", edited("a.toml", "gateway.toml", `plan = "kubwa"`, `plan = "kubva"`)},
		{"check", "--json", in("a.toml")},
		{"check", edited("b.toml", "member.toml", `"serve"`, `"maybe"`)},
		{"check", edited("c.toml", "follower.toml", `keys = "home"`, `keys = "here"`)},
	}
}

// copyDeploy copies the configuration files of deploy/ to dir and returns their paths in it.
func copyDeploy(t *testing.T, dir string) []string {
	t.Helper()
	var files []string
	if err := fs.WalkDir(os.DirFS("../../deploy"), ".", func(path string, d fs.DirEntry, err error) error {
		if ext := filepath.Ext(path); err == nil && (ext == ".toml" || ext == ".yaml") {
			files = append(files, path)
			var text []byte
			if text, err = os.ReadFile(filepath.Join("../../deploy", path)); err == nil {
				err = os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o755)
			}
			if err == nil {
				err = os.WriteFile(filepath.Join(dir, path), text, 0o600)
			}
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	return files
}

// The standard output, standard error and exit statuses of commands equal the recorded ones: help texts, lists, usage
// errors, and check with each file of deploy/. Paths of the run's folders are masked.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./cmd/gateway -run Fixture
func TestFixtureCommands(t *testing.T) {
	dir := t.TempDir()
	files := copyDeploy(t, dir)
	if len(files) < 8 {
		t.Fatalf("deploy/: got files %v, want at least 8", files)
	}
	in := func(name string) string { return filepath.Join(dir, name) }
	edited := func(name, source, old, replacement string) string {
		text, err := os.ReadFile(in(source))
		if err != nil || !strings.Contains(string(text), old) {
			t.Fatalf("%s does not contain %q (read error: %v)", source, old, err)
		}
		return writeFile(t, dir, name, strings.Replace(string(text), old, replacement, 1))
	}
	commands := slices.Concat(fixtureCommands(in, edited), helpCommands(), checkCommands(in, files))

	var transcript bytes.Buffer
	for _, args := range commands {
		appendCommand(&transcript, args)
	}
	appendFileModes(t, &transcript, in("certs"))

	got := bytes.ReplaceAll(transcript.Bytes(), []byte(dir), []byte("DIR"))
	if wd, err := os.Getwd(); err == nil {
		got = bytes.ReplaceAll(got, []byte(wd), []byte("HERE"))
	}
	fixture.Compare(t, "commands.txt.gz", got)
}

// helpCommands returns command lines that print the help of commands.
func helpCommands() (commands [][]string) {
	for _, c := range []string{
		"lab", "check", "bench", "certs", "init", "config", "config apply", "config members", "stream", "run",
	} {
		commands = append(commands, append(strings.Fields(c), "--help"))
	}
	return commands
}

// checkCommands returns command lines that check each file, with text and with JSON output.
func checkCommands(in func(name string) string, files []string) (commands [][]string) {
	for _, name := range files {
		commands = append(commands, []string{"check", in(name)}, []string{"check", "--json", in(name)})
	}
	return commands
}

// appendCommand runs a command and appends its output and exit status.
func appendCommand(transcript *bytes.Buffer, args []string) {
	var out, errs bytes.Buffer
	status := run(context.Background(), args, &out, &errs)
	fmt.Fprintf(transcript, "$ gateway %s\n%s", strings.Join(args, " "), &out)
	if errs.Len() > 0 {
		fmt.Fprintf(transcript, "stderr: %s", &errs)
	}
	fmt.Fprintf(transcript, "exit %d\n\n", status)
}

// appendFileModes appends the modes and paths of a folder and of everything in it, sorted by path.
func appendFileModes(t *testing.T, transcript *bytes.Buffer, folder string) {
	t.Helper()
	modes := map[string]string{}
	if err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			modes[path] = info.Mode().String()
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	for _, path := range slices.Sorted(maps.Keys(modes)) {
		fmt.Fprintln(transcript, modes[path], path)
	}
}
