package exchange

import (
	"errors"
	"io"
)

// skip reads a body that is of no use, unless it is longer than most.
func skip(body io.Reader, most int64) error {
	n, err := io.CopyN(io.Discard, body, most)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil && n == most:
		return errEndless
	}
	return err
}

// boundedBody bounds what one call reads from the connection beside the body's
// own bytes: chunk lines and trailers may come without end.
type boundedBody struct {
	body    io.Reader
	bounded *boundedReader
}

// Read reads the next part of the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	b.bounded.left = int64(len(p)) + MaxHeadBytes
	return b.body.Read(p)
}

// streamed is the rest of an answer that is passed on while it is read.
type streamed struct {
	body io.Reader
	conn *conn
}

// Read reads the next part.
func (s *streamed) Read(p []byte) (int, error) { return s.body.Read(p) }

// Close ends the connection: a large answer is rare, and its end can't be told
// from extra bytes without more care than a connection is worth.
func (s *streamed) Close() error {
	s.conn.discard()
	return nil
}

// boundedReader fails after a number of bytes. Unlike the end of an
// io.LimitedReader, that can't be taken for the end of a body.
type boundedReader struct {
	reader io.Reader
	left   int64
}

// Read reads at most what is left.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errEndless
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
