// Package kernel starts, finds, supervises and stops the services of a process.
// Services look each other up by name and see only the interface they ask for.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
)

// Service is one part of the process.
type Service interface {
	// Name is the unique name under which other services find this one.
	Name() string
	// Requires lists the services that must be started before.
	Requires() []string
	// Start returns when the service is ready. Work that goes on runs through
	// Registry.Go and ends when its context does. A service whose Start fails
	// cleans up itself: it is not stopped.
	Start(ctx context.Context, registry *Registry) error
	// Stop finishes what is in progress before ctx ends.
	Stop(ctx context.Context) error
}

// Error is a failure of the kernel or of a service under it.
type Error struct {
	Service string
	Step    string
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("service %s: %s: %v", e.Service, e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Registry finds services by name and runs their background work.
type Registry struct {
	services map[string]Service
	log      *zap.Logger
	group    conc.WaitGroup
	failures chan error
	runCtx   context.Context
}

// Lookup returns the named service as a T.
func Lookup[T any](r *Registry, name string) (T, error) {
	var zero T
	service, ok := r.services[name]
	if !ok {
		return zero, &Error{Service: name, Step: "lookup", Err: errors.New("no such service")}
	}
	typed, ok := service.(T)
	if !ok {
		return zero, &Error{Service: name, Step: "lookup", Err: fmt.Errorf("%T does not offer %T", service, &zero)}
	}
	return typed, nil
}

// Go runs work until its context ends with the kernel. Work that returns an
// error or panics stops the whole process: a part that is missing would leave
// the others answering under wrong assumptions.
func (r *Registry) Go(name string, work func(ctx context.Context) error) {
	r.group.Go(func() {
		var err error
		if recovered := panics.Try(func() { err = work(r.runCtx) }); recovered != nil {
			err = recovered.AsError()
		}
		if err == nil || r.runCtx.Err() != nil {
			return
		}
		select {
		case r.failures <- &Error{Service: name, Step: "run", Err: err}:
		default:
		}
	})
}

// Every calls work at each interval until the kernel stops.
func (r *Registry) Every(name string, interval time.Duration, work func()) {
	r.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				work()
			}
		}
	})
}

// Kernel runs a set of services.
type Kernel struct {
	log         *zap.Logger
	stopTimeout time.Duration
	services    []Service
}

// New returns a kernel; each service gets stopTimeout to stop.
func New(log *zap.Logger, stopTimeout time.Duration, services ...Service) *Kernel {
	return &Kernel{log: log.Named("kernel"), stopTimeout: stopTimeout, services: services}
}

// Run starts the services in dependency order, waits until ctx ends or one
// fails, and stops them in reverse order. The onReady function, if not nil, is
// called when all have started.
func (k *Kernel) Run(ctx context.Context, onReady func()) error {
	ordered, err := order(k.services)
	if err != nil {
		return err
	}
	// Background work outlives ctx until the services have stopped, so that
	// requests in flight end normally.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	registry := &Registry{services: make(map[string]Service), log: k.log, failures: make(chan error, 1), runCtx: runCtx}
	started, failure := k.start(ctx, registry, ordered)
	if failure == nil {
		if onReady != nil {
			onReady()
		}
		select {
		case <-ctx.Done():
		case failure = <-registry.failures:
			k.log.Error("kernel: a service failed, stopping", zap.Error(failure))
		}
	}
	stopErr := k.stop(context.WithoutCancel(ctx), started)
	cancel()
	registry.group.Wait()
	return errors.Join(failure, stopErr)
}

func (k *Kernel) start(ctx context.Context, registry *Registry, ordered []Service) ([]Service, error) {
	for i, service := range ordered {
		registry.services[service.Name()] = service
		if err := service.Start(ctx, registry); err != nil {
			return ordered[:i], &Error{Service: service.Name(), Step: "start", Err: err}
		}
		k.log.Debug("kernel: service started", zap.String("service", service.Name()))
	}
	return ordered, nil
}

func (k *Kernel) stop(ctx context.Context, started []Service) error {
	var errs []error
	for _, service := range slices.Backward(started) {
		stopCtx, cancel := context.WithTimeout(ctx, k.stopTimeout)
		if err := service.Stop(stopCtx); err != nil {
			errs = append(errs, &Error{Service: service.Name(), Step: "stop", Err: err})
		}
		cancel()
		k.log.Debug("kernel: service stopped", zap.String("service", service.Name()))
	}
	return errors.Join(errs...)
}

// order sorts services so that each comes after those it requires.
func order(services []Service) ([]Service, error) {
	byName := make(map[string]Service, len(services))
	for _, s := range services {
		if _, double := byName[s.Name()]; double {
			return nil, &Error{Service: s.Name(), Step: "register", Err: errors.New("name used twice")}
		}
		byName[s.Name()] = s
	}
	const visiting, done = 1, 2
	state := make(map[string]int, len(services))
	var out []Service
	var visit func(name, requiredBy string) error
	visit = func(name, requiredBy string) error {
		s, ok := byName[name]
		if !ok {
			return &Error{Service: requiredBy, Step: "register", Err: fmt.Errorf("requires unknown service %q", name)}
		}
		switch state[name] {
		case done:
			return nil
		case visiting:
			return &Error{Service: name, Step: "register", Err: errors.New("requires itself through others")}
		}
		state[name] = visiting
		for _, required := range s.Requires() {
			if err := visit(required, name); err != nil {
				return err
			}
		}
		state[name] = done
		out = append(out, s)
		return nil
	}
	for _, s := range services {
		if err := visit(s.Name(), ""); err != nil {
			return nil, err
		}
	}
	return out, nil
}
