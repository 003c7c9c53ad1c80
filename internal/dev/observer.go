package dev

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/invariant"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// sampleInterval is how often ownership is looked at.
	sampleInterval = 5 * time.Millisecond
	// maxOutcomes bounds the memory of the request check; the oldest are
	// forgotten.
	maxOutcomes = 200_000
)

// observer measures and checks a running deployment from outside.
type observer struct {
	covered chan struct{} // closed when every key has an owner

	mu         sync.Mutex
	gaps       map[topology.ServiceName]*invariant.GapTracker
	owners     map[topology.ServerName][]topology.Range
	moves      int
	violations []invariant.Violation
	requests   int
	errors     map[apierror.Kind]int
	outcomes   []invariant.Outcome
	next       int
}

func newObserver() *observer {
	return &observer{
		covered: make(chan struct{}), gaps: make(map[topology.ServiceName]*invariant.GapTracker),
		owners: make(map[topology.ServerName][]topology.Range), errors: make(map[apierror.Kind]int),
	}
}

// watch samples ownership until ctx ends.
func (o *observer) watch(ctx context.Context, owned func() []standin.Ownership) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		o.sample(time.Now(), owned)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (o *observer) sample(now time.Time, owned func() []standin.Ownership) {
	first := owned()
	if two := overlap(first); two != nil {
		// The servers are read one after the other: only what overlaps again
		// with the same sets was held at the same moment.
		if again := overlap(owned()); again != nil && sameSets(two, again) {
			o.violated(invariant.Violation{At: now, Guarantee: invariant.OneOwner,
				Detail: string(two[0].Server) + " and " + string(two[1].Server) + " hold the same keys"})
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	held := make(map[topology.ServiceName][]topology.Range)
	for _, w := range first {
		if _, ok := held[w.Service]; !ok {
			held[w.Service] = nil
		}
		if w.Valid {
			held[w.Service] = append(held[w.Service], w.Ranges...)
			gained := topology.SubtractRanges(w.Ranges, o.owners[w.Server])
			if len(o.owners[w.Server]) > 0 {
				o.moves += len(gained)
			}
			o.owners[w.Server] = w.Ranges
		}
	}
	all := true
	for service, ranges := range held {
		if o.gaps[service] == nil {
			o.gaps[service] = &invariant.GapTracker{}
		}
		o.gaps[service].Observe(now, ranges)
		all = all && o.gaps[service].HasBeenCovered()
	}
	select {
	case <-o.covered:
	default:
		if all {
			close(o.covered)
		}
	}
}

// overlap returns two servers of one service that hold a position at once.
func overlap(owned []standin.Ownership) []standin.Ownership {
	for i, a := range owned {
		for _, b := range owned[i+1:] {
			if a.Service == b.Service && a.Valid && b.Valid && rangesOverlap(a.Ranges, b.Ranges) {
				return []standin.Ownership{a, b}
			}
		}
	}
	return nil
}

func rangesOverlap(a, b []topology.Range) bool {
	for _, r := range a {
		if slices.ContainsFunc(b, r.Overlaps) {
			return true
		}
	}
	return false
}

func sameSets(a, b []standin.Ownership) bool {
	return slices.EqualFunc(a, b, func(x, y standin.Ownership) bool {
		return x.Server == y.Server && x.Token == y.Token && x.Incarnation == y.Incarnation
	})
}

func (o *observer) violated(v ...invariant.Violation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, v...)
}

// observe wraps a host's callers' handler and notes what callers are told.
func (o *observer) observe(next http.Handler, s *settings.Settings) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w}
		finished := false
		defer func() {
			// A handler that panics breaks the connection: the caller has no
			// whole answer and nothing was claimed.
			o.note(recorder, r, s, finished)
		}()
		next.ServeHTTP(recorder, r)
		finished = true
	})
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes the status.
func (r *statusRecorder) WriteHeader(status int) {
	if r.status == 0 || r.status < http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (o *observer) note(w *statusRecorder, r *http.Request, s *settings.Settings, finished bool) {
	header := w.Header()
	id := header.Get(apierror.HeaderRequestID)
	executed := apierror.Executed(header.Get(apierror.HeaderExecuted))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests++
	if executed != "" {
		o.errors[apierror.Kind(header.Get(apierror.HeaderKind))]++
	}
	if id == "" {
		return
	}
	outcome := invariant.Outcome{
		RequestID: id, Repeatable: repeatable(r, s), Executed: executed,
		// A caller that got headers without an error got an upstream's
		// answer; whether it was the right one, the caller must check.
		HasResponse: finished && executed == "" && w.status != 0, OwnResponse: true,
	}
	if len(o.outcomes) < maxOutcomes {
		o.outcomes = append(o.outcomes, outcome)
		return
	}
	o.outcomes[o.next] = outcome
	o.next = (o.next + 1) % maxOutcomes
}

func repeatable(r *http.Request, s *settings.Settings) bool {
	for i := range s.Services {
		service := &s.Services[i]
		if len(r.URL.Path) > len(service.Name) && r.URL.Path[1:1+len(service.Name)] == string(service.Name) {
			return service.RouteFor(r.Method, r.URL.Path).Repeatable
		}
	}
	return true
}
