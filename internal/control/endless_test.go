package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Guards against a response of another host without end, which was kept in memory until
// the call's timeout.
func TestEndlessResponsesOfHostsAreBounded(t *testing.T) {
	calls := map[string]func(context.Context, *Node, string){
		"sync": func(ctx context.Context, n *Node, address string) {
			_ = n.syncWith(ctx, leaderRecord{Address: address})
		},
		"query":     func(ctx context.Context, n *Node, address string) { n.queryPeer(ctx, address) },
		"operators": func(ctx context.Context, n *Node, address string) { n.requestConfig(ctx, address, peerQueryTimeout) },
		"recovery": func(ctx context.Context, n *Node, address string) {
			n.requestState(ctx, address, &fleetpb.SyncRequest{Relay: true, Recovery: true, Known: &fleetpb.Known{}})
		},
	}
	for name, call := range calls {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			t.Run(name, func(t *testing.T) {
				var written atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Content-Type", "application/proto")
					w.WriteHeader(status)
					block := make([]byte, 64<<10)
					for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
						n, err := w.Write(block)
						written.Add(int64(n))
						if err != nil {
							return
						}
					}
				}))
				defer server.Close()
				n := NewNode(Options{Host: "h", Reports: NewReports(), PeerClient: server.Client(), Clock: boottime.Now, Log: zap.NewNop()})
				call(context.Background(), n, server.Listener.Addr().String())
				server.CloseClientConnections()
				const inBuffers = 16 << 20 // of the sockets
				assert.Assert(t, written.Load() <= maxFleetMessageBytes+inBuffers, "%d bytes", written.Load())
			})
		}
	}
}
