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
// although another server owns the key by then, and against giving up, and so
// maybe doubling, a booking in the same case.
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
			frozen := newFake(t, func(call *call) {
				call.read()
				close(read)
				// Holds the connection open until the router closes it.
				_, _ = call.in.ReadByte()
			})
			next := newFake(t, ok("from the new owner"))
			h := newHarness(t, func(o *Options) {
				o.Services[0].Routes = []Route{
					{Methods: []string{"GET"}, Class: admission.ClassLookup, Repeatable: true, Timeout: time.Minute},
					{Methods: []string{"POST"}, Class: admission.ClassBooking, Timeout: 300 * time.Millisecond},
				}
			}, frozen, next)
			go func() {
				<-read
				h.routes.set(served("s1", 2))
			}()
			answer, body, err := h.do(t, c.method, "/keyed/k", strings.NewReader(""))
			assert.NilError(t, err)
			assert.Equal(t, answer.StatusCode, c.status, fmt.Sprint(answer.Header, body))
			assert.Equal(t, next.executions(), c.executions)
			h.drained(t)
		})
	}
}
