// Package cassiasill embeds an entry host of the cassiasill router in a Go
// program. The daemon cmd/cassiasill is a thin layer over it.
package cassiasill

import (
	"context"
	"os"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/host"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/telemetry"
)

// Options configure a Router.
type Options struct {
	// SettingsFile is the path of the YAML settings. Required.
	SettingsFile string
	// Host runs as another host of the settings' list, so that all hosts can
	// share one file. CallersAddress and AdminAddress replace the addresses
	// of the host section. Empty fields change nothing.
	Host, CallersAddress, AdminAddress string
	// Log replaces the logger that the settings describe, which writes to
	// standard error.
	Log *zap.Logger
	// OnReady is called once when every service of the host has started.
	OnReady func()
}

// Router is one entry host.
type Router struct {
	host    *host.Host
	onReady func()
}

// New reads and checks the settings and returns a Router that is not yet
// running. An error lists everything that is wrong with the settings.
func New(options Options) (*Router, error) {
	s, err := settings.Load(options.SettingsFile)
	if err != nil {
		return nil, err
	}
	if err := s.RunAs(options.Host, options.CallersAddress, options.AdminAddress); err != nil {
		return nil, err
	}
	log := options.Log
	if log == nil {
		if log, err = telemetry.NewLogger(os.Stderr, string(s.Log.Level), telemetry.Format(s.Log.Format)); err != nil {
			return nil, err
		}
	}
	h, err := host.New(host.Options{Settings: s, Log: log})
	if err != nil {
		return nil, err
	}
	return &Router{host: h, onReady: options.OnReady}, nil
}

// Run serves until ctx ends. It then reports not ready, finishes the requests
// in flight, hands leadership over and returns. An error means that a service
// failed to start, run or stop.
func (r *Router) Run(ctx context.Context) error { return r.host.Run(ctx, r.onReady) }

// Ready reports whether the router should get requests, and if not, why.
func (r *Router) Ready() (ok bool, reason string) { return r.host.Ready() }
