package policy

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

func TestSizeOfTheModule(t *testing.T) {
	f, err := os.Open("choice.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		if strings.TrimSpace(s.Text()) != "" {
			lines++
		}
		if n := len(strings.ReplaceAll(s.Text(), "\t", "    ")); n > 110 {
			t.Errorf("%d columns: %s", n, s.Text())
		}
	}
	if lines > 1200 {
		t.Errorf("%d lines, at most 1200", lines)
	}
}
