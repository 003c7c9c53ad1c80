package dev

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/host"
	"github.com/cassiasill/cassiasill/internal/netfault"
	"github.com/cassiasill/cassiasill/internal/settings"
)

// devHost is one entry host with the switches of its faults.
type devHost struct {
	deployment *Deployment
	settings   *settings.Settings
	seed       uint64

	mu      sync.Mutex
	network *netfault.Network // nil while the host does not run
	cancel  context.CancelFunc
	done    chan struct{}
}

func newDevHost(d *Deployment, s *settings.Settings, seed uint64) *devHost {
	return &devHost{deployment: d, settings: s, seed: seed}
}

// start runs the host; it returns when the host has started.
func (h *devHost) start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.network != nil {
		return errors.New("the host runs already")
	}
	d := h.deployment
	network := netfault.NewNetwork(d.latency(h.settings.Host.AvailabilityZone))
	entry, err := host.New(host.Options{
		Settings: h.settings, Log: d.options.Log, Network: network, Seed: d.options.Seed<<8 + h.seed + 1,
		WrapCallers: func(next http.Handler) http.Handler { return d.observer.observe(next, h.settings) },
	})
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done, ready, failed := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	d.group.Go(func() {
		defer close(done)
		if err := entry.Run(runCtx, func() { close(ready) }); err != nil {
			d.options.Log.Warn("dev: host ended with an error", zap.String("host", string(h.settings.Host.Name)), zap.Error(err))
			failed <- err
		}
	})
	h.network, h.cancel, h.done = network, cancel, done
	select {
	case <-ready:
		return nil
	case err := <-failed:
		return err
	}
}

// stop shuts the host down gracefully.
func (h *devHost) stop() {
	h.mu.Lock()
	cancel, done, network := h.cancel, h.done, h.network
	h.mu.Unlock()
	if network == nil {
		return
	}
	network.Unblock()
	cancel()
	<-done
	h.forget(network)
}

// kill ends the host as the loss of its process does.
func (h *devHost) kill() {
	h.mu.Lock()
	cancel, done, network := h.cancel, h.done, h.network
	h.mu.Unlock()
	if network == nil {
		return
	}
	network.Kill()
	cancel()
	<-done
	h.forget(network)
}

func (h *devHost) forget(network *netfault.Network) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.network == network {
		h.network = nil
	}
}

// control runs one action of the control address.
func (h *devHost) control(ctx context.Context, action string) error {
	h.mu.Lock()
	network := h.network
	h.mu.Unlock()
	switch action {
	case "restart":
		h.stop()
		return h.start(ctx)
	case "crash":
		h.kill()
		return nil
	}
	if network == nil {
		return errors.New("the host does not run")
	}
	switch action {
	case "pause", "partition":
		network.Block()
	case "resume", "heal":
		network.Unblock()
	default:
		return errors.New("unknown action")
	}
	return nil
}
