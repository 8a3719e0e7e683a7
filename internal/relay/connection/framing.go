package connection

import (
	"bytes"
	"strconv"
)

// framing follows the requests on a connection, byte by byte as they arrive, so that heads
// are told from bodies. It counts the bytes and lines of each head, and detects heads that
// state the length of the body in two ways: net/http uses one of them and removes the other,
// and a backend server that used the other one would find a second request inside the body of
// the first (request smuggling).
type framing struct {
	state framingState
	// line is the beginning of the current line, at most maxLine bytes; lineBytes is its length.
	line      []byte
	lineBytes int
	// end is the end of the line with which a head begins, at most maxEnd bytes.
	end []byte
	// left is how many bytes of the body or chunk are still to come.
	left int64
	head head
	// complete holds the heads of the request in progress and of those sent ahead.
	complete []head
}

// head is what is known of a request's head.
type head struct {
	begun, ambiguous bool
	// old is set if the request's version is HTTP/1.0, which has no chunks.
	old          bool
	bytes, lines int
	// reserved is the memory that was reserved for it.
	reserved         int
	contentLength    int64
	hasContentLength bool
	chunked          bool
	// lengthField is set while the line before was a field that states the body's length.
	lengthField bool
}

// framingState says which part of a request comes next.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// lost means that the length of a body can't be told. The connection is closed after the
	// request, if net/http doesn't do so.
	lost
)

const (
	// maxLine is how many bytes of a line are kept. A line that states the length of a body
	// in more is ambiguous.
	maxLine = 64
	// maxEnd is how many bytes of a line's end are kept.
	maxEnd = len(oldVersion) + len("\r")
	// oldVersion ends the first line of a request of the old version.
	oldVersion = "HTTP/1.0"
)

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
	chunked          = []byte("chunked")
)

// scan takes in the next bytes of the connection.
func (f *framing) scan(p []byte) {
	for len(p) > 0 {
		switch f.state {
		case lost:
			return
		case inBody, inChunk:
			n := min(f.left, int64(len(p)))
			p, f.left = p[n:], f.left-n
			if f.left > 0 {
				return
			}
			if f.state == inChunk {
				f.state = inChunkEnd
			} else {
				f.state = inHead
			}
		default:
			p = f.scanLine(p)
		}
	}
}

// scanLine takes in bytes up to the end of a line, and returns the others.
func (f *framing) scanLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	segment := p
	if end >= 0 {
		segment = p[:end]
	}
	if missing := maxLine - len(f.line); missing > 0 {
		f.line = append(f.line, segment[:min(missing, len(segment))]...)
	}
	f.lineBytes += len(segment)
	if f.state == inHead {
		f.head.bytes += len(segment)
		if !f.head.begun {
			f.end = append(f.end, segment[max(0, len(segment)-maxEnd):]...)
			f.end = f.end[max(0, len(f.end)-maxEnd):]
		}
	}
	if end < 0 {
		return nil
	}
	f.endLine(bytes.TrimRight(f.line, "\r"))
	f.line, f.lineBytes = f.line[:0], 0
	return p[end+1:]
}

// endLine evaluates a line.
func (f *framing) endLine(line []byte) {
	switch f.state {
	case inHead:
		f.endHeadLine(line)
	case inChunkSize:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 64)
		switch {
		case err != nil || size < 0 || f.lineBytes > maxLine && len(digits) == len(line):
			f.state = lost
		case size == 0:
			f.state = inTrailer
		default:
			f.left, f.state = size, inChunk
		}
	case inChunkEnd:
		f.state = inChunkSize
		if len(line) > 0 {
			f.state = lost
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = inHead
		}
	}
}

// endHeadLine evaluates a line of a head. Blank lines before a request are skipped, as
// net/http does.
func (f *framing) endHeadLine(line []byte) {
	h := &f.head
	switch {
	case len(line) > 0 && !h.begun:
		h.begun = true
		h.lines++
		h.old = bytes.HasSuffix(bytes.TrimRight(f.end, "\r"), []byte(oldVersion))
		f.end = f.end[:0]
	case len(line) > 0:
		h.lines++
		h.field(line, f.lineBytes > maxLine)
	case h.begun:
		f.endHead()
	}
}

// field takes in a line of the head after the first. A long one is cut.
func (h *head) field(line []byte, long bool) {
	if line[0] == ' ' || line[0] == '\t' {
		// The line continues the one before.
		h.ambiguous = h.ambiguous || h.lengthField
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	name = bytes.TrimSpace(name)
	h.lengthField = true
	switch {
	case bytes.EqualFold(name, contentLength):
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || n < 0 || long || h.hasContentLength && n != h.contentLength {
			h.ambiguous = true
		}
		h.contentLength, h.hasContentLength = n, true
	case bytes.EqualFold(name, transferEncoding):
		h.ambiguous = h.ambiguous || h.chunked || h.old || long || !bytes.EqualFold(value, chunked)
		h.chunked = true
	default:
		h.lengthField = false
	}
	h.ambiguous = h.ambiguous || h.chunked && h.hasContentLength
}

// endHead ends a head, after which its body begins.
func (f *framing) endHead() {
	h := f.head
	f.complete = append(f.complete, h)
	f.head = head{}
	switch {
	case h.ambiguous:
		f.state = lost
	case h.chunked:
		f.state = inChunkSize
	case h.contentLength > 0:
		f.left, f.state = h.contentLength, inBody
	}
}

// hasBegun reports whether a request has begun to arrive since the last one that has ended.
func (f *framing) hasBegun() bool { return f.head.begun || len(f.complete) > 0 }

// endRequest drops the oldest complete head and returns it.
func (f *framing) endRequest() head {
	if len(f.complete) == 0 {
		return head{}
	}
	h := f.complete[0]
	f.complete = f.complete[:copy(f.complete, f.complete[1:])]
	return h
}
