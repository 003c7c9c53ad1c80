package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response of the store without end, which was kept in memory until the
// call's time limit, and that of a watch until the machine's memory was used up.
func TestEndlessResponsesAreBounded(t *testing.T) {
	calls := map[string]func(context.Context, *Store) error{
		"range": func(ctx context.Context, s *Store) error {
			_, _, err := s.Range(ctx, "a")
			return err
		},
		"watch": func(ctx context.Context, s *Store) error {
			w := s.Watch(ctx, "a", 1)
			for range w.Batches() {
				t.Error("a batch was delivered")
			}
			return w.Err()
		},
	}
	for name, call := range calls {
		for _, start := range []string{`{"header":"`, ""} {
			t.Run(name, func(t *testing.T) {
				var written atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, err := w.Write([]byte(start))
					block := []byte(strings.Repeat(" ", 64<<10))
					for deadline := time.Now().Add(20 * time.Second); err == nil && time.Now().Before(deadline); {
						var n int
						n, err = w.Write(block)
						written.Add(int64(n))
					}
				}))
				defer server.Close()
				s := New(server.Client(), 10*time.Second, server.URL)
				assert.Assert(t, call(context.Background(), s) != nil)
				server.CloseClientConnections()
				const inBuffers = 16 << 20 // of the sockets
				assert.Assert(t, written.Load() <= maxResponseBytes+inBuffers, "%d bytes", written.Load())
			})
		}
	}
}
