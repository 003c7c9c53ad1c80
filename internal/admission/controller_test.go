package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const testService topology.ServiceName = "agenda"

func servers(n int) []ServerConfig {
	var configs []ServerConfig
	for i := range n {
		configs = append(configs, ServerConfig{Name: topology.ServerName(fmt.Sprintf("s%d", i))})
	}
	return configs
}

func newController(t *testing.T, config ServiceConfig) *Controller {
	t.Helper()
	config.Name = testService
	c := New([]ServiceConfig{config}, 1)
	t.Cleanup(c.Close)
	return c
}

func kindOf(err error) apierror.Kind {
	if err == nil {
		return ""
	}
	return apierror.From(err).Kind
}

// admitUntilFull admits requests until the controller makes one wait, and
// returns their tickets.
func admitUntilFull(t *testing.T, c *Controller, server topology.ServerName) []Ticket {
	t.Helper()
	var tickets []Ticket
	for {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		ticket, err := c.Admit(ctx, Request{Service: testService, Caller: "holder", Class: ClassLookup, Server: server}, nil)
		cancel()
		if err != nil {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

// Guards against requests that are sent or queued although their deadline
// cannot be met.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(t, ServiceConfig{Servers: servers(1)})
		ctx := t.Context()
		for range 50 { // establishes the usual latency
			ticket, err := c.Admit(ctx, Request{Service: testService, Caller: "a"}, nil)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			ticket.Done(OutcomeOK, 20*time.Millisecond)
		}
		tickets := admitUntilFull(t, c, "")
		for _, untilDeadline := range []time.Duration{-time.Millisecond, 0, 15 * time.Millisecond} {
			start := time.Now()
			before := c.InFlight(testService)["s0"]
			_, err := c.Admit(ctx, Request{Service: testService, Caller: "a", Deadline: start.Add(untilDeadline)}, nil)
			assert.Equal(t, kindOf(err), apierror.KindDeadlineUnreachable, "deadline in %v", untilDeadline)
			assert.Equal(t, time.Since(start), time.Duration(0))
			assert.Equal(t, c.InFlight(testService)["s0"], before)
			assert.Equal(t, apierror.From(err).Response().Executed, apierror.ExecutedNo)
		}
		for _, ticket := range tickets {
			ticket.Done(OutcomeOK, 20*time.Millisecond)
		}
	})
}

// Guards against bookings that wait behind other classes, and against lower
// classes that starve.
func TestClassOrderWithoutStarvation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(t, ServiceConfig{Servers: servers(1), MaxWait: time.Hour})
		tickets := admitUntilFull(t, c, "s0")
		served := make(chan Class, 300)
		var group conc.WaitGroup
		for _, class := range []Class{ClassDownload, ClassLookup, ClassBooking} {
			for range 100 {
				group.Go(func() {
					ticket, err := c.Admit(t.Context(), Request{Service: testService, Caller: "a", Class: class}, nil)
					if err != nil {
						t.Error(err)
						return
					}
					served <- class
					time.Sleep(10 * time.Millisecond)
					ticket.Done(OutcomeOK, 10*time.Millisecond)
				})
			}
			synctest.Wait()
		}
		for _, ticket := range tickets {
			ticket.Done(OutcomeOK, 10*time.Millisecond)
		}
		group.Wait()
		close(served)
		var order []Class
		for class := range served {
			order = append(order, class)
		}
		counts := [classCount]int{}
		for _, class := range order[:110] {
			counts[class]++
		}
		assert.Assert(t, counts[ClassBooking] >= 94, "bookings among the first 110: %d", counts[ClassBooking])
		assert.Assert(t, counts[ClassLookup] >= 3 && counts[ClassDownload] >= 3, "a lower class starves: %v", counts)
		assert.Equal(t, len(order), 300)
	})
}

// Guards against requests that a leaving server still gets. New requests,
// pinned or not, and waiting pinned requests must be refused or go elsewhere at
// once.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, leave := range []func(*Controller){
			func(c *Controller) { c.SetState(testService, "s0", ServerLeaving) },
			func(c *Controller) { c.SetState(testService, "s0", ServerGone) },
			func(c *Controller) { c.SetServers(testService, servers(2)[1:]) },
		} {
			c := newController(t, ServiceConfig{Servers: servers(2)})
			tickets := admitUntilFull(t, c, "s0")
			var group conc.WaitGroup
			group.Go(func() {
				_, err := c.Admit(t.Context(), Request{Service: testService, Caller: "w", Server: "s0"}, nil)
				if kindOf(err) != apierror.KindNoUpstream {
					t.Errorf("a waiting request of the leaving server got %v", err)
				}
			})
			synctest.Wait()
			leave(c)
			group.Wait()
			_, err := c.Admit(t.Context(), Request{Service: testService, Caller: "a", Server: "s0"}, nil)
			assert.Equal(t, kindOf(err), apierror.KindNoUpstream)
			for _, ticket := range tickets {
				ticket.Done(OutcomeOK, time.Millisecond)
			}
			for range 20 {
				ticket, err := c.Admit(t.Context(), Request{Service: testService, Caller: "a"}, nil)
				assert.NilError(t, err)
				assert.Equal(t, ticket.Server(), topology.ServerName("s1"))
				ticket.Done(OutcomeOK, time.Millisecond)
			}
			_, err = c.Admit(t.Context(), Request{Service: testService, Caller: "a"}, []topology.ServerName{"s1"})
			assert.Equal(t, kindOf(err), apierror.KindNoUpstream)
		}
	})
}

// Guards against a waiting request that outlasts its deadline, its caller or
// the wait bound while no server responds, and against capacity that such a
// request does not return.
func TestWaitingRequestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			name             string
			deadline, cancel time.Duration
			want             apierror.Kind
			after            time.Duration
		}{
			{"deadline", 500 * time.Millisecond, 0, apierror.KindDeadlineUnreachable, 500 * time.Millisecond},
			{"caller gone", 0, 300 * time.Millisecond, apierror.KindCanceled, 300 * time.Millisecond},
			{"wait bound", 0, 0, apierror.KindOverloaded, time.Second},
		} {
			c := newController(t, ServiceConfig{Servers: servers(1), MaxWait: time.Second})
			tickets := admitUntilFull(t, c, "")
			ctx, cancel := context.WithCancel(t.Context())
			if test.cancel > 0 {
				time.AfterFunc(test.cancel, cancel)
			}
			request := Request{Service: testService, Caller: "a"}
			start := time.Now()
			if test.deadline > 0 {
				request.Deadline = start.Add(test.deadline)
			}
			_, err := c.Admit(ctx, request, nil)
			cancel()
			assert.Equal(t, kindOf(err), test.want, test.name)
			assert.Assert(t, time.Since(start)-test.after <= time.Millisecond, "%s: ended after %v", test.name, time.Since(start))
			for _, ticket := range tickets {
				ticket.Done(OutcomeOK, time.Millisecond)
			}
			assert.Equal(t, c.InFlight(testService)["s0"], 0)
		}
	})
}

// Guards against data races and lost capacity under concurrent requests,
// cancellations and server changes. It finds races with -race only.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(t, ServiceConfig{Servers: servers(4)})
		var group conc.WaitGroup
		for i := range 50 {
			group.Go(func() {
				for j := range 20 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(10+(i*j)%40)*time.Millisecond)
					ticket, err := c.Admit(ctx, Request{Service: testService, Caller: topology.Caller(fmt.Sprint(i % 7)), Class: Class(i % 3)}, nil)
					if err == nil {
						time.Sleep(time.Duration(1+j%5) * time.Millisecond)
						ticket.Done(Outcome(j%5), 3*time.Millisecond)
						ticket.Done(OutcomeOK, time.Millisecond) // has no effect
					}
					cancel()
				}
			})
		}
		group.Go(func() {
			for i := range 30 {
				time.Sleep(3 * time.Millisecond)
				c.SetServers(testService, servers(1+i%4))
				c.SetState(testService, "s0", ServerState(i%2))
				c.SetHosts(0, 1+i%12)
				c.ObserveLoad(testService, LoadReport{Server: "s0", InFlight: float64(i)})
				c.Overloaded(testService, ClassLookup)
			}
		})
		group.Wait()
		for name, inFlight := range c.InFlight(testService) {
			assert.Equal(t, inFlight, 0, "server %s", name)
		}
	})
}

func BenchmarkAdmitDone(b *testing.B) {
	for _, pinned := range []bool{false, true} {
		for _, n := range []int{8, 1900} {
			b.Run(fmt.Sprintf("pinned=%v/servers=%d", pinned, n), func(b *testing.B) {
				c := New([]ServiceConfig{{Name: testService, Servers: servers(n)}}, 1)
				defer c.Close()
				request := Request{Service: testService, Caller: "a", Class: ClassLookup, Deadline: time.Now().Add(time.Hour)}
				if pinned {
					request.Server = "s1"
				}
				ctx := context.Background()
				b.ReportAllocs()
				for b.Loop() {
					ticket, err := c.Admit(ctx, request, nil)
					if err != nil {
						b.Fatal(err)
					}
					ticket.Done(OutcomeOK, time.Millisecond)
				}
			})
		}
	}
}
