// Package answer checks the heads of HTTP answers, as their bytes arrive. The parsers of HTTP
// libraries are lenient towards servers: they pass on, or take for something else, what breaks
// the rules of HTTP.
package answer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// statusLineStart is how a status line begins, up to the version's second digit.
	statusLineStart = "HTTP/1."
	minStatus       = 100
	maxStatus       = 599
	statusDigits    = 3
	// transferEncoding is the field that announces chunks. A parser that doesn't expect it
	// in an old answer takes their sizes for a part of the body.
	transferEncoding = "Transfer-Encoding"
	// maxLineStart bounds what is kept of a line.
	maxLineStart = 64
)

// Head checks the head of an answer, and those of the informational answers before it. The
// zero value expects a status line.
type Head struct {
	// inFields is set after the status line.
	inFields bool
	complete bool
	status   int
	// old is set if the version is HTTP/1.0.
	old bool

	// lineStart holds the first kept bytes of the current line.
	lineStart [maxLineStart]byte
	kept      int
	// afterColon is set behind the name of a field, afterCR behind a CR.
	afterColon, afterCR bool
}

// HeadError reports a head that breaks the rules of HTTP.
type HeadError struct {
	// Line is the beginning of the line that is wrong.
	Line    string
	Problem string
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("the line %q of an answer's head: %s", e.Line, e.Problem)
}

// What may be wrong with a line.
const (
	badVersion  = "it must begin with a version of HTTP/1"
	badStatus   = "the status must be a number from 100 to 599"
	badProtocol = "no other protocol was asked for"
	badName     = "it must begin with a field's name and a colon"
	badEncoding = "HTTP/1.0 has no transfer encodings"
	badControl  = "it has a control byte"
)

// Scan checks the next bytes of a connection. It ignores those after the head. The error is a
// *HeadError.
func (h *Head) Scan(p []byte) error {
	for _, b := range p {
		if h.complete {
			return nil
		}
		problem := ""
		if b == '\n' {
			problem = h.endLine()
		} else {
			problem = h.extendLine(b)
		}
		if problem != "" {
			return &HeadError{Line: h.keptLine(), Problem: problem}
		}
	}
	return nil
}

// extendLine takes in a byte of a line. It returns what is wrong, or "".
func (h *Head) extendLine(b byte) (problem string) {
	if h.inFields && !h.afterColon {
		problem = h.extendName(b)
	} else if h.afterCR || b != '\r' && b != '\t' && isControl(b) {
		problem = badControl
	}
	if h.afterCR = b == '\r'; !h.afterCR && h.kept < maxLineStart {
		h.lineStart[h.kept] = b
		h.kept++
	}
	return problem
}

// extendName takes in a byte of a field's name or of the blank line. It returns what is wrong,
// or "". A line that continues a field begins with a blank, and is obsolete.
func (h *Head) extendName(b byte) (problem string) {
	switch {
	case h.afterCR:
		return badName
	case b == '\r' && h.kept == 0:
		return "" // the blank line's
	case b == ':' && h.kept > 0:
		h.afterColon = true
		if h.old && strings.EqualFold(h.keptLine(), transferEncoding) {
			return badEncoding
		}
		return ""
	case !httpguts.IsTokenRune(rune(b)):
		return badName
	}
	return ""
}

// keptLine returns the beginning of the current line.
func (h *Head) keptLine() string { return string(h.lineStart[:h.kept]) }

// endLine checks the line that ends. It returns what is wrong, or "".
func (h *Head) endLine() (problem string) {
	switch {
	case !h.inFields:
		h.status, h.old, problem = parseStatusLine(h.keptLine())
		h.inFields = true
	case h.kept == 0:
		h.inFields = false
		h.complete = h.status >= http.StatusOK
	case !h.afterColon:
		problem = badName
	}
	if problem == "" {
		h.kept, h.afterColon, h.afterCR = 0, false, false
	}
	return problem
}

// parseStatusLine parses the beginning of a status line. It returns what is wrong, or "".
func parseStatusLine(line string) (status int, old bool, problem string) {
	rest, ok := strings.CutPrefix(line, statusLineStart)
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, false, badVersion
	}
	digits, _, _ := strings.Cut(rest[2:], " ")
	status, err := strconv.Atoi(digits)
	switch {
	case err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus:
		return 0, false, badStatus
	case status == http.StatusSwitchingProtocols:
		return 0, false, badProtocol
	}
	return status, rest[0] == '0', ""
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isControl reports whether b is a control character of ASCII.
func isControl(b byte) bool { return b < ' ' || b == 0x7f }
