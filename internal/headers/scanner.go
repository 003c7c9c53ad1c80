package headers

import (
	"bytes"
	"errors"
	"net/http"
)

// errContinuation reports a line that continues the field before it.
var errContinuation = errors.New("the response's head has a continuation line")

// Scanner examines the bytes of a response's head for continuation lines (RFC 9112,
// section 5.2). net/http appends such a line to the field before it, so that a field with a
// blank before its name changes another one. The zero value is at the begin of a head.
type Scanner struct {
	hasContinuation bool
	atLineStart     bool
	ended           bool // the head
}

// Scan examines the next bytes. Those behind the head are ignored.
func (s *Scanner) Scan(p []byte) {
	for len(p) > 0 && !s.ended {
		if s.atLineStart {
			s.hasContinuation = p[0] == ' ' || p[0] == '\t'
			// Only the last line of a head begins with an end of line.
			s.ended = s.hasContinuation || p[0] == '\r' || p[0] == '\n'
		}
		end := bytes.IndexByte(p, '\n')
		s.atLineStart = end >= 0
		p = p[end+1:]
		if end < 0 {
			return
		}
	}
}

// Check returns an error if the head that was scanned, and of which net/http has read the
// header, has a continuation line or an invalid field name.
func (s *Scanner) Check(header http.Header) error {
	if s.hasContinuation {
		return errContinuation
	}
	return CheckNames(header)
}
