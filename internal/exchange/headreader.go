package exchange

import (
	"bytes"
	"io"
)

// headReader reads from a server and finds continuation lines (RFC 9112, section 5.2) in
// the head of a response. net/http appends such a line to the field before it, so that a
// field with a blank before its name changes another one.
type headReader struct {
	source io.Reader
	// hasContinuation is true if a line of the head begins with a blank or tab.
	hasContinuation bool
	atLineStart     bool
	ended           bool // the head
}

// start begins the head of the next response with bytes that have been read already.
func (h *headReader) start(buffered []byte) {
	*h = headReader{source: h.source}
	h.scan(buffered)
}

// Read reads from the source.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	h.scan(p[:n])
	return n, err
}

// scan examines the next bytes of the connection.
func (h *headReader) scan(p []byte) {
	for len(p) > 0 && !h.ended {
		if h.atLineStart {
			h.hasContinuation = p[0] == ' ' || p[0] == '\t'
			// Only the last line of a head begins with an end of line.
			h.ended = h.hasContinuation || p[0] == '\r' || p[0] == '\n'
		}
		end := bytes.IndexByte(p, '\n')
		h.atLineStart = end >= 0
		p = p[end+1:]
		if end < 0 {
			return
		}
	}
}
