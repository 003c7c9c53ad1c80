package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func run(t *testing.T, o Options) Result {
	t.Helper()
	o.Policy, o.Duration, o.Warmup, o.Seed = "leased", 4*time.Second, 6*time.Second, 7
	result, err := Run(o)
	assert.NilError(t, err)
	return result
}

// Guards against figures that nobody can reproduce.
func TestSameSeedSameResult(t *testing.T) {
	o := Options{Service: "orders", Hosts: 3, Load: 1.5, Flood: 0.5, Fault: "shedding"}
	assert.Equal(t, run(t, o), run(t, o))
}

// Guards the stated targets at three times the capacity: goodput of at least
// 95 % of it, at least 99 % of the bookings, retries under 10 %.
func TestTargetsUnderOverload(t *testing.T) {
	for _, w := range workloads {
		for _, hosts := range []int{3, 12} {
			t.Run(fmt.Sprintf("%s/%d", w.name, hosts), func(t *testing.T) {
				t.Parallel()
				r := run(t, Options{Service: w.name, Hosts: hosts, Load: 3})
				assert.Assert(t, r.Goodput >= 0.95, "goodput %.4f", r.Goodput)
				if w.hasBookings() {
					assert.Assert(t, r.Bookings >= 0.99, "bookings %.4f", r.Bookings)
				}
				assert.Assert(t, r.SendsPerRequest <= 1.1, "sends per request %.4f", r.SendsPerRequest)
			})
		}
	}
}

// Guards against one faulty server that takes more than its own capacity: a
// frozen one, one that sheds everything, and one that is slow but reports no
// load. The rest must reach 95 % of its capacity under overload.
func TestFaultyServerCostsOnlyItself(t *testing.T) {
	for _, fault := range []string{"frozen", "shedding", "lying"} {
		for _, hosts := range []int{3, 12} {
			t.Run(fmt.Sprintf("%s/%d", fault, hosts), func(t *testing.T) {
				t.Parallel()
				r := run(t, Options{Service: "agenda", Hosts: hosts, Load: 3, Fault: fault})
				assert.Assert(t, r.Goodput >= 0.95*7/8, "goodput %.4f", r.Goodput)
				assert.Assert(t, r.SendsPerRequest <= 1.1, "sends per request %.4f", r.SendsPerRequest)
			})
		}
	}
}

// Guards against a retry storm: all servers freeze, callers resend what fails,
// and 3 s after the servers resume the service still answers too little.
func TestServiceRecoversFromOutage(t *testing.T) {
	for _, hosts := range []int{3, 12} {
		r := run(t, Options{Service: "agenda", Hosts: hosts, Load: 0.7, Fault: "outage"})
		assert.Assert(t, r.Answered >= 0.99, "hosts %d: answered %.4f", hosts, r.Answered)
		assert.Assert(t, r.SendsPerRequest <= 1.1, "hosts %d: sends per request %.4f", hosts, r.SendsPerRequest)
	}
}

// Guards against a caller that displaces the others by sending twice the
// capacity alone: the others offer 0.7 of it and must be answered.
func TestFloodLeavesOthersServed(t *testing.T) {
	for _, hosts := range []int{3, 12} {
		r := run(t, Options{Service: "agenda", Hosts: hosts, Load: 0.7, Flood: 2})
		assert.Assert(t, r.Answered >= 0.99, "hosts %d: others answered %.4f", hosts, r.Answered)
	}
}
