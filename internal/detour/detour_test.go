package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/exchange"
)

var at = time.Unix(1000, 0)

// cutTracker returns the Tracker of a host that is cut off.
func cutTracker() *Tracker {
	t := NewTracker()
	for _, server := range []string{"a", "b", "c"} {
		t.RecordFailure(server, at)
	}
	return t
}

// Guards against hosts that count as cut off because single servers fail, and
// against cuts that are not noticed in small deployments.
func TestTrackerTellsCutsFromFailedServers(t *testing.T) {
	tracker := NewTracker()
	for range 10 {
		tracker.RecordFailure("a", at)
		tracker.RecordFailure("b", at)
	}
	assert.Assert(t, !tracker.IsCut())
	tracker.RecordSuccess(at)
	tracker.RecordFailure("c", at)
	assert.Assert(t, !tracker.IsCut() && !tracker.MayMislead(at))
	tracker.RecordFailure("a", at)
	assert.Assert(t, tracker.MayMislead(at))
	tracker.RecordFailure("b", at.Add(time.Second))
	since, failed := tracker.CutSince()
	assert.Assert(t, tracker.IsCut() && since.Equal(at.Add(time.Second)) && failed == 3)
	tracker.RecordSuccess(at.Add(2 * time.Second))
	assert.Assert(t, !tracker.IsCut())
	// Requests from before the end of the cut still fail.
	assert.Assert(t, tracker.MayMislead(at.Add(2500*time.Millisecond)))
	assert.Assert(t, !tracker.MayMislead(at.Add(4*time.Second)))

	small := NewTracker()
	small.SetAddresses(map[string]bool{"only": true})
	small.RecordFailure("only", at)
	assert.Assert(t, small.IsCut())
}

// Guards against a cut that is not noticed because leaving servers count as reachable ones,
// and against one that is noticed because servers failed that have left since.
func TestTrackerCountsServersThatStay(t *testing.T) {
	tracker := NewTracker()
	tracker.SetAddresses(map[string]bool{"a": true, "b": true, "c": true, "d": true})
	tracker.RecordFailure("a", at)
	tracker.RecordFailure("b", at)
	tracker.SetAddresses(map[string]bool{"c": true, "d": true})
	tracker.RecordFailure("c", at)
	assert.Assert(t, !tracker.IsCut())
	tracker.RecordFailure("d", at)
	assert.Assert(t, tracker.IsCut())
}

// Guards against more or less than one report of each change.
func TestTrackerReportsEachChangeOnce(t *testing.T) {
	tracker := NewTracker()
	var changes []bool
	tracker.OnChange(func(cut bool, _ int) { changes = append(changes, cut) })
	for range 3 {
		for _, server := range []string{"a", "b", "c", "d"} {
			tracker.RecordFailure(server, at)
		}
	}
	tracker.RecordSuccess(at)
	tracker.RecordSuccess(at)
	assert.DeepEqual(t, changes, []bool{true, false})
}

// path is a host that is cut off, a peer and a server.
type path struct {
	server   net.Listener
	peer     *httptest.Server
	tracker  *Tracker // of the peer
	dialer   *Dialer
	detours  atomic.Int32
	isServer bool
}

func newPath(t *testing.T, serve func(net.Conn)) *path {
	t.Helper()
	p := &path{tracker: NewTracker(), isServer: true}
	var err error
	p.server, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := p.server.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	p.peer = httptest.NewServer(NewServer(p.tracker, exchange.Dial, func(string) bool { return p.isServer }, func() {}, zap.NewNop()))
	peerAddress := strings.TrimPrefix(p.peer.URL, "http://")
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == p.server.Addr().String() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return exchange.Dial(ctx, network, address)
	}
	p.dialer = NewDialer(cutTracker(), dial, func() []string { return []string{peerAddress} }, func() { p.detours.Add(1) })
	t.Cleanup(func() {
		p.dialer.Wait()
		_ = p.server.Close()
		p.peer.Close()
	})
	return p
}

func (p *path) dial() (net.Conn, error) {
	return p.dialer.Dial(context.Background(), "tcp", p.server.Addr().String())
}

// echo returns what it reads until the other side ends.
func echo(c net.Conn) {
	_, _ = io.Copy(c, c)
	_ = c.Close()
}

// Guards against bytes that a peer changes or keeps, in a body of some size too.
func TestPeerCopiesBytes(t *testing.T) {
	p := newPath(t, echo)
	c, err := p.dial()
	assert.NilError(t, err)
	sent := strings.Repeat("0123456789", 50_000)
	go func() { _, _ = io.WriteString(c, sent) }()
	received := make([]byte, len(sent))
	_, err = io.ReadFull(c, received)
	assert.NilError(t, err)
	assert.Assert(t, string(received) == sent)
	assert.Equal(t, p.detours.Load(), int32(1))
	assert.NilError(t, c.Close())
}

// Guards against a connection that looks open although the peer has not reached the
// server: what is sent on it would count as possibly executed.
func TestNoConnectionWithoutThePeersConfirmation(t *testing.T) {
	cases := map[string]struct {
		prepare func(*path)
		noPath  bool
	}{
		"peer is cut off too": {func(p *path) {
			p.tracker.RecordFailure("a", at)
			p.tracker.RecordFailure("b", at)
			p.tracker.RecordFailure("c", at)
		}, true},
		"server is not listed":      {func(p *path) { p.isServer = false }, false},
		"server has ended":          {func(p *path) { _ = p.server.Close() }, false},
		"peer is gone":              {func(p *path) { p.peer.Close() }, true},
		"peer runs an older build":  {func(p *path) { p.peer.Config.Handler = http.NotFoundHandler() }, false},
		"peer answers with garbage": {func(p *path) { p.peer.Config.Handler = http.HandlerFunc(writeGarbage) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPath(t, echo)
			c.prepare(p)
			_, err := p.dial()
			var opErr *net.OpError
			assert.Assert(t, errors.As(err, &opErr) && opErr.Op == "dial", "%v", err)
			assert.Equal(t, errors.Is(err, ErrNoPath), c.noPath, "%v", err)
		})
	}
}

func writeGarbage(w http.ResponseWriter, _ *http.Request) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_, _ = io.WriteString(c, "\x00\x01 no response\r\n\r\n")
		_ = c.Close()
	}
}

// Guards against a circle, and against waiting: a peer that is cut off itself neither
// dials nor asks another host.
func TestPeersThatAreCutOffDoNotDial(t *testing.T) {
	p := newPath(t, echo)
	dials := 0
	server := NewServer(cutTracker(), func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, errors.New("not expected")
	}, func(string) bool { return true }, func() {}, zap.NewNop())
	p.peer.Config.Handler = server
	_, err := p.dial()
	assert.Assert(t, errors.Is(err, ErrNoPath))
	assert.Equal(t, dials, 0)
}

// Guards against a response without a length that looks complete although the
// server's connection was reset.
func TestResetPassesThePeer(t *testing.T) {
	p := newPath(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "half of it")
		time.Sleep(50 * time.Millisecond)
		reset(c)
	})
	c, err := p.dial()
	assert.NilError(t, err)
	_, err = io.WriteString(c, "?")
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against a regular end of a server's connection that arrives as a failure or
// takes bytes with it.
func TestRegularEndPassesThePeer(t *testing.T) {
	p := newPath(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "all of it")
		_ = c.Close()
	})
	c, err := p.dial()
	assert.NilError(t, err)
	_, err = io.WriteString(c, "?")
	assert.NilError(t, err)
	data, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "all of it")
}

// Guards against servers that go on working for a caller who has left at the cut
// host.
func TestCancellationPassesThePeer(t *testing.T) {
	ended := make(chan struct{})
	p := newPath(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	c, err := p.dial()
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the server's connection is still open")
	}
}

// Guards against hosts that stay on the detour after the cut has ended.
func TestDialerNoticesTheEndOfACut(t *testing.T) {
	p := newPath(t, echo)
	p.dialer.direct = exchange.Dial
	c, err := p.dial()
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	p.dialer.Wait()
	assert.Assert(t, !p.dialer.tracker.IsCut())
}

// Guards against a leader that takes itself for cut off, and resigns, because it releases
// the ranges of servers that have ended: each next one did the same, and keys had no
// owner (seen on a day that replaces a third of the servers).
func TestEndedServersShowNoCut(t *testing.T) {
	now := time.Now()
	tracker := NewTracker()
	tracker.SetAddresses(map[string]bool{"a": true, "b": true, "c": true})
	for _, ended := range []string{"x", "y", "z", "x"} {
		tracker.RecordFailure(ended, now)
	}
	assert.Assert(t, !tracker.IsCut())
	for _, listed := range []string{"a", "b", "c"} {
		tracker.RecordFailure(listed, now)
	}
	assert.Assert(t, tracker.IsCut())
}
