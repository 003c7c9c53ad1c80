package detour

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/network"
)

// Path is where a host takes requests for detours.
const Path = "/detour"

const (
	serverParameter = "server"
	protocol        = "cassiasill-detour"
	// framingHeader names in the request and in the response how the server's bytes
	// are framed. Older builds neither send nor understand it.
	framingHeader  = "Cassiasill-Framing"
	chunkedFraming = "chunked"
	framesFraming  = "frames"
	// stoppingHeader is set in refusals by a host that stops.
	stoppingHeader = "Cassiasill-Stopping"
)

// Server opens connections to servers for hosts that are cut off from them.
type Server struct {
	tracker *Tracker
	dial    exchange.DialFunc
	// isServer reports whether new connections to the address may be opened.
	isServer func(address string) bool
	onDetour func()
	log      *zap.Logger

	mu       sync.Mutex
	open     int // detours that are open or being opened
	carried  map[*carried]struct{}
	stopping bool
	aborted  bool          // the time to stop has passed
	ended    chan struct{} // closed when the server is stopping and no detour is open
	notices  conc.WaitGroup
}

// carried is one connection that is being copied.
type carried struct {
	host, server net.Conn
	writer       hostWriter
}

// maxOpen bounds the detours that are open at a time. Each takes two descriptors and 32 KiB.
const maxOpen = 256

// NewServer returns a Server that connects only to addresses for which isServer
// returns true. onDetour is called for each connection opened.
func NewServer(tracker *Tracker, dial exchange.DialFunc, isServer func(address string) bool, onDetour func(), log *zap.Logger) *Server {
	return &Server{tracker: tracker, dial: tracker.Observe(dial), isServer: isServer, onDetour: onDetour, log: log,
		carried: make(map[*carried]struct{}), ended: make(chan struct{})}
}

// ServeHTTP opens a connection and copies bytes until one side ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get(serverParameter)
	switch {
	case r.Header.Get("Upgrade") != protocol:
		w.WriteHeader(http.StatusBadRequest)
		return
	case !s.isServer(address):
		w.WriteHeader(http.StatusNotFound)
		return
	case s.tracker.IsCut():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.begin(w) {
		w.WriteHeader(http.StatusServiceUnavailable) // the other host asks the next one
		return
	}
	defer s.end()
	ctx, cancel := context.WithTimeout(r.Context(), exchange.DialTimeout)
	defer cancel()
	server, err := s.dial(ctx, "tcp", address)
	if err != nil {
		status := http.StatusBadGateway
		if s.tracker.IsCut() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	host, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.log.Warn("detour: connection not taken over", zap.Error(err))
		_ = server.Close() // unused
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.onDetour()
	framing := chooseFraming(r.Header.Values(framingHeader))
	if err := confirm(host, buffered.Reader, framing); err != nil {
		s.log.Debug("detour: connection not confirmed", zap.Error(err))
		reset(host)
		reset(server)
		return
	}
	c := &carried{host, server, newHostWriter(host, framing)}
	defer s.track(c)()
	copyBoth(host, server, c.writer)
}

// chooseFraming returns the newest of the framings that the host understands.
func chooseFraming(offered []string) string {
	for _, framing := range []string{framesFraming, chunkedFraming} {
		if slices.Contains(offered, framing) {
			return framing
		}
	}
	return ""
}

// confirm tells the host that its connection now leads to the server.
func confirm(host net.Conn, reader *bufio.Reader, framing string) error {
	if reader.Buffered() > 0 {
		return errors.New("the host sent bytes before the connection was confirmed")
	}
	if err := host.SetDeadline(time.Time{}); err != nil {
		return err
	}
	response := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n"
	if framing != "" {
		response += framingHeader + ": " + framing + "\r\n"
	}
	_, err := io.WriteString(host, response+"\r\n")
	return err
}

// copyBoth copies bytes in both directions. A connection that ends regularly is
// closed at the other side too, and one that breaks is reset there: a response
// without a length is complete only if its connection ends regularly. Requests need
// no end mark, since HTTP frames the body of each.
func copyBoth(host, server net.Conn, toHost hostWriter) {
	var group conc.WaitGroup
	group.Go(func() { copyRequests(server, host) })
	group.Go(func() { copyResponses(host, server, toHost) })
	group.Wait()
}

// copyBufferBytes is the buffer of one direction.
const copyBufferBytes = 16 << 10

// copyBytes copies until the source ends. The wrappers hide methods with which io would use
// buffers of its own.
func copyBytes(target io.Writer, source io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{target}, struct{ io.Reader }{source}, make([]byte, copyBufferBytes))
	return err
}

// copyRequests copies what the host sends and closes the server's connection behind it. If
// the server takes no more, its response may still be on the way: copyResponses sees how that
// ends.
func copyRequests(server, host net.Conn) {
	refusal := &refusalWriter{Writer: server}
	err := copyBytes(refusal, host)
	if refusal.refused || errors.Is(err, os.ErrDeadlineExceeded) {
		return // the latter is that of network.Linger
	}
	if err != nil {
		reset(server)
		reset(host)
		return
	}
	// Errors are of connections that the other direction has closed.
	_ = server.Close()
	_ = host.Close()
}

// refusalWriter records that a write has failed.
type refusalWriter struct {
	io.Writer
	refused bool
}

func (w *refusalWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.refused = err != nil
	return n, err
}

// copyResponses copies what the server sends. The host may still be sending when the server
// has ended, so its connection is closed once it has all.
func copyResponses(host, server net.Conn, toHost hostWriter) {
	err := copyBytes(toHost, server)
	if err == nil {
		err = toHost.markEnd()
	}
	if err != nil {
		reset(host)
		reset(server)
		return
	}
	_ = server.Close() // fails only if the other direction has closed it
	network.Linger(host)
}

// reset closes a connection so that its peer sees an error.
func reset(c net.Conn) {
	setLinger(c, 0)
	_ = c.Close()
}

// setLinger is network.SetLinger, which fails only on a closed connection.
func setLinger(c net.Conn, seconds int) { _ = network.SetLinger(c, seconds) }
