package exchange

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cassiasill/cassiasill/internal/bounded"
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	pool              *Pool
	bounded           *bounded.Reader
	head              *headReader   // reads from bounded
	reader            *bufio.Reader // reads from head
	hasCarriedRequest bool
	bodyBroken        atomic.Bool // the body of the current request could not be read to its end
	refusedIDs        []string    // requests that the server refused on this connection
	idleSince         time.Time
	idleTimeout       time.Duration
	reusable          bool
}

func newConn(c net.Conn, pool *Pool, now time.Time) *conn {
	source := &bounded.Reader{Source: c, Err: errTooLong}
	head := &headReader{source: source}
	return &conn{Conn: c, pool: pool, bounded: source, head: head, reader: bufio.NewReaderSize(head, 4096), idleSince: now, idleTimeout: defaultIdleTimeout}
}

// readHead reads the head of the next response, and fails if it is none of HTTP.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.bounded.Remaining = MaxHeaderBytes
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.head.start(buffered)
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	if !isValidStatus(response.StatusCode) {
		return nil, fmt.Errorf("%w: %s", errInvalidStatus, response.Status)
	}
	if err := c.head.scanner.Check(response.Header); err != nil {
		return nil, err
	}
	return response, nil
}

// applyKeepAlive sets from a response whether the connection is reusable and for
// how long it may be idle.
func (c *conn) applyKeepAlive(response *http.Response) {
	c.reusable = !response.Close
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil && s >= 0 {
				c.idleTimeout = time.Duration(float64(s) * keepAliveFraction * float64(time.Second))
			}
		}
	}
}
