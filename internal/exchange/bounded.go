package exchange

import (
	"errors"
	"io"

	"github.com/cassiasill/cassiasill/internal/bounded"
)

// discardBody reads and discards a body of at most maxBytes. A longer body is an
// error.
func discardBody(body io.Reader, maxBytes int64) error {
	n, err := io.CopyN(io.Discard, body, maxBytes)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil && n == maxBytes:
		return errTooLong
	}
	return err
}

// boundedBody bounds how many bytes one Read takes from the connection in
// addition to the body's own: chunk headers and trailers may be endless.
type boundedBody struct {
	body   io.Reader
	reader *bounded.Reader
}

// Read reads the next part of the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	b.reader.Remaining = int64(len(p)) + MaxHeaderBytes
	return b.body.Read(p)
}

// streamedBody is the part of a large response that is not buffered but streamed
// to the caller.
type streamedBody struct {
	body io.Reader
	conn *conn
	stop func() bool // ends the watch of the request's context
}

// Read reads the next part of the response.
func (s *streamedBody) Read(p []byte) (int, error) { return s.body.Read(p) }

// Close closes the connection instead of returning it to the pool: large
// responses are rare, and checking that no extra bytes follow one costs more than
// a new connection.
func (s *streamedBody) Close() error {
	s.stop()
	s.conn.discard()
	return nil
}
