package entry

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

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

// Guards against a request that is queued when its host learns that a server leaves, and
// that is sent there as soon as the server has room (DRAIN).
func TestQueuedRequestIsNotSentToAServerThatLeavesMeanwhile(t *testing.T) {
	const requests = 12
	var mu sync.Mutex
	executed := make(map[string]int)
	var first string // address of the first server that got a request
	room := map[bool]chan struct{}{true: make(chan struct{}), false: make(chan struct{})}
	serve := func(w http.ResponseWriter, r *http.Request) {
		address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		mu.Lock()
		if first == "" {
			first = address
		}
		executed[address]++
		isFirst := first == address
		mu.Unlock()
		<-room[isFirst]
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, "ok")
	}
	counts := func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(executed)
	}
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, serve, serve)
	responses := make(chan int, requests)
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			status, _, _, _ := p.do(t, "GET", "/safe/x", "")
			responses <- status
		})
	}
	openFirst, openOther := sync.OnceFunc(func() { close(room[true]) }), sync.OnceFunc(func() { close(room[false]) })
	t.Cleanup(func() { openFirst(); openOther(); callers.Wait() })
	// Both servers are busy when their counts have stopped to grow. On a loaded machine
	// a request may take long to arrive.
	waitFor(t, func() bool {
		before := counts()
		time.Sleep(500 * time.Millisecond)
		return len(before) == 2 && maps.Equal(before, counts())
	})
	before := counts()
	assert.Assert(t, before[first] > 0 && sumOf(before) < requests, "no request is queued: %v", before)

	p.changeServer(first, func(s *registry.Server) bool { s.Draining = true; return true })
	openFirst()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, counts()[first], before[first])
	openOther()
	succeeded := 0
	for range requests {
		// What the other server cannot do in time is rejected.
		status := <-responses
		assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "status %d", status)
		if status == http.StatusOK {
			succeeded++
		}
	}
	after := counts()
	assert.Equal(t, after[first], before[first])
	assert.Equal(t, sumOf(after), succeeded)
	assert.Assert(t, succeeded > sumOf(before), "no queued request was served")
}

func sumOf(counts map[string]int) (sum int) {
	for n := range maps.Values(counts) {
		sum += n
	}
	return sum
}
