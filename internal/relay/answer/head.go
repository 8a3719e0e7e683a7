// Package answer checks the heads of HTTP answers, as their bytes arrive. The parsers of HTTP
// libraries are lenient towards servers: they pass on, or take for something else, what breaks
// the rules of HTTP.
package answer

import (
	"errors"
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
	// in an answer of HTTP/1.0 takes their sizes for a part of the body.
	transferEncoding = "Transfer-Encoding"
	// maxLineStart bounds what is kept of a line.
	maxLineStart = 64
)

// HeadError reports a head that breaks the rules of HTTP.
type HeadError struct {
	// Line is the beginning of the line that is wrong.
	Line string
	Err  error
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("the line %q in the head of an answer: %v", e.Line, e.Err)
}

func (e *HeadError) Unwrap() error { return e.Err }

var (
	errVersion  = errors.New("it must begin with a version of HTTP/1")
	errStatus   = errors.New("the status must be a number from 100 to 599")
	errProtocol = errors.New("no other protocol was asked for")
	errName     = errors.New("it must begin with a field's name and a colon")
	errEncoding = errors.New("HTTP/1.0 has no transfer encodings")
	errControl  = errors.New("it has a control byte")
)

// HeadChecker checks the head of an answer, and those of the informational answers before it.
// The zero value expects a status line.
type HeadChecker struct {
	// inFields is set after the status line, complete after the head of the final answer.
	inFields, complete bool
	status             int
	// old is set if the version is HTTP/1.0.
	old bool

	// lineStart holds the first kept bytes of the current line.
	lineStart [maxLineStart]byte
	kept      int
	// afterColon is set after the name of a field, afterCR after a CR.
	afterColon, afterCR bool
}

// Check checks the next bytes of a connection. It ignores those after the head. The error is a
// *HeadError.
func (h *HeadChecker) Check(p []byte) error {
	for _, b := range p {
		if h.complete {
			return nil
		}
		var err error
		if b == '\n' {
			err = h.endLine()
		} else {
			err = h.extendLine(b)
		}
		if err != nil {
			return &HeadError{Line: h.keptLine(), Err: err}
		}
	}
	return nil
}

// keptLine returns the beginning of the current line.
func (h *HeadChecker) keptLine() string { return string(h.lineStart[:h.kept]) }

// extendLine takes in a byte of a line.
func (h *HeadChecker) extendLine(b byte) error {
	var err error
	if h.inFields && !h.afterColon {
		err = h.extendName(b)
	} else if h.afterCR || b != '\r' && b != '\t' && isControl(b) {
		err = errControl
	}
	if h.afterCR = b == '\r'; !h.afterCR && h.kept < maxLineStart {
		h.lineStart[h.kept] = b
		h.kept++
	}
	return err
}

// extendName takes in a byte of a field's name or of the blank line. A line that continues the
// field before it, which is obsolete, begins with a blank and is an error.
func (h *HeadChecker) extendName(b byte) error {
	switch {
	case h.afterCR:
		return errName
	case b == '\r' && h.kept == 0:
		return nil // the blank line's
	case b == ':' && h.kept > 0:
		h.afterColon = true
		if h.old && strings.EqualFold(h.keptLine(), transferEncoding) {
			return errEncoding
		}
		return nil
	case !httpguts.IsTokenRune(rune(b)):
		return errName
	}
	return nil
}

// endLine checks the line that ends.
func (h *HeadChecker) endLine() error {
	switch {
	case !h.inFields:
		if err := h.parseStatusLine(); err != nil {
			return err
		}
		h.inFields = true
	case h.kept == 0:
		h.inFields = false
		h.complete = h.status >= http.StatusOK
	case !h.afterColon:
		return errName
	}
	h.kept, h.afterColon, h.afterCR = 0, false, false
	return nil
}

// parseStatusLine sets the version and the status.
func (h *HeadChecker) parseStatusLine() error {
	rest, ok := strings.CutPrefix(h.keptLine(), statusLineStart)
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return errVersion
	}
	digits, _, _ := strings.Cut(rest[2:], " ")
	status, err := strconv.Atoi(digits)
	switch {
	case err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus:
		return errStatus
	case status == http.StatusSwitchingProtocols:
		return errProtocol
	}
	h.status, h.old = status, rest[0] == '0'
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isControl reports whether b is a control character of ASCII.
func isControl(b byte) bool { return b < ' ' || b == 0x7f }
