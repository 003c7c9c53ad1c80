package detour

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/exchange"
)

// peerProcessVariable makes the test program run a peer instead of the tests.
const peerProcessVariable = "CASSIASILL_TEST_PEER"

func TestMain(m *testing.M) {
	if os.Getenv(peerProcessVariable) != "" {
		runPeer()
		return
	}
	os.Exit(m.Run())
}

// runPeer serves detours until the process is killed.
func runPeer() {
	server := httptest.NewServer(NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop()))
	fmt.Println(strings.TrimPrefix(server.URL, "http://"))
	_, _ = io.Copy(io.Discard, os.Stdin) // ends with the test
}

// peerProcess is a peer in a process of its own.
type peerProcess struct {
	address string
	process *os.Process
}

func startPeerProcess(t *testing.T) *peerProcess {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), peerProcessVariable+"=1")
	stdin, err := command.StdinPipe()
	assert.NilError(t, err)
	stdout, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Process.Signal(syscall.SIGCONT) // it may have been stopped
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(t, err)
	return &peerProcess{address: strings.TrimSpace(line), process: command.Process}
}

// bodyServer is a server whose response has no length. It sends the head and the
// first half of the body, and the second half after finish is closed.
type bodyServer struct {
	address string
	finish  chan struct{}
}

const (
	unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n"
	halfBody     = "the first half, "
	wholeBody    = halfBody + "the second half"
)

func newBodyServer(t *testing.T) *bodyServer {
	t.Helper()
	s := &bodyServer{finish: make(chan struct{})}
	s.address = serveConns(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, unframedHead+halfBody)
		<-s.finish
		_, _ = io.WriteString(c, strings.TrimPrefix(wholeBody, halfBody))
	})
	t.Cleanup(func() { // before that of serveConns, which waits for the server
		select {
		case <-s.finish:
		default:
			close(s.finish)
		}
	})
	return s
}

// serveConns starts a server that calls serve for each connection. It returns its address.
func serveConns(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// dialerBy returns a Dialer of a host that is cut off and knows one peer.
func dialerBy(peer string) *Dialer {
	direct := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address != peer {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return exchange.Dial(ctx, network, address)
	}
	return NewDialer(cutTracker(), direct, func() []string { return []string{peer} }, func() {})
}

var testHeaders = exchange.HeaderNames{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Signature: "X-Signature", ExpectInstance: "X-Expect", NotExecuted: "X-Refused"}

// requestBy sends one request to the server by way of the peer.
func requestBy(t *testing.T, peer, server string, deadline time.Duration) exchange.Result {
	t.Helper()
	dialer := dialerBy(peer)
	defer dialer.Wait()
	pool := exchange.NewPool(server, &testHeaders, dialer.Dial, &conc.WaitGroup{}, nil)
	defer pool.Close()
	return pool.Do(context.Background(), &exchange.Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h",
		Header: http.Header{"X-Id": {"1"}}, Deadline: time.Now().Add(deadline), ExpectedInstance: "server-1"})
}

// Guards against half of a response that is passed on as a success because the
// process of the peer ended: the kernel closes its connections regularly (review/1).
func TestEndOfThePeerIsNotTheEndOfTheBody(t *testing.T) {
	faults := map[string]func(*testing.T, *peerProcess){
		"killed":     func(t *testing.T, p *peerProcess) { assert.NilError(t, p.process.Kill()) },
		"terminated": func(t *testing.T, p *peerProcess) { assert.NilError(t, p.process.Signal(syscall.SIGTERM)) },
		"frozen":     func(t *testing.T, p *peerProcess) { assert.NilError(t, p.process.Signal(syscall.SIGSTOP)) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			peer, server := startPeerProcess(t), newBodyServer(t)
			time.AfterFunc(200*time.Millisecond, func() { fault(t, peer) })
			want := exchange.Broken
			if name == "frozen" {
				want = exchange.TimedOut
			}
			result := requestBy(t, peer.address, server.address, time.Second)
			assert.Equal(t, result.Outcome, want, "status %d, body %q, %v", result.Status, result.Body, result.Err)
		})
	}
	t.Run("none", func(t *testing.T) {
		peer, server := startPeerProcess(t), newBodyServer(t)
		time.AfterFunc(200*time.Millisecond, func() { close(server.finish) })
		result := requestBy(t, peer.address, server.address, 5*time.Second)
		assert.Equal(t, result.Outcome, exchange.Answered, "%v", result.Err)
		assert.Equal(t, string(result.Body), wholeBody)
	})
}

// Guards against a peer of an older build, which can't state the end of the server's
// connection: its end must not complete a body without a length.
func TestEndByWayOfAnOlderPeerIsUnproven(t *testing.T) {
	older := NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop())
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(framingHeader)
		older.ServeHTTP(w, r)
	}))
	defer peer.Close()
	address := strings.TrimPrefix(peer.URL, "http://")
	server := newBodyServer(t)
	close(server.finish)
	result := requestBy(t, address, server.address, time.Second)
	assert.Equal(t, result.Outcome, exchange.Broken)
	assert.Assert(t, result.Sent, "the request may have been executed")

	framed := serveResponse(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole")
	result = requestBy(t, address, framed, time.Second)
	assert.Equal(t, result.Outcome, exchange.Answered, "%v", result.Err)
	assert.Equal(t, string(result.Body), "whole")
}

// Guards against a host of an older build, which takes the regular end of the
// connection for the end of the body: it must see a reset if the peer is killed, and
// the regular end only after that of the server.
func TestOlderHostSeesAResetIfThePeerIsKilled(t *testing.T) {
	for _, killed := range []bool{true, false} {
		peer, server := startPeerProcess(t), newBodyServer(t)
		c, err := net.Dial("tcp", peer.address)
		assert.NilError(t, err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "GET %s?%s=%s HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", Path, serverParameter, server.address, protocol)
		assert.NilError(t, err)
		reader := bufio.NewReader(c)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusSwitchingProtocols)
		assert.Equal(t, response.Header.Get(framingHeader), "")
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		first := make([]byte, len(unframedHead+halfBody))
		_, err = io.ReadFull(reader, first)
		assert.NilError(t, err)
		if killed {
			assert.NilError(t, peer.process.Kill())
			_, err = io.ReadAll(reader)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			continue
		}
		close(server.finish)
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), strings.TrimPrefix(wholeBody, halfBody))
	}
}

// serveResponse starts a server that answers each request with the given bytes and
// closes the connection. It returns its address.
func serveResponse(t *testing.T, response string) string {
	t.Helper()
	return serveConns(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	})
}

// Guards against framings that change on the way by a peer: the end of the connection
// completes a response only where the server's framing says so.
func TestFramingsPassThePeer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
	cases := map[string]struct {
		response string
		want     exchange.Outcome
		body     string
	}{
		"length":                   {head + "Content-Length: 5\r\n\r\nwhole", exchange.Answered, "whole"},
		"length, cut":              {head + "Content-Length: 5\r\n\r\nwho", exchange.Broken, ""},
		"length, cut after head":   {head + "Content-Length: 5\r\n\r\n", exchange.Broken, ""},
		"chunks":                   {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", exchange.Answered, "whole"},
		"chunks, cut after one":    {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", exchange.Broken, ""},
		"chunks, cut within one":   {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwho", exchange.Broken, ""},
		"chunks, cut in a trailer": {head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nwhole\r\n0\r\nX-T: ", exchange.Broken, ""},
		"no length":                {head + "\r\nwhole", exchange.Answered, "whole"},
		"no length, empty":         {head + "\r\n", exchange.Answered, ""},
		"interim response":         {"HTTP/1.1 103 Early\r\n\r\n" + head + "\r\nwhole", exchange.Answered, "whole"},
		"no content":               {strings.Replace(head, "200 OK", "204 None", 1) + "\r\n", exchange.Answered, ""},
		"not modified":             {strings.Replace(head, "200 OK", "304 Same", 1) + "Content-Length: 5\r\n\r\n", exchange.Answered, ""},
		"bytes after the end":      {head + "Content-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\n", exchange.Answered, "whole"},
		"cut within the head":      {head, exchange.Broken, ""},
	}
	peer := httptest.NewServer(NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop()))
	defer peer.Close()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := requestBy(t, strings.TrimPrefix(peer.URL, "http://"), serveResponse(t, c.response), 5*time.Second)
			assert.Equal(t, result.Outcome, c.want, "%v", result.Err)
			assert.Equal(t, string(result.Body), c.body)
		})
	}
}

// framedBytes returns what a peer sends for the body in a framing, in two writes.
func framedBytes(t *testing.T, framing string) []byte {
	t.Helper()
	var framed bytes.Buffer
	host, peer := net.Pipe()
	w := newHostWriter(peer, framing)
	var group conc.WaitGroup
	group.Go(func() { _, _ = framed.ReadFrom(host) })
	for _, part := range []string{wholeBody[:5], wholeBody[5:]} {
		_, err := io.WriteString(w, part)
		assert.NilError(t, err)
	}
	assert.NilError(t, w.markEnd())
	_ = peer.Close()
	group.Wait()
	return framed.Bytes()
}

// Guards against an end of a framing other than its last frame or chunk that looks like the
// end of the server's connection: it is cut at each byte.
func TestCutFramingHasNoEnd(t *testing.T) {
	for _, framing := range []string{framesFraming, chunkedFraming} {
		framed := framedBytes(t, framing)
		end := len(framed)
		if framing == chunkedFraming {
			end = bytes.Index(framed, []byte("0\r\n\r\n")) + len("0\r\n")
		}
		var group conc.WaitGroup
		for cut := range len(framed) + 1 {
			host, peer := net.Pipe()
			group.Go(func() {
				_, _ = peer.Write(framed[:cut])
				_ = peer.Close()
			})
			var c net.Conn = newFramedConn(host, func() {})
			if framing == chunkedFraming {
				c = newChunkedConn(host)
			}
			data, err := io.ReadAll(c)
			if cut < end {
				var unproven *unprovenEndError
				assert.Assert(t, errors.As(err, &unproven), "%s cut at %d: %v", framing, cut, err)
				assert.Assert(t, strings.HasPrefix(wholeBody, string(data)))
			} else {
				assert.NilError(t, err)
				assert.Equal(t, string(data), wholeBody)
			}
			_ = host.Close()
		}
		group.Wait()
	}
}

// Guards against connections by way of a peer that carry one request each, because
// the rest of a chunk looks like bytes that belong to no request.
func TestConnectionByWayOfAPeerIsReused(t *testing.T) {
	for _, bytesOfBody := range []int{0, 1, 4096, 20_000, 100_000} {
		connections, dials := 0, 0
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Signature", "s")
			w.Header().Set("Content-Length", fmt.Sprint(bytesOfBody))
			_, _ = w.Write(make([]byte, bytesOfBody))
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections++
			}
		}
		server.Start()
		peer := httptest.NewServer(NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop()))
		dialer := dialerBy(strings.TrimPrefix(peer.URL, "http://"))
		pool := exchange.NewPool(server.Listener.Addr().String(), &testHeaders, dialer.Dial, &conc.WaitGroup{}, func() { dials++ })
		for i := range 5 {
			id := fmt.Sprint(i)
			result := pool.Do(context.Background(), &exchange.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h",
				Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second)})
			assert.Equal(t, result.Outcome, exchange.Answered, "%v", result.Err)
			assert.Equal(t, len(result.Body), bytesOfBody)
		}
		assert.Equal(t, dials, 1, "body of %d bytes", bytesOfBody)
		pool.Close()
		dialer.Wait()
		peer.Close()
		server.Close()
		assert.Equal(t, connections, 1)
	}
}
