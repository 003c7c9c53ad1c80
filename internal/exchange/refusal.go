package exchange

import (
	"errors"
	"io"
	"net"
	"time"
)

// Limits of reading the body of a refusal, which is not delivered. It is read only so that
// the connection can be used again.
const (
	maxRefusalBodyBytes = 64 << 10
	refusalBodyTimeout  = 100 * time.Millisecond
)

// skipRefusalBody reads the body of a refusal. If it is too long or late, the connection
// is not reused: the header is the proof, and the request need not wait for the rest.
func (c *conn) skipRefusalBody(body io.Reader, deadline time.Time) error {
	if err := c.SetReadDeadline(earlier(time.Now().Add(refusalBodyTimeout), deadline)); err != nil {
		return err
	}
	err := discardBody(body, maxRefusalBodyBytes)
	if err == nil {
		return c.SetReadDeadline(deadline)
	}
	c.reusable = false
	var netErr net.Error
	if errors.Is(err, errTooLong) || errors.As(err, &netErr) && netErr.Timeout() {
		return nil
	}
	return err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
