package cluster

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"mulleinmux/internal/fixture"
)

// expositionLines parses an exposition in the Prometheus text format. It returns the TYPE and HELP lines unchanged, and
// a line for each sample with its value and its labels sorted by name.
func expositionLines(text string) ([]string, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	if err != nil {
		return nil, err
	}
	var lines []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "#") {
			lines = append(lines, strings.TrimSuffix(line, "\n"))
		}
	}
	for name, family := range families {
		for _, metric := range family.Metric {
			lines = append(lines, sampleLine(name, metric))
		}
	}
	return lines, nil
}

// sampleLine formats a sample of a gauge, a counter or an untyped metric as a line.
func sampleLine(name string, metric *dto.Metric) string {
	var labels []string
	for _, pair := range metric.Label {
		labels = append(labels, fmt.Sprintf("%s=%q", pair.GetName(), pair.GetValue()))
	}
	slices.Sort(labels)
	var value any
	switch {
	case metric.Gauge != nil:
		value = metric.Gauge.GetValue()
	case metric.Counter != nil:
		value = metric.Counter.GetValue()
	case metric.Untyped != nil:
		value = metric.Untyped.GetValue()
	}
	line := fmt.Sprintf("%s{%s} %v", name, strings.Join(labels, ","), value)
	if metric.TimestampMs != nil {
		line += fmt.Sprintf(" at %d", metric.GetTimestampMs())
	}
	return line
}

// diffExpositions compares two expositions, ignoring the order of metrics and labels and the format of numbers. It
// returns the lines that got lacks with the prefix "- ", and those that only got has with the prefix "+ ".
func diffExpositions(got, want string) ([]string, error) {
	gotLines, err := expositionLines(got)
	if err != nil {
		return nil, err
	}
	wantLines, err := expositionLines(want)
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, line := range gotLines {
		counts[line]++
	}
	for _, line := range wantLines {
		counts[line]--
	}
	var diff []string
	for line, count := range counts {
		switch {
		case count > 0:
			diff = append(diff, "+ "+line)
		case count < 0:
			diff = append(diff, "- "+line)
		}
	}
	slices.Sort(diff)
	return diff, nil
}

// maskedValue replaces the value of a sample that differs between runs. It is not a number.
const maskedValue = " N\n"

// compareExposition compares got with the recorded file of this name. The exposition between begin and end is compared
// by its samples, and the text around it byte by byte.
func compareExposition(t *testing.T, name string, got []byte, begin, end string) {
	t.Helper()
	want := fixture.Read(t, name)
	gotText, recorded := cutBetween(t, got, begin, end), cutBetween(t, want, begin, end)
	unmask := strings.NewReplacer(maskedValue, " NaN\n")
	diff, err := diffExpositions(unmask.Replace(string(gotText)), unmask.Replace(string(recorded)))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if len(diff) > 0 {
		t.Errorf("%s: the exposition differs:\n%s", name, strings.Join(diff, "\n"))
		return
	}
	fixture.Compare(t, name, bytes.Replace(got, gotText, recorded, 1))
}

// cutBetween returns the part of a text between begin and end.
func cutBetween(t *testing.T, text []byte, begin, end string) []byte {
	t.Helper()
	_, after, hasBegin := bytes.Cut(text, []byte(begin))
	part, _, hasEnd := bytes.Cut(after, []byte(end))
	if !hasBegin || !hasEnd || len(part) == 0 {
		t.Fatalf("no exposition between %q and %q", begin, end)
	}
	return part
}

// Expositions with the same content are equal. A missing, additional or changed sample, label, value, TYPE or HELP is
// reported, and so is a text that is not an exposition.
func TestDiffExpositions(t *testing.T) {
	t.Parallel()
	const recorded = "# HELP a_total Help of a.\n# TYPE a_total counter\n" +
		"a_total{x=\"1\",y=\"2\"} 3\na_total{x=\"1\",y=\"3\"} 40000000\n# TYPE b gauge\nb 0.5\n"
	for _, test := range []struct {
		name, old, to string
		want          []string
	}{
		{"nothing", "", "", nil},
		{"order of labels", `x="1",y="2"`, `y="2",x="1"`, nil},
		{"spelling of a number", "40000000", "4e+07", nil},
		{"value", "} 3", "} 4", []string{`+ a_total{x="1",y="2"} 4`, `- a_total{x="1",y="2"} 3`}},
		{"label", `y="2"`, `y="4"`, []string{`+ a_total{x="1",y="4"} 3`, `- a_total{x="1",y="2"} 3`}},
		{"label's name", `y="2"`, `z="2"`, []string{`+ a_total{x="1",z="2"} 3`, `- a_total{x="1",y="2"} 3`}},
		{"sample missing", "a_total{x=\"1\",y=\"2\"} 3\n", "", []string{`- a_total{x="1",y="2"} 3`}},
		{"sample twice", "b 0.5\n", "b 0.5\nb 0.5\n", []string{"+ b{} 0.5"}},
		{"time of a sample", "b 0.5\n", "b 0.5 7\n", []string{"+ b{} 0.5 at 7", "- b{} 0.5"}},
		{"metric more", "# TYPE b", "# TYPE c gauge\nc 1\n# TYPE b", []string{"+ # TYPE c gauge", "+ c{} 1"}},
		{"type", "b gauge", "b counter", []string{"+ # TYPE b counter", "- # TYPE b gauge"}},
		{"type missing", "# TYPE b gauge\n", "", []string{"- # TYPE b gauge"}},
		{"help", "of a.", "of b.", []string{"+ # HELP a_total Help of b.", "- # HELP a_total Help of a."}},
		{"help missing", "# HELP a_total Help of a.\n", "", []string{"- # HELP a_total Help of a."}},
		{"help empty", "# TYPE b", "# HELP b \n# TYPE b", []string{"+ # HELP b "}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(recorded, test.old) {
				t.Fatalf("the recorded exposition does not contain %q", test.old)
			}
			diff, err := diffExpositions(strings.Replace(recorded, test.old, test.to, 1), recorded)
			if err != nil || !slices.Equal(diff, test.want) {
				t.Errorf("got diff %q, want %q; error %v", diff, test.want, err)
			}
		})
	}
	if _, err := diffExpositions("b = 1\n", recorded); err == nil {
		t.Error("an invalid exposition was parsed, want an error")
	}
}
