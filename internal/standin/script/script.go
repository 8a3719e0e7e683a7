// Package script reads the data files of scripted tests.
package script

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// Run runs each case of a data file as a subtest. A case is a block of lines that begins
// with "name NAME"; blank lines separate the cases. Other blocks are comments.
func Run(t *testing.T, file string, runCase func(t *testing.T, lines []string)) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	cases := 0
	for block := range strings.SplitSeq(string(raw), "\n\n") {
		lines := strings.Split(strings.TrimSpace(block), "\n")
		if name, ok := strings.CutPrefix(lines[0], "name "); ok {
			cases++
			t.Run(name, func(t *testing.T) { runCase(t, lines[1:]) })
		}
	}
	if cases == 0 {
		t.Fatalf("%s has no cases", file)
	}
}

// Unescape returns a text with its escapes interpreted as in Go. Quotes need none.
func Unescape(text string) (string, error) {
	return strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
}
