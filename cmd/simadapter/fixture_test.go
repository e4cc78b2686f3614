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

// The recorded inputs under testdata are what the bench sent to this program on short days, cut at the end of a
// batch. The replies are recorded, on purpose alone, with
//
//	go test ./cmd/simadapter -run TestRecordedTraces -update
var update = flag.Bool("update", false, "record the replies to the traces in testdata anew")

// variant is a change to a trace: old is a regular expression, and new what its matches become.
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

// variants are changes to a trace, mostly to the settings of its instances, under which it is played as well. The
// events are then not those that a world would answer with; what the program makes of them is determined all the same.
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

// linesPerMark is the number of lines of replies that one short mark in a recording stands for.
const linesPerMark = 250

func TestRecordedTraces(t *testing.T) {
	traces, err := filepath.Glob("testdata/*.in.gz")
	if err != nil || len(traces) == 0 {
		t.Fatalf("traces %v, error %v", traces, err)
	}
	for _, path := range traces {
		name := strings.TrimSuffix(filepath.Base(path), ".in.gz")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playTrace(t, name)
		})
	}
}

// playTrace plays a trace in parallel under all variants that change it.
func playTrace(t *testing.T, name string) {
	t.Helper()
	input := string(unzip(t, filepath.Join("testdata", name+".in.gz")))
	recording := filepath.Join("testdata", name+".replies.txt")
	want := readRecording(t, recording)
	lines := make([]string, len(variants)) // of the new recording
	played := 0
	for i, v := range variants {
		changed := v.apply(input)
		if v.old != "" && changed == input {
			continue // the trace is so already
		}
		played++
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			got := playedSummary(t, changed)
			lines[i] = v.name + " " + got + "\n"
			if !*update {
				compareSummaries(t, got, want[v.name])
			}
		})
	}
	if *update {
		t.Cleanup(func() { writeRecording(t, recording, lines) }) // after the variants
	} else if played != len(want) {
		t.Errorf("%s: %d variants played, %d recorded", name, played, len(want))
	}
}

// playedSummary returns the summary of the program's replies to a trace.
func playedSummary(t *testing.T, trace string) string {
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

// summary is the SHA-256 of replies, and after it a short mark of each part of them, which tells where two differ.
func summary(replies []byte) string {
	words := []string{fmt.Sprintf("%x", sha256.Sum256(replies))}
	lines := bytes.SplitAfter(replies, []byte("\n"))
	for part := range slices.Chunk(lines, linesPerMark) {
		words = append(words, fmt.Sprintf("%08x", crc32.ChecksumIEEE(bytes.Join(part, nil))))
	}
	return strings.Join(words, " ")
}

// compareSummaries names the first lines of the replies that differ from those recorded.
func compareSummaries(t *testing.T, got, want string) {
	t.Helper()
	if got == want {
		return
	}
	gotMarks, wantMarks := strings.Fields(got)[1:], strings.Fields(want + " -")[1:]
	for i := range min(len(gotMarks), len(wantMarks)) {
		if gotMarks[i] != wantMarks[i] {
			t.Fatalf("the replies differ from those recorded from line %d to %d", i*linesPerMark+1, (i+1)*linesPerMark)
		}
	}
	t.Fatalf("%d parts of replies, recorded %d", len(gotMarks), len(wantMarks))
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
