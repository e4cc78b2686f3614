package main

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The recorded inputs under testdata are what the bench sent to this program on short simulated days, cut at the end of
// a batch. The replies are recorded again only with
//
//	go test ./cmd/simadapter -run TestRecordedTraces -update
var update = flag.Bool("update", false, "record the replies to the traces in testdata again")

// variant is a change to a trace: old is a regular expression, and new replaces its matches.
type variant struct{ name, old, new string }

// apply returns the changed trace.
func (v variant) apply(trace string) string {
	if v.old == "" {
		return trace
	}
	changed := regexp.MustCompile(v.old).ReplaceAllString(trace, v.new)
	if v.name == "answers_begin" {
		changed = strings.ReplaceAll(changed, `"streamed":false`, `"streamed":true`)
	}
	return changed
}

// variants are changes to a trace, mostly to the settings of its instances, under which it is replayed as well. The
// changed events no longer match what the simulator would send after the program's replies, but the replies to them are
// still deterministic.
var variants = []variant{
	{name: "as_recorded"},
	{"hedging", `"parallelTries":false`, `"parallelTries":true`},
	{"subscribed_list", `"registryMode":"automatic"`, `"registryMode":"subscribe"`},
	{"postpaid_units", `"postPaid":false`, `"postPaid":true`},
	{"keyed_by_zone", `"idempotency":"fragile","keyScope":"all"`, `"idempotency":"dedup","keyScope":"zone"`},
	{
		"answers_begin", `(?m)^COMMIT\nCLOCK \S+\nCOMPLETED (\d+) (\S+) \d 0 (\S+) (\S+) (\d+) .*$`,
		"HEADERS $1 $2 $5 $3 $4\n$0",
	},
	{"clients_leave", `(?m)^COMPLETED (\d+) (\S*[1-4a-d]) .*$`, "LEFT $1 $2\n$0"},
	{"servers_drain", `(?m)^(ITEM \S*[a-k]) IN `, "$1 LAME "},
	{"list_fails", `(?m)^FLEET (\d+) \d+ \d+ Complete$`, "FLEET $1 0 - Error"},
	{"partial_lists", `(?m)^(FLEET .*) Complete$`, "$1 Partial"},
	{"rejections", `(?m)^(COMPLETED \d+ \S*[5-7e-h] \d) 0 `, "$1 254 "},
	{"resets", `(?m)^(COMPLETED \d+ \S*[5-7e-h] \d) 0 `, "$1 251 "},
	{"failed_connects", `(?m)^(COMPLETED \d+ \S*[5-7e-h] \d) 0 `, "$1 252 "},
	{"open_attempts", `"maxOut":0`, `"maxOut":2`},
	{"ceilings", `"hardBurst":0\.0(.{1,60}?)"neverOverRate":0\.0`, `"hardBurst":9$1"neverOverRate":4`},
	{"no_reports", `"how":"answers"`, `"how":"none"`},
	{"reports_on_probes", `"how":"answers"`, `"how":"probe"`},
	{"no_peers", `"peers":true`, `"peers":false`},
	{"no_cancelling", `"cancel":true`, `"cancel":false`},
}

// linesPerChecksum is the number of reply lines that each checksum in a recording covers.
const linesPerChecksum = 250

func TestRecordedTraces(t *testing.T) {
	traces, err := filepath.Glob("testdata/*.in.gz")
	if err != nil || len(traces) == 0 {
		t.Fatalf("traces %v, error %v", traces, err)
	}
	for _, path := range traces {
		name := strings.TrimSuffix(filepath.Base(path), ".in.gz")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replayTrace(t, name)
		})
	}
}

// replayTrace replays a trace under all variants that change it, in parallel.
func replayTrace(t *testing.T, name string) {
	t.Helper()
	input := string(unzip(t, filepath.Join("testdata", name+".in.gz")))
	recording := filepath.Join("testdata", name+".replies.txt")
	want := readRecording(t, recording)
	lines := make([]string, len(variants)) // of the new recording
	replayed := 0
	for i, v := range variants {
		changed := v.apply(input)
		if v.old != "" && changed == input {
			continue // the variant does not change the trace
		}
		replayed++
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			got := replySummary(t, changed)
			lines[i] = v.name + " " + got + "\n"
			if !*update {
				compareSummaries(t, got, want[v.name])
			}
		})
	}
	if *update {
		t.Cleanup(func() { writeRecording(t, recording, lines) }) // after the variants
	} else if replayed != len(want) {
		t.Errorf("%s: %d variants replayed, want the %d recorded", name, replayed, len(want))
	}
}

// replySummary returns the summary of the program's replies to a trace.
func replySummary(t *testing.T, trace string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(trace), &out); err != nil {
		t.Fatal(err)
	}
	return summary(out.Bytes())
}

func writeRecording(t *testing.T, path string, lines []string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(strings.Join(lines, "")), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readRecording returns the summaries in a recording by variant.
func readRecording(t *testing.T, path string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil && !*update {
		t.Fatal(err)
	}
	summaries := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		summaries[name] = rest
	}
	return summaries
}

// summary returns the SHA-256 of replies, followed by a checksum of each part of them, which shows where two replies
// differ.
func summary(replies []byte) string {
	words := []string{fmt.Sprintf("%x", sha256.Sum256(replies))}
	lines := bytes.SplitAfter(replies, []byte("\n"))
	for part := range slices.Chunk(lines, linesPerChecksum) {
		words = append(words, fmt.Sprintf("%08x", crc32.ChecksumIEEE(bytes.Join(part, nil))))
	}
	return strings.Join(words, " ")
}

// compareSummaries fails the test if the replies differ from the recorded ones, and reports the first part that
// differs.
func compareSummaries(t *testing.T, got, want string) {
	t.Helper()
	if got == want {
		return
	}
	gotChecksums, wantChecksums := strings.Fields(got)[1:], strings.Fields(want + " -")[1:]
	for i := range min(len(gotChecksums), len(wantChecksums)) {
		if gotChecksums[i] != wantChecksums[i] {
			t.Fatalf("replies differ from the recorded ones in lines %d to %d", i*linesPerChecksum+1, (i+1)*linesPerChecksum)
		}
	}
	t.Fatalf("got %d parts of replies, want the %d recorded", len(gotChecksums), len(wantChecksums))
}

func unzip(t *testing.T, path string) []byte {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	r, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
