package detour

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/exchange"
)

// stoppingPeer is a peer that can be stopped, and a pool that reaches a server by way of it.
type stoppingPeer struct {
	address  string
	detours  *Server
	pool     *exchange.Pool
	opened   int           // connections by way of the peer
	received chan struct{} // one for each request that the server has begun
	proceed  chan struct{} // the server answers a request for each
}

func newStoppingPeer(t *testing.T) *stoppingPeer {
	t.Helper()
	p := &stoppingPeer{received: make(chan struct{}, 10), proceed: make(chan struct{}, 10)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.received <- struct{}{}
		<-p.proceed
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, wholeBody)
	}))
	p.detours = NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop())
	peer := httptest.NewServer(p.detours)
	p.address = strings.TrimPrefix(peer.URL, "http://")
	dialer := dialerBy(p.address)
	p.pool = exchange.NewPool(server.Listener.Addr().String(), &testHeaders, dialer.Dial, &conc.WaitGroup{}, func() { p.opened++ })
	t.Cleanup(func() {
		p.pool.Close()
		dialer.Wait()
		peer.Close()
		server.Close()
	})
	return p
}

func (p *stoppingPeer) request(id string) exchange.Result {
	return p.pool.Do(context.Background(), &exchange.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h",
		Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second)})
}

// Guards against a planned stop that cuts requests of other hosts, which the stopping host
// copies to their servers.
func TestStoppingPeerFinishesWhatItCarries(t *testing.T) {
	p := newStoppingPeer(t)
	var group conc.WaitGroup
	group.Go(func() {
		result := p.request("running")
		assert.Check(t, result.Outcome == exchange.Answered, "%v: %v", result.Outcome, result.Err)
	})
	<-p.received
	shutdown := make(chan error, 1)
	group.Go(func() { shutdown <- p.detours.Shutdown(t.Context()) })
	select {
	case err := <-shutdown:
		t.Errorf("the stop has not waited for a request: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	p.proceed <- struct{}{}
	group.Wait() // the host has left the connection after the request
	assert.NilError(t, <-shutdown)
	result := p.request("next")
	assert.Equal(t, result.Outcome, exchange.NotSent, "%v", result.Err)
	assert.Assert(t, errors.Is(result.Err, ErrNoPath), "%v", result.Err)
	assert.Equal(t, p.opened, 1)
}

// Guards against hosts that send further requests on an idle connection by way of a peer that
// stops, and against a stop that waits for such connections until its end.
func TestIdleConnectionByWayOfAStoppingPeerIsLeft(t *testing.T) {
	for name, leave := range map[string]func(p *stoppingPeer){
		"with the next request": func(p *stoppingPeer) { assert.Equal(t, p.request("next").Outcome, exchange.NotSent) },
		"with the next sweep":   func(p *stoppingPeer) { p.pool.CloseExpiredConns(time.Now()) },
	} {
		p := newStoppingPeer(t)
		p.proceed <- struct{}{}
		assert.Equal(t, p.request("first").Outcome, exchange.Answered)
		p.detours.Stop()
		time.Sleep(50 * time.Millisecond) // until the notice has arrived
		leave(p)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		assert.NilError(t, p.detours.Shutdown(ctx), name)
		cancel()
		assert.Equal(t, len(p.received), 1)
	}
}

// Guards against a peer that is stopped by a request that was already on its way when its
// host learned of the stop.
func TestStoppingPeerCarriesARequestThatCrossesItsNotice(t *testing.T) {
	p := newStoppingPeer(t)
	p.proceed <- struct{}{}
	assert.Equal(t, p.request("first").Outcome, exchange.Answered)
	var group conc.WaitGroup
	group.Go(func() { assert.Check(t, p.request("crossing").Outcome == exchange.Answered) })
	<-p.received
	<-p.received
	p.detours.Stop()
	p.proceed <- struct{}{}
	group.Wait()
	assert.NilError(t, p.detours.Shutdown(t.Context()))
	assert.Equal(t, p.opened, 1)
}

// Guards against a stop that lasts longer than its time, and goroutines that outlive it,
// because a host does not leave: one of an older build that understands no notice.
func TestShutdownOfDetoursEndsInTime(t *testing.T) {
	p := newStoppingPeer(t)
	c, err := net.Dial("tcp", p.address)
	assert.NilError(t, err)
	defer c.Close()
	server := serveConns(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	_, err = fmt.Fprintf(c, "GET %s?%s=%s HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n\r\n", Path, serverParameter, server, protocol, framingHeader, chunkedFraming)
	assert.NilError(t, err)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(framingHeader), chunkedFraming)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, p.detours.Shutdown(ctx), context.DeadlineExceeded)
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "the end looks regular")
}

// Guards against a stop without detours that fails because its time has passed already: the
// process ended with exit status 1.
func TestShutdownWithoutDetoursSucceeds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		s := NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop())
		assert.NilError(t, s.Shutdown(ctx))
	}
}

// Guards against a connection that is confirmed just when the time to stop has passed, and stays.
func TestLateDetourIsAborted(t *testing.T) {
	s := NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop())
	assert.Assert(t, s.begin(httptest.NewRecorder()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.Canceled)
	host, _ := net.Pipe()
	server, _ := net.Pipe()
	s.track(&carried{host, server, newHostWriter(host, framesFraming)})
	_, err := host.Write([]byte("x"))
	assert.ErrorIs(t, err, io.ErrClosedPipe)
	s.end()
}

// Guards against hosts that find no path while several peers are being restarted.
func TestStoppingPeersAreNoAttempts(t *testing.T) {
	p := newPath(t, echo)
	peers := []string{strings.TrimPrefix(p.peer.URL, "http://")}
	for range maxPeerAttempts + 1 {
		stopping := NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop())
		stopping.Stop()
		peer := httptest.NewServer(stopping)
		t.Cleanup(peer.Close)
		peers = append(peers, strings.TrimPrefix(peer.URL, "http://"))
	}
	for range 20 { // they are asked in random order
		p.dialer.peers = func() []string { return peers }
		clear(p.dialer.avoidUntil)
		c, err := p.dial()
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
}

// Guards against a notice that takes bytes of a response with it, or is lost between two.
func TestNoticeBetweenTheFramesOfABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host, peer := net.Pipe()
		w, notices := newFrameWriter(peer), 0
		go func() {
			_, _ = io.WriteString(w, wholeBody[:5])
			_ = w.announceStop()
			_, _ = io.WriteString(w, wholeBody[5:])
			_ = w.announceStop()
			_ = w.markEnd()
			_ = w.announceStop() // nothing follows the end
			_ = peer.Close()
		}()
		c := newFramedConn(host, func() { notices++ })
		data, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, string(data), wholeBody)
		assert.Equal(t, notices, 1)
		assert.Assert(t, c.Stopping())
	})
}
