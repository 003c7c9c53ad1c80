package proxy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Guards against responses that reach another request (G3), false reports of
// "executed: no" (G4) and bookings executed twice (G5). Many callers share the
// connections to upstreams that fail at random in every way while the key moves.
// The seed of the faults is fixed, but which caller meets which fault varies, so
// the test checks only what must hold in every order.
func TestRandomFaults(t *testing.T) {
	const seed, callers, requests = 20261204, 16, 50
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	executed := map[string]int{}
	var h *harness
	response := func(c *call, text string) { respond(strings.ReplaceAll(text, "#", c.r.Header.Get("X-Number")))(c) }
	whole := "HTTP/1.1 200 OK\nID\nContent-Length: 4\n\n#"
	act := func(c *call) {
		mu.Lock()
		fault, sequence := random.IntN(14), random.Uint64N(1000)
		mu.Unlock()
		if fault == 0 {
			readBytes(20)(c)
			c.reset()
			return
		}
		if !c.read() {
			return
		}
		switch fault {
		case 1:
			response(c, shedResponse)
			return
		case 2:
			response(c, notOwnerResponse)
			h.resolver.set(servedBy(topology.ServerName(fmt.Sprint("s", sequence%3)), sequence))
			return
		}
		mu.Lock()
		executed[c.r.Header.Get("X-Number")]++
		mu.Unlock()
		switch fault {
		case 3:
			c.reset()
		case 4:
			response(c, "HTTP/1.1 200 OK\nID\nContent-Length: 9\n\n#")
			c.reset()
		case 5:
			response(c, whole+whole)
		case 6:
			response(c, strings.Replace(whole, "ID", "Cassiasill-Request-Id: 1", 1))
		case 7:
			response(c, whole)
			c.reset()
		case 8:
			response(c, "HTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n4\n#\n0\n\n"+whole)
		case 9:
			response(c, "HTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n4\n#\n")
			c.conn.Close()
		default:
			response(c, whole)
		}
	}
	fakes := []*fakeUpstream{newFakeUpstream(t, act), newFakeUpstream(t, act), newFakeUpstream(t, act)}
	h = newHarness(t, func(o *Options) { o.Quarantine = quarantine.New(1, 0) }, fakes...)
	var clients sync.WaitGroup
	var failures, passed int
	for caller := range callers {
		clients.Go(func() {
			for i := range requests {
				number := fmt.Sprintf("%02d%02d", caller, i)
				method, path := "GET", "/free/doc"
				if i%2 == 0 {
					method, path = "POST", "/keyed/k/book"
				}
				response, body, err := h.do(t, method, path, strings.NewReader("b"), "X-Number", number, "X-Caller", number)
				mu.Lock()
				runs := executed[number]
				switch {
				case err != nil:
				case response.StatusCode == 200:
					passed++
					if body != number {
						t.Errorf("request %s got %q", number, body)
					}
				case response.Header.Get(apierror.HeaderExecuted) == "no" && runs > 0:
					t.Errorf("request %s was executed but reported as not executed: %s", number, body)
				default:
					failures++
				}
				if method == "POST" && runs > 1 {
					t.Errorf("booking %s was executed %d times", number, runs)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	assert.Assert(t, passed > 0 && failures > 0, "%d passed, %d failed", passed, failures)
	h.assertDrained(t)
}
