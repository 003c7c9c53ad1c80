package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxInlineBodyBytes bounds the body that is written together with the header.
// Larger bodies are written while the response is awaited, since a server may
// respond before it has read the body.
const maxInlineBodyBytes = 32 << 10

// writeRequest writes the request and returns the number of bytes written before
// it returns. It sends the result of the complete write on sent.
func (p *Pool) writeRequest(c *conn, r *Request, sent chan<- error) (int, error) {
	head := p.requestHead(r)
	if r.RemainingBody == nil && len(r.Body) <= maxInlineBodyBytes {
		n, err := c.Write(append(head, r.Body...))
		sent <- err
		return n, err
	}
	n, err := c.Write(head)
	if err != nil {
		sent <- err
		return n, err
	}
	p.background.Go(func() { sent <- writeBody(c, r) })
	return n, nil
}

// writeBody writes a large body, in chunks if its length is unknown. If the caller's
// part of it can't be read, the connection is closed: the server would wait for the
// rest, and a response could only be to an incomplete request.
func writeBody(c *conn, r *Request) error {
	var body io.Reader = bytes.NewReader(r.Body)
	if r.RemainingBody != nil {
		body = io.MultiReader(body, &callerBody{r.RemainingBody, c})
	}
	if r.ContentLength >= 0 {
		_, err := io.Copy(c.Conn, io.LimitReader(body, r.ContentLength))
		return err
	}
	buffer := make([]byte, maxInlineBodyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", n, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(c.Conn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// callerBody reads a body from the caller and closes the server's connection if the
// body breaks off.
type callerBody struct {
	body io.Reader
	conn *conn
}

// Read reads the next part of the body.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		b.conn.bodyBroken.Store(true)
		b.conn.discard()
	}
	return n, err
}

// requestHead returns the request line and the header.
func (p *Pool) requestHead(r *Request) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a strings.Builder never fails
	fmt.Fprintf(&b, "%s: %s\r\n", p.headers.ExpectInstance, r.ExpectedInstance)
	if !r.Deadline.IsZero() {
		remaining := max(time.Until(r.Deadline).Milliseconds(), 1)
		fmt.Fprintf(&b, "%s: %d\r\n", p.headers.DeadlineMillis, remaining)
	}
	switch {
	case r.ContentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.ContentLength > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead):
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.ContentLength)
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}
