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

type recorder struct {
	name     string
	requires []string
	events   *[]string
	work     func(context.Context) error
	fail     error
}

func (r *recorder) Name() string       { return r.name }
func (r *recorder) Requires() []string { return r.requires }

func (r *recorder) Start(_ context.Context, registry *Registry) error {
	*r.events = append(*r.events, "start "+r.name)
	if r.fail != nil {
		return r.fail
	}
	if r.work != nil {
		registry.Go(r.name, r.work)
	}
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

// Guards against a service that starts before what it needs, or that outlives it.
func TestRunStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []string
		ctx, cancel := context.WithCancel(t.Context())
		k := New(zap.NewNop(), time.Second,
			&recorder{name: "proxy", requires: []string{"routes"}, events: &events},
			&recorder{name: "routes", requires: []string{"store"}, events: &events},
			&recorder{name: "store", events: &events})
		assert.NilError(t, k.Run(ctx, cancel))
		assert.DeepEqual(t, events, []string{
			"start store", "start routes", "start proxy", "stop proxy", "stop routes", "stop store"})
	})
}

// Guards against a process that lives on without one of its services.
func TestRunStopsWhenAServiceFailsOrPanics(t *testing.T) {
	broken := errors.New("broken")
	cases := map[string]func(context.Context) error{
		"error": func(context.Context) error { return broken },
		"panic": func(context.Context) error { panic("broken") },
	}
	for name, work := range cases {
		t.Run(name, func(t *testing.T) {
			var events []string
			k := New(zap.NewNop(), time.Second, &recorder{name: "one", events: &events, work: work})
			assert.ErrorContains(t, k.Run(t.Context(), nil), "service one: run")
			assert.DeepEqual(t, events, []string{"start one", "stop one"})
		})
	}
}

// Guards against stopping what never started: a host whose address was taken
// crashed instead of saying so.
func TestRunStopsOnlyWhatStarted(t *testing.T) {
	var events []string
	taken := errors.New("address in use")
	k := New(zap.NewNop(), time.Second, &recorder{name: "one", events: &events}, &recorder{name: "two", events: &events, fail: taken})
	assert.ErrorIs(t, k.Run(t.Context(), nil), taken)
	assert.DeepEqual(t, events, []string{"start one", "start two", "stop one"})
}

// Guards against a settings mistake that only shows while running.
func TestOrderRejectsUnknownDoubleAndCircular(t *testing.T) {
	var events []string
	service := func(name string, requires ...string) Service {
		return &recorder{name: name, requires: requires, events: &events}
	}
	cases := map[string][]Service{
		"unknown service": {service("a", "b")},
		"name used twice": {service("a"), service("a")},
		"requires itself": {service("a", "b"), service("b", "a")},
	}
	for want, services := range cases {
		_, err := order(services)
		assert.ErrorContains(t, err, want)
	}
}
