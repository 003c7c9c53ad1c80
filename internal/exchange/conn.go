package exchange

import (
	"bufio"
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
	reader            *bufio.Reader // reads from bounded
	hasCarriedRequest bool
	bodyBroken        atomic.Bool // the body of the current request could not be read to its end
	refusedIDs        []string    // requests that the server refused on this connection
	idleSince         time.Time
	idleTimeout       time.Duration
	reusable          bool
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
