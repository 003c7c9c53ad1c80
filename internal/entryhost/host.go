// Package entryhost assembles an entry host that runs on a platform with a
// linearizable store: the services of its kernel and what they share.
package entryhost

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/entry"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/kernel"
)

// Names under which the services find each other.
const (
	nameControl  = "control"
	nameDispatch = "dispatch"
	nameEntry    = "entry"
	nameAdmin    = "admin"
)

// stopMargin is kept from the platform's grace for the end of the process.
const stopMargin = 350 * time.Millisecond

// Options configure a Host.
type Options struct {
	Name string
	// Capacity is the processor time that the host gets, in cores.
	Capacity         float64
	AvailabilityZone string
	CallersAddress   string
	ReadinessAddress string
	// ReadinessPath is where the balancer asks.
	ReadinessPath string
	PeerAddress   string
	// Seeds are peer addresses of other hosts, some of which may be gone.
	Seeds []string
	// DispatchAddress is where this host places requests for others.
	DispatchAddress string
	MetricsAddress  string
	Headers         exchange.Headers
	Store           control.Store
	Schema          control.Schema
	Orders          control.Orders
	// RetryShare, RetryBurst and RetryWindow bound the repeats of all hosts.
	RetryShare  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// Grace is how long the process may take to stop.
	Grace time.Duration
	Dial  exchange.DialFunc
	Clock boottime.Clock
	// Metrics are served on MetricsAddress.
	Metrics *Metrics
	Log     *zap.Logger
}

// Host is one entry host.
type Host struct {
	kernel *kernel.Kernel
	budget *entry.Budget
}

// New assembles a host; Run starts it.
func New(options Options) (*Host, error) {
	options.Log = options.Log.With(zap.String("host", options.Name))
	c := newControlService(options)
	if err := registerState(options.Metrics.Meter("control"), c.node); err != nil {
		return nil, err
	}
	d := newDispatchService(options)
	budget := entry.NewBudget(options.RetryShare, options.RetryBurst, options.RetryWindow)
	e := &entryService{options: options, metrics: options.Metrics.entry, budget: budget}
	a := &adminService{options: options, metrics: options.Metrics.Metrics}
	stop := max(options.Grace-stopMargin, time.Second)
	return &Host{kernel: kernel.New(options.Log, stop, c, d, a, e), budget: budget}, nil
}

// Run serves until ctx ends, then finishes the requests in flight.
func (h *Host) Run(ctx context.Context) error { return h.kernel.Run(ctx, nil) }

// SetRetryBudget changes the bounds of the repeats of all hosts.
func (h *Host) SetRetryBudget(share, burst float64, window time.Duration) {
	h.budget.SetBounds(share, burst, window)
}

// listen opens a TCP listener.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}
