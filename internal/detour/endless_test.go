package detour

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/exchange"
)

// Guards against a peer's head with an invalid field that confirms a connection.
func TestOddHeadOfAPeerConfirmsNothing(t *testing.T) {
	for _, name := range []string{"X Odd", "X-Odd ", "X\x01Odd"} {
		peer := serveResponse(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n"+framingHeader+": "+chunkedFraming+"\r\n"+name+": 1\r\n\r\n")
		d := NewDialer(cutTracker(), exchange.Dial, func() []string { return []string{peer} }, func() {})
		_, err := d.dialThroughPeer(context.Background(), "tcp", peer, "127.0.0.1:1")
		assert.Assert(t, err != nil, "%q", name)
	}
}

// Guards against a peer's head without end, which was kept in memory until the connection
// had to be open.
func TestEndlessHeadOfAPeerIsBounded(t *testing.T) {
	for name, repeated := range map[string]string{"one line": "x", "many fields": "X-More: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			var written atomic.Int64
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				_, err = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nX-First: ")
				block := []byte(strings.Repeat(repeated, 4096))
				for err == nil {
					var n int
					n, err = c.Write(block)
					written.Add(int64(n))
				}
			}()
			peer := listener.Addr().String()
			d := NewDialer(cutTracker(), exchange.Dial, func() []string { return []string{peer} }, func() {})
			_, err = d.dialThroughPeer(context.Background(), "tcp", peer, "127.0.0.1:1")
			assert.Assert(t, err != nil)
			<-ended
			const inBuffers = 16 << 20 // of the sockets
			assert.Assert(t, written.Load() < inBuffers, "%d bytes", written.Load())
		})
	}
}
