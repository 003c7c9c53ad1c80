package exchange

import (
	"io"

	"github.com/cassiasill/cassiasill/internal/headers"
)

// headReader scans the head of a response while it is read from a server.
type headReader struct {
	source  io.Reader
	scanner headers.Scanner
}

// start begins the head of the next response with bytes that have been read already.
func (h *headReader) start(buffered []byte) {
	h.scanner = headers.Scanner{}
	h.scanner.Scan(buffered)
}

// Read reads from the source.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	h.scanner.Scan(p[:n])
	return n, err
}
