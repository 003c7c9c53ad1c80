// Package bounded reads what others send without an end.
package bounded

import "io"

// Reader fails with Err after Remaining bytes, which its user may raise again. An
// io.LimitedReader returns io.EOF instead, which looks like the end of a body.
type Reader struct {
	Source    io.Reader
	Remaining int64
	Err       error
}

// Read reads at most the remaining number of bytes.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Remaining <= 0 {
		return 0, r.Err
	}
	n, err := r.Source.Read(p[:min(int64(len(p)), r.Remaining)])
	r.Remaining -= int64(n)
	return n, err
}
