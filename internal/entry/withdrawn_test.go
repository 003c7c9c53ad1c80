package entry

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/registry"
)

// changeServer gives a host a list in which the server at the address is changed, or
// removed if change returns false.
func (p *testHost) changeServer(address string, change func(*registry.Server) bool) {
	pools := p.handler.ServerPools
	next := *pools.lastSnapshot
	servers := maps.Clone(next.Servers.Servers)
	for id, s := range servers {
		if s.Address != address {
			continue
		}
		if delete(servers, id); change(&s) {
			servers[id] = s
		}
	}
	next.Servers = registry.NewList(servers)
	pools.Update(&next)
}

// Guards against a request that reaches a server of which the host has learned, while it
// opened the connection, that it leaves: the decision was made before (DRAIN).
func TestRequestIsNotSentToAServerThatLeavesWhileItsConnectionOpens(t *testing.T) {
	changes := map[string]func(*registry.Server) bool{
		"draining":  func(s *registry.Server) bool { s.Draining = true; return true },
		"removed":   func(*registry.Server) bool { return false },
		"restarted": func(s *registry.Server) bool { s.Incarnation++; return true },
	}
	for name, change := range changes {
		for _, route := range []string{"safe", "unsafe"} {
			t.Run(name+" "+route, func(t *testing.T) {
				var p *testHost
				var once sync.Once
				var withdrawn string
				dial := func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := exchange.Dial(ctx, network, address)
					once.Do(func() {
						withdrawn = address
						p.changeServer(address, change)
					})
					return c, err
				}
				var mu sync.Mutex
				executed := make(map[string]int)
				serve := func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					executed[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()]++
					w.Header().Set("X-Signature", "s")
					_, _ = io.WriteString(w, "ok")
				}
				p = newTestHostWith(t, testHostOptions{dial: dial}, serve, serve)
				status, body, _, err := p.do(t, "GET", "/"+route+"/x", "")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK, body)
				mu.Lock()
				defer mu.Unlock()
				if name == "restarted" {
					return // the new process at the address may run it
				}
				assert.Equal(t, executed[withdrawn], 0)
				assert.Equal(t, len(executed), 1)
			})
		}
	}
}
