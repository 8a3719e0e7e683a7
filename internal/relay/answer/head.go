// Package answer checks the heads of HTTP answers, as their bytes arrive. The parsers of HTTP
// libraries are lenient towards servers: they pass on, or take for something else, what breaks
// the rules of HTTP.
package answer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	// statusLineStart is how a status line begins, up to the version's second digit.
	statusLineStart = "HTTP/1."
	// maxStart bounds what is kept of a line.
	maxStart     = len("HTTP/1.1 200 ")
	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

// Head checks the head of an answer, and those of the informational answers before it. The
// zero value expects a status line.
type Head struct {
	// inFields is set after the status line.
	inFields bool
	complete bool
	// line is the beginning of the current line, at most maxStart bytes.
	line   []byte
	status int
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

// Scan checks the next bytes of a connection. It ignores those after the head. The error is a
// *HeadError.
func (h *Head) Scan(p []byte) error {
	for _, b := range p {
		if h.complete {
			return nil
		}
		if b == '\n' {
			if err := h.endLine(); err != nil {
				return err
			}
			continue
		}
		if len(h.line) < maxStart {
			h.line = append(h.line, b)
		}
	}
	return nil
}

// endLine checks a line.
func (h *Head) endLine() error {
	line := strings.TrimSuffix(string(h.line), "\r")
	h.line = h.line[:0]
	switch {
	case !h.inFields:
		status, problem := parseStatusLine(line)
		if problem != "" {
			return &HeadError{Line: line, Problem: problem}
		}
		h.status, h.inFields = status, true
	case line == "":
		h.inFields = false
		h.complete = h.status >= http.StatusOK
	}
	return nil
}

// parseStatusLine parses the beginning of a status line. It returns what is wrong with it, or "".
func parseStatusLine(line string) (status int, problem string) {
	rest, ok := strings.CutPrefix(line, statusLineStart)
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, "it must begin with a version of HTTP/1"
	}
	digits, _, _ := strings.Cut(rest[2:], " ")
	status, err := strconv.Atoi(digits)
	switch {
	case err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus:
		return 0, "the status must be a number from 100 to 599"
	case status == http.StatusSwitchingProtocols:
		return 0, "no other protocol was asked for"
	}
	return status, ""
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
