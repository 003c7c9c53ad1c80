// Package entryhost assembles an entry host for a platform with a linearizable
// store. The host runs as services of a kernel: control, dispatch, admin and
// entry.
package entryhost

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/detour"
	"github.com/cassiasill/cassiasill/internal/entry"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/network"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// Names by which the services look each other up.
const (
	nameControl  = "control"
	nameDispatch = "dispatch"
	nameEntry    = "entry"
	nameAdmin    = "admin"
)

// stopMargin is the part of the platform's grace period that is reserved for the
// exit of the process.
const stopMargin = 350 * time.Millisecond

// Options configure a Host.
type Options struct {
	Name string
	// CapacityCores is the host's CPU limit in cores.
	CapacityCores    float64
	AvailabilityZone string
	CallersAddress   string
	ReadinessAddress string
	// ReadinessPath is the path that the load balancer probes.
	ReadinessPath string
	PeerAddress   string
	// Seeds are peer addresses of other hosts. Some of them may be gone.
	Seeds []string
	// DispatchAddress is where this host accepts placement requests of other hosts.
	DispatchAddress string
	MetricsAddress  string
	HeaderNames     exchange.HeaderNames
	Store           control.Store
	Schema          control.Schema
	GrantClient     control.GrantClient
	// RetryShare, RetryBurst and RetryWindow bound the retries of all hosts together.
	RetryShare  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// PipelineDepth bounds the pipelined requests of one connection that are in progress at
	// a time. Below 2, requests are served one after another.
	PipelineDepth int
	// GracePeriod is the time within which the process must stop.
	GracePeriod time.Duration
	// EvacuationLimit is the time after the store's response to the operator from which
	// on no request may be written to a server of an evacuated zone; 0 means the default.
	EvacuationLimit time.Duration
	// Callers bound what callers hold.
	Callers CallerOptions
	// MaxPeerConns bounds the connections of other hosts; 0 sets no bound.
	MaxPeerConns int
	// Listen and Dial are the host's network; the zero Listen is that of the operating
	// system.
	Listen ListenFunc
	Dial   exchange.DialFunc
	// Reach judges whether this host is cut off from the servers. The grant client
	// must tell it too.
	Reach *detour.Tracker
	Clock boottime.Clock
	// Metrics are served on MetricsAddress.
	Metrics *Metrics
	Log     *zap.Logger

	limitEvents *entry.LimitEvents // created by New
}

// Host is one entry host.
type Host struct {
	kernel *kernel.Kernel
	budget *entry.RetryBudget
}

// New assembles a host; Run starts it.
func New(options Options) (*Host, error) {
	options.Log = options.Log.With(zap.String("host", options.Name))
	if options.Listen == nil {
		options.Listen = network.OS{}.Listen
	}
	var err error
	if options.limitEvents, err = entry.NewLimitEvents(options.Metrics.Meter("entry"), options.Log); err != nil {
		return nil, err
	}
	limits := ratelimit.NewTable(options.Clock, options.Log)
	if err := registerRateLimitGauges(options.Metrics.Meter("ratelimit"), limits); err != nil {
		return nil, err
	}
	controls := newControlService(options, limits)
	if err := registerGauges(options.Metrics.Meter("control"), controls.node); err != nil {
		return nil, err
	}
	if err := registerReachGauges(options.Metrics.Meter("detour"), options.Reach); err != nil {
		return nil, err
	}
	dispatching := newDispatchService(options, limits)
	if err := registerWarmupMetrics(options.Metrics.Meter("dispatch"), dispatching.local, dispatching.central); err != nil {
		return nil, err
	}
	budget := entry.NewRetryBudget(options.RetryShare, options.RetryBurst, options.RetryWindow)
	entries := &entryService{options: options, metrics: options.Metrics.entry, budget: budget, limits: limits, memory: options.Callers.newBudget()}
	admin := &adminService{options: options, metrics: options.Metrics.Metrics}
	stopTimeout := max(options.GracePeriod-stopMargin, time.Second)
	return &Host{kernel: kernel.New(options.Log, stopTimeout, controls, dispatching, admin, entries), budget: budget}, nil
}

// Run serves until ctx ends, then finishes the requests in flight.
func (h *Host) Run(ctx context.Context) error { return h.kernel.Run(ctx, nil) }

// SetRetryBudget changes the bounds of the retries of all hosts together.
func (h *Host) SetRetryBudget(share, burst float64, window time.Duration) {
	h.budget.SetLimits(share, burst, window)
}

// ListenFunc opens a TCP listener.
type ListenFunc func(ctx context.Context, address string) (net.Listener, error)
