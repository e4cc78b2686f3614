package policy

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestSizeOfDecisionFiles keeps what the policy decides short enough to be read as one.
func TestSizeOfDecisionFiles(t *testing.T) {
	const maxLines, maxColumns = 1200, 110
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[([^\]]*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml has no list of the policy's files")
	}
	files := regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(list[1], -1)
	if len(files) == 0 {
		t.Fatal("deploy/balancer.toml lists no file of the policy")
	}
	lines := 0
	for _, file := range files {
		lines += countLines(t, string(file[1]), maxColumns)
	}
	if lines > maxLines {
		t.Errorf("%d lines, at most %d", lines, maxLines)
	}
}

// countLines returns how many lines of a file are not blank, and reports those that are too wide.
func countLines(t *testing.T, path string, maxColumns int) int {
	t.Helper()
	f, err := os.Open(filepath.Join("..", path))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	s := bufio.NewScanner(f)
	for s.Scan() {
		if strings.TrimSpace(s.Text()) != "" {
			lines++
		}
		if n := len(strings.ReplaceAll(s.Text(), "\t", "    ")); n > maxColumns {
			t.Errorf("%s: %d columns: %s", path, n, s.Text())
		}
	}
	if err := s.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}
