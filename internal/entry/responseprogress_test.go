package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/membudget"
)

// sendLarge responds with 700 KiB.
func sendLarge(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signature", "s")
	_, _ = io.WriteString(w, strings.Repeat("r", 700<<10))
}

// Guards against a caller that reads nothing and holds a response without end.
func TestUnreadResponseEnds(t *testing.T) {
	p := newTestHostWith(t, testHostOptions{timeout: 10 * time.Second, budget: membudget.New(4<<20, 0),
		callerLimits: CallerLimits{MinProgressBytes: 512, ResponsePeriod: time.Second}}, sendLarge)
	c := dialHost(t, p)
	assert.NilError(t, c.SetReadBuffer(4096))
	for i := range 40 {
		_, err := io.WriteString(c, requestHead("GET", "/safe/x", "id-"+string(rune('a'+i)))+"\r\n")
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return p.logs.FilterMessage("entry: caller left").Len() > 0 })
	waitFor(t, func() bool { return p.handler.Budget.Usage().Used+p.handler.Budget.Usage().Surplus == 0 })
}

// Guards against a limit on the time of a whole response, which a slow caller can't meet.
func TestSlowCallerGetsItsResponse(t *testing.T) {
	p := newTestHostWith(t, testHostOptions{timeout: 10 * time.Second,
		callerLimits: CallerLimits{MinProgressBytes: 512, ResponsePeriod: time.Second}}, sendLarge)
	// Segments of loopback are larger than the window of a slow reader, so that bytes would
	// move at the pace of the kernel's timers only.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			assert.Check(t, unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460))
			assert.Check(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 32<<10))
		})
	}}
	c, err := dialer.DialContext(t.Context(), "tcp", strings.TrimPrefix(p.url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, requestHead("GET", "/safe/x", "id")+"\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil)
	assert.NilError(t, err)
	began, total := time.Now(), 0
	for buffer := make([]byte, 4<<10); ; time.Sleep(10 * time.Millisecond) {
		n, err := response.Body.Read(buffer)
		total += n
		if err != nil {
			assert.ErrorIs(t, err, io.EOF)
			break
		}
	}
	assert.Equal(t, total, 700<<10)
	assert.Assert(t, time.Since(began) > time.Second, "not slow enough for the test")
}

// Guards against callers that read nothing and keep others from connecting.
func TestUnreadResponsesGiveWayToNewConnections(t *testing.T) {
	p := newTestHostWith(t, testHostOptions{timeout: 10 * time.Second,
		callerLimits: CallerLimits{MinProgressBytes: 512, BodyPeriod: 300 * time.Millisecond, ResponsePeriod: time.Minute}}, sendLarge)
	events, err := NewLimitEvents(noop.Meter{}, zap.NewNop())
	assert.NilError(t, err)
	p.handler.Limits = events
	server := NewServer(p.handler, 2)
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error)
	go func() { done <- server.Serve(listener) }()
	p.url = "http://" + listener.Addr().String()
	for range 2 {
		c := dialHost(t, p)
		assert.NilError(t, c.SetReadBuffer(4096))
		_, err := io.WriteString(c, strings.Repeat(requestHead("GET", "/safe/x", "id")+"\r\n", 40))
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return p.executions.Load() >= 2 }) // more if requests are started before their turn
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	waitFor(t, func() bool {
		r, err := http.NewRequest(http.MethodGet, p.url+"/safe/x", nil)
		assert.NilError(t, err)
		r.Host = "a.example"
		response, err := client.Do(r)
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK && server.ConnCount() <= 2
	})
	assert.NilError(t, server.server.Close())
	assert.NilError(t, <-done)
}
