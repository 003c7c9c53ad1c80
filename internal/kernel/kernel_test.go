package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

type fakeService struct {
	name     string
	requires []string
	events   *[]string
	work     func(context.Context) error
	startErr error
}

func (r *fakeService) Name() string       { return r.name }
func (r *fakeService) Requires() []string { return r.requires }

func (r *fakeService) Start(_ context.Context, registry *Registry) error {
	*r.events = append(*r.events, "start "+r.name)
	if r.startErr != nil {
		return r.startErr
	}
	if r.work != nil {
		registry.Go(r.name, r.work)
	}
	return nil
}

func (r *fakeService) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

// Guards against a service that starts before the services it requires, or stops
// after them.
func TestRunStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []string
		ctx, cancel := context.WithCancel(t.Context())
		k := New(zap.NewNop(), time.Second,
			&fakeService{name: "proxy", requires: []string{"routes"}, events: &events},
			&fakeService{name: "routes", requires: []string{"store"}, events: &events},
			&fakeService{name: "store", events: &events})
		assert.NilError(t, k.Run(ctx, cancel))
		assert.DeepEqual(t, events, []string{
			"start store", "start routes", "start proxy", "stop proxy", "stop routes", "stop store"})
	})
}

// Guards against a process that continues without one of its services.
func TestRunStopsWhenAServiceFailsOrPanics(t *testing.T) {
	errBroken := errors.New("broken")
	cases := map[string]func(context.Context) error{
		"error": func(context.Context) error { return errBroken },
		"panic": func(context.Context) error { panic("broken") },
	}
	for name, work := range cases {
		t.Run(name, func(t *testing.T) {
			var events []string
			k := New(zap.NewNop(), time.Second, &fakeService{name: "one", events: &events, work: work})
			assert.ErrorContains(t, k.Run(t.Context(), nil), "service one: run")
			assert.DeepEqual(t, events, []string{"start one", "stop one"})
		})
	}
}

// Guards against stopping a service that did not start: a host whose address was
// in use crashed instead of reporting the error.
func TestRunStopsOnlyWhatStarted(t *testing.T) {
	var events []string
	errAddressInUse := errors.New("address in use")
	k := New(zap.NewNop(), time.Second, &fakeService{name: "one", events: &events}, &fakeService{name: "two", events: &events, startErr: errAddressInUse})
	assert.ErrorIs(t, k.Run(t.Context(), nil), errAddressInUse)
	assert.DeepEqual(t, events, []string{"start one", "start two", "stop one"})
}

// Guards against wrong dependencies that are found only after the start.
func TestSortRejectsUnknownDuplicateAndCircular(t *testing.T) {
	var events []string
	service := func(name string, requires ...string) Service {
		return &fakeService{name: name, requires: requires, events: &events}
	}
	cases := map[string][]Service{
		"unknown service":        {service("a", "b")},
		"duplicate service name": {service("a"), service("a")},
		"circular dependency":    {service("a", "b"), service("b", "a")},
	}
	for want, services := range cases {
		_, err := sortByDependency(services)
		assert.ErrorContains(t, err, want)
	}
}
