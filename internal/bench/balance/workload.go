package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/admission"
	core "github.com/cassiasill/cassiasill/internal/balance"
)

// kind is one kind of request of a workload.
type kind struct {
	class    admission.Class
	share    float64 // of the requests
	mean     time.Duration
	deadline time.Duration
}

// workload is the shape of one service's load.
type workload struct {
	name    string
	servers int
	pinned  bool
	kinds   []kind
}

// workloads are modelled on the two deployments. At three times the capacity
// the bookings alone need about three quarters of it.
var workloads = []workload{
	{"agenda", 8, false, []kind{
		{admission.ClassBooking, 0.25, 20 * time.Millisecond, 2 * time.Second},
		{admission.ClassLookup, 0.75, 20 * time.Millisecond, time.Second},
	}},
	{"archivo", 13, false, []kind{
		{admission.ClassLookup, 0.6, 20 * time.Millisecond, time.Second},
		{admission.ClassDownload, 0.4, 200 * time.Millisecond, 5 * time.Second},
	}},
	{"orders", 7, false, []kind{
		{admission.ClassBooking, 0.15, 30 * time.Millisecond, 2 * time.Second},
		{admission.ClassLookup, 0.85, 15 * time.Millisecond, time.Second},
	}},
	{"inventario", 15, true, []kind{
		{admission.ClassBooking, 0.2, 10 * time.Millisecond, 2 * time.Second},
		{admission.ClassLookup, 0.8, 10 * time.Millisecond, time.Second},
	}},
}

// pinnedSpread is the share by which the hottest server of a service divided
// by key exceeds the mean: placement promises at most 15 %.
const pinnedSpread = 0.15

func findWorkload(name string) (workload, error) {
	for _, w := range workloads {
		if w.name == name {
			return w, nil
		}
	}
	return workload{}, fmt.Errorf("unknown service %q", name)
}

// meanWork is the mean slot time of a request.
func (w workload) meanWork() time.Duration {
	sum := 0.0
	for _, k := range w.kinds {
		sum += k.share * float64(k.mean)
	}
	return time.Duration(sum)
}

func (w workload) hasBookings() bool {
	for _, k := range w.kinds {
		if k.class == admission.ClassBooking {
			return true
		}
	}
	return false
}

func (w workload) pick(random *rand.Rand) kind {
	x := random.Float64()
	for _, k := range w.kinds {
		if x -= k.share; x < 0 {
			return k
		}
	}
	return w.kinds[len(w.kinds)-1]
}

// work draws a slot time: half of the mean is fixed, half exponential.
func (k kind) work(random *rand.Rand) time.Duration {
	return time.Duration(float64(k.mean) * (0.5 + 0.5*random.ExpFloat64()))
}

// pinnedServer draws a server; the shares lie about 15 % around the mean, the
// highest at the ends of the list.
func (w workload) pinnedServer(random *rand.Rand) int {
	x := random.Float64()
	share := x - pinnedSpread*math.Sin(2*math.Pi*x)/(2*math.Pi)
	return min(int(share*float64(w.servers)), w.servers-1)
}

// Policies lists the names that Options.Policy takes.
var Policies = []string{"random", "round-robin", "least-in-flight", "two-choices", "probing", "leased", "zone"}

func newPolicy(name string) (core.Policy, error) {
	switch name {
	case "random":
		return core.Random{}, nil
	case "round-robin":
		return &core.RoundRobin{}, nil
	case "least-in-flight":
		return core.LeastInFlight{}, nil
	case "two-choices":
		return core.TwoChoices{}, nil
	case "probing":
		return core.Probing{}, nil
	case "leased":
		return core.HostQuota{}, nil
	case "zone":
		return core.ZonePreference{}, nil
	}
	return nil, fmt.Errorf("unknown policy %q", name)
}
