package pipeline

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Budget bounds bytes that are held in memory. A nil Budget stands for no limit.
type Budget interface {
	// TryAcquire takes n bytes and reports whether they were available.
	TryAcquire(n int64) bool
	// Release gives n bytes back.
	Release(n int64)
}

// Decision is what a Starter does with a request.
type Decision uint8

// Decisions about a request that was read ahead.
const (
	// Started means that the request is in progress.
	Started Decision = iota
	// InTurn means that the request is served in its turn. Those behind it may be
	// started when it is being served.
	InTurn
	// Stop means that the request is served in its turn and that none behind it may be
	// started.
	Stop
)

// Starter starts requests that a connection has read ahead. Its methods don't block.
type Starter interface {
	// HasRoom reports whether another request may be started now. If not, the connection is
	// not read further before net/http takes up the next request.
	HasRoom() bool
	// Start is called with each complete request without a body that is read ahead, in
	// their order, and with the request's number on the connection. raw is valid during
	// the call.
	Start(number uint64, raw []byte) Decision
	// CallerLeft is called when the caller has ended the connection.
	CallerLeft()
	// Closing is called at least once, before the connection is closed.
	Closing()
}

// Conn is a caller's connection that is read ahead while a request is being served. It
// assumes, as net/http ensures, that one goroutine at a time reads from it.
type Conn struct {
	net.Conn
	starter Starter
	current atomic.Uint64
	buffer  buffer

	// The fields below belong to the goroutine in Read.

	finder  finder
	stopped bool // reading ahead has ended
	// delivered and scanned are positions in the caller's bytes: net/http has all before
	// the first, and the finder has examined all before the second.
	delivered, scanned int64
	// boundary is the end of the last request that was delivered as a whole.
	boundary int64
	// next is the beginning of the request that is being scanned; found is the number
	// of those before it.
	next  int64
	found uint64
	// extents are those of the scanned requests that are not delivered as a whole.
	extents []extent
	// inTurnUntil is the end of the last request that is served in its turn. Nothing
	// behind it is started before all of it has been delivered.
	inTurnUntil int64
}

// extent is the position of a request in the caller's bytes.
type extent struct {
	number              uint64
	start, headEnd, end int64
}

// NewConn wraps a caller's connection. The bytes that are read ahead are taken from the
// budget.
func NewConn(c net.Conn, budget Budget) *Conn {
	return &Conn{Conn: c, buffer: buffer{budget: budget}}
}

// SetStarter sets what starts the requests. It must be called before the first Read.
func (c *Conn) SetStarter(s Starter) { c.starter = s }

// Starter returns what starts the requests.
func (c *Conn) Starter() Starter { return c.starter }

// Current returns the number of the request whose head was the last to be delivered to
// the end. Numbers begin at 1. It doesn't rise any more after reading ahead has ended.
func (c *Conn) Current() uint64 { return c.current.Load() }

// Read reads bytes of at most one request, unless reading ahead has ended.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 1 && c.atBoundary():
		return c.readAhead(p)
	case !c.buffer.isEmpty():
		return c.readBuffered(p), nil
	case len(c.extents) > 0: // the end of the request is known
		n, err := c.readConn(p[:min(int64(len(p)), c.extents[0].end-c.delivered)])
		c.advance(n)
		return n, err
	}
	n, err := c.readConn(p)
	return c.deliver(p[:n]), err
}

// atBoundary reports whether a request has been delivered as a whole and nothing of the
// next, and reading ahead is of use. A Read of one byte is then the background read of
// net/http, which watches the connection while a handler runs: the head of a request is
// read by a bufio.Reader that is empty between two requests and asks for more.
func (c *Conn) atBoundary() bool {
	return c.boundary > 0 && c.delivered == c.boundary && (!c.stopped || len(c.extents) > 0)
}

// readConn reads from the caller.
func (c *Conn) readConn(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.starter.CallerLeft()
	}
	return n, err
}

// readBuffered delivers bytes from the buffer.
func (c *Conn) readBuffered(p []byte) int {
	if len(c.extents) == 0 && !c.stopped {
		c.scan()
	}
	if len(c.extents) > 0 {
		p = p[:min(int64(len(p)), c.extents[0].end-c.delivered)]
	}
	n := copy(p, c.buffer.bytes())
	c.buffer.discard(n)
	c.advance(n)
	return n
}

// deliver delivers bytes that were read while the buffer was empty and the end of the
// request was unknown. It returns their number up to the end of the request and keeps
// the others.
func (c *Conn) deliver(p []byte) int {
	n := len(p)
	if !c.stopped && c.feed(p) {
		n = int(min(int64(n), c.extents[0].end-c.delivered))
		if !c.buffer.add(p[n:]) {
			c.stopped = true
			n = len(p)
		}
	}
	c.advance(n)
	return n
}

// scan examines the buffered bytes up to the end of the next head. It reports whether it
// has found that end.
func (c *Conn) scan() bool {
	unscanned := c.buffer.bytes()
	if skip := c.scanned - c.delivered; skip < int64(len(unscanned)) {
		return c.feed(unscanned[skip:])
	}
	return false
}

// feed is scan for the given bytes, which begin at c.scanned.
func (c *Conn) feed(p []byte) bool {
	n, s := c.finder.feed(p)
	c.scanned += int64(n)
	switch s {
	case statusMore:
		return false
	case statusUnclear:
		c.stopped = true
		return false
	}
	head := c.finder.head
	c.finder.reset()
	c.found++
	e := extent{number: c.found, start: c.next, headEnd: c.scanned, end: c.scanned + head.bodyBytes}
	c.extents = append(c.extents, e)
	c.scanned, c.next = e.end, e.end
	if !head.mayStart || head.bodyBytes > 0 {
		c.inTurnUntil = e.end
	}
	c.stopped = c.stopped || head.last
	return true
}

// advance records that bytes have been delivered.
func (c *Conn) advance(n int) {
	c.delivered += int64(n)
	done := 0
	for _, e := range c.extents {
		if c.delivered >= e.headEnd {
			c.current.Store(e.number)
		}
		if c.delivered < e.end {
			break
		}
		c.boundary = e.end
		done++
	}
	if done > 0 {
		c.extents = append(c.extents[:0], c.extents[done:]...)
	}
}

// readAhead serves the background read of net/http. It reads and starts the requests
// that follow until net/http ends the read by its deadline or the caller ends the
// connection. While started requests wait it also reads what it can't start, to notice
// the end of the connection. When a bound is reached, it returns a byte, after which
// net/http doesn't read before it takes up the next request.
func (c *Conn) readAhead(p []byte) (int, error) {
	for {
		c.startFound()
		if !c.buffer.isEmpty() && !c.stopped && !c.starter.HasRoom() {
			return c.readBuffered(p), nil
		}
		if c.buffer.isEmpty() { // the usual case, for which no buffer is held
			n, err := c.readConn(p)
			if n == 0 || c.stopped || !c.starter.HasRoom() || !c.buffer.add(p[:n]) {
				return c.deliver(p[:n]), err
			}
			continue
		}
		tail := c.buffer.tail()
		if len(tail) == 0 {
			return c.readBuffered(p), nil
		}
		n, err := c.readConn(tail)
		c.buffer.extend(n)
		if n == 0 {
			return 0, err
		}
	}
}

// startFound starts the requests that are complete in the buffer, up to one that is
// served in its turn.
func (c *Conn) startFound() {
	for !c.stopped && c.delivered >= c.inTurnUntil && c.starter.HasRoom() && c.scan() {
		e := c.extents[len(c.extents)-1]
		if c.inTurnUntil == e.end {
			return
		}
		switch c.starter.Start(e.number, c.buffer.bytes()[e.start-c.delivered:e.headEnd-c.delivered]) {
		case InTurn:
			c.inTurnUntil = e.end
		case Stop:
			c.stopped = true
		}
	}
}

// Close ends the requests that were started and closes the connection.
func (c *Conn) Close() error {
	c.starter.Closing()
	c.buffer.close()
	return c.Conn.Close()
}

// NetConn returns the connection that is read ahead.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn returns the operating system's connection. It fails if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger is that of net.TCPConn; it fails if the connection is none.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite is that of net.TCPConn; it does nothing if the connection is none.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
