// Package kernel starts, supervises and stops the services of a process. Services
// look each other up by name and use each other through interfaces.
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

// Service is one component of the process.
type Service interface {
	// Name returns the unique name by which other services look this one up.
	Name() string
	// Requires returns the names of the services that must start first.
	Requires() []string
	// Start returns when the service is ready. Background work runs through
	// Registry.Go and ends when its context does. If Start fails, it must clean
	// up itself, because Stop is not called.
	Start(ctx context.Context, registry *Registry) error
	// Stop finishes the work in progress before ctx ends.
	Stop(ctx context.Context) error
}

// Error reports which service failed in which step.
type Error struct {
	Service string
	Step    string
	Err     error
}

// Error returns the service, the step and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("service %s: %s: %v", e.Service, e.Step, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Registry finds services by name and runs their background work.
type Registry struct {
	services map[string]Service
	log      *zap.Logger
	group    conc.WaitGroup
	failures chan error
	runCtx   context.Context
}

// Lookup returns the named service as a T. Only services that were started before
// are found.
func Lookup[T any](r *Registry, name string) (T, error) {
	var zero T
	service, ok := r.services[name]
	if !ok {
		return zero, &Error{Service: name, Step: "lookup", Err: errors.New("no such service")}
	}
	typed, ok := service.(T)
	if !ok {
		return zero, &Error{Service: name, Step: "lookup", Err: fmt.Errorf("%T does not implement %T", service, &zero)}
	}
	return typed, nil
}

// Go runs work in the background. Its context ends when the kernel has stopped
// the services. If work returns an error or panics, the whole process stops:
// without one service, the others would respond under wrong assumptions.
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

// Every calls work at each interval, as background work like that of Go.
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

// New returns a kernel for services. All of them together have stopTimeout to stop.
func New(log *zap.Logger, stopTimeout time.Duration, services ...Service) *Kernel {
	return &Kernel{log: log.Named("kernel"), stopTimeout: stopTimeout, services: services}
}

// Run starts the services in dependency order, waits until ctx ends or a service
// fails, and stops them in reverse order. If onReady is not nil, Run calls it
// when all services have started.
func (k *Kernel) Run(ctx context.Context, onReady func()) error {
	ordered, err := sortByDependency(k.services)
	if err != nil {
		return err
	}
	// Background work continues after ctx has ended until the services have
	// stopped, so that requests in flight complete.
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
			k.log.Error("kernel: service failed; stopping all services", zap.Error(failure))
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
	ctx, cancel := context.WithTimeout(ctx, k.stopTimeout)
	defer cancel()
	var errs []error
	for _, service := range slices.Backward(started) {
		if err := service.Stop(ctx); err != nil {
			errs = append(errs, &Error{Service: service.Name(), Step: "stop", Err: err})
		}
		k.log.Debug("kernel: service stopped", zap.String("service", service.Name()))
	}
	return errors.Join(errs...)
}

// sortByDependency sorts services so that each one follows those that it requires.
func sortByDependency(services []Service) ([]Service, error) {
	byName := make(map[string]Service, len(services))
	for _, s := range services {
		if _, duplicate := byName[s.Name()]; duplicate {
			return nil, &Error{Service: s.Name(), Step: "register", Err: errors.New("duplicate service name")}
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
			return &Error{Service: name, Step: "register", Err: errors.New("circular dependency")}
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
