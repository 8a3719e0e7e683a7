package answer

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/script"
)

// TestHeadChecker checks each text as a whole and cut in two anywhere.
func TestHeadChecker(t *testing.T) {
	script.Run(t, "testdata/heads.txt", func(t *testing.T, lines []string) {
		is := is.New(t)
		is.Equal(len(lines), 2)
		text, err := script.Unescape(strings.TrimPrefix(lines[0], "> "))
		is.NoErr(err)
		for cut := range len(text) + 1 {
			is.Equal("expect "+verdict(text[:cut], text[cut:]), lines[1])
		}
	})
}

// verdict checks the parts of a text.
func verdict(parts ...string) string {
	var h HeadChecker
	for _, p := range parts {
		var e *HeadError
		if err := h.Check([]byte(p)); errors.As(err, &e) {
			return e.Err.Error()
		}
	}
	if h.complete {
		return "complete"
	}
	return "incomplete"
}

// FuzzHeadChecker checks that no text makes Check fail otherwise than with a HeadError, and that the
// verdict doesn't depend on how the text arrives.
func FuzzHeadChecker(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		cut = max(0, min(cut, len(text)))
		is.New(t).Equal(verdict(text), verdict(text[:cut], text[cut:]))
	})
}
