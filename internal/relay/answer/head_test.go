package answer

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/script"
)

// TestHead scans each text as a whole and cut in two anywhere.
func TestHead(t *testing.T) {
	script.Run(t, "testdata/heads.txt", func(t *testing.T, lines []string) {
		is := is.New(t)
		is.Equal(len(lines), 2)
		text, err := strconv.Unquote(`"` + strings.TrimPrefix(lines[0], "> ") + `"`)
		is.NoErr(err)
		for cut := range len(text) + 1 {
			is.Equal("expect "+verdict(text[:cut], text[cut:]), lines[1])
		}
	})
}

// verdict scans the parts of a text.
func verdict(parts ...string) string {
	var h Head
	for _, p := range parts {
		var e *HeadError
		if err := h.Scan([]byte(p)); errors.As(err, &e) {
			return e.Problem
		}
	}
	if h.complete {
		return "complete"
	}
	return "incomplete"
}

// FuzzHead checks that no text makes Scan fail otherwise than with a HeadError, and that the
// verdict doesn't depend on how the text arrives.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		cut = max(0, min(cut, len(text)))
		is.New(t).Equal(verdict(text), verdict(text[:cut], text[cut:]))
	})
}
