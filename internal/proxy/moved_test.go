package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/admission"
)

// Guards against a lookup that waits for a frozen server until its deadline
// although another server already owns the key. A booking must keep waiting in
// this case, because canceling and resending it could execute it twice.
func TestRequestLeavesAServerThatLostItsKey(t *testing.T) {
	cases := []struct {
		method     string
		status     int
		executions int // on the new owner
	}{
		{"GET", 200, 1},
		{"POST", 504, 0},
	}
	for _, c := range cases {
		t.Run(c.method, func(t *testing.T) {
			read := make(chan struct{})
			frozen := newFakeUpstream(t, func(call *call) {
				call.read()
				close(read)
				// Keeps the connection open until the handler closes it.
				_, _ = call.in.ReadByte()
			})
			next := newFakeUpstream(t, ok("from the new owner"))
			h := newHarness(t, func(o *Options) {
				o.Services[0].Routes = []Route{
					{Methods: []string{"GET"}, Class: admission.ClassLookup, Repeatable: true, Timeout: time.Minute},
					{Methods: []string{"POST"}, Class: admission.ClassBooking, Timeout: 300 * time.Millisecond},
				}
			}, frozen, next)
			go func() {
				<-read
				h.resolver.set(servedBy("s1", 2))
			}()
			response, body, err := h.do(t, c.method, "/keyed/k", strings.NewReader(""))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status, fmt.Sprint(response.Header, body))
			assert.Equal(t, next.executions(), c.executions)
			h.assertDrained(t)
		})
	}
}
