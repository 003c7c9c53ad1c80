package matrix

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/invariant"
	"github.com/cassiasill/cassiasill/internal/standin"
)

// lieAboutUnknown reports executed: no for every unknown outcome.
func lieAboutUnknown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(&liar{w}, r) })
}

type liar struct{ http.ResponseWriter }

func (l *liar) WriteHeader(status int) {
	if l.Header().Get(apierror.HeaderExecuted) == string(apierror.ExecutedUnknown) {
		l.Header().Set(apierror.HeaderExecuted, string(apierror.ExecutedNo))
	}
	l.ResponseWriter.WriteHeader(status)
}

func (l *liar) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// repeatBookings runs every booking a second time.
func repeatBookings(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			again := r.Clone(r.Context())
			again.Body, again.ContentLength = http.NoBody, 0
			next.ServeHTTP(&discarded{header: make(http.Header)}, again)
		}
		next.ServeHTTP(w, r)
	})
}

type discarded struct{ header http.Header }

func (d *discarded) Header() http.Header         { return d.header }
func (d *discarded) Write(p []byte) (int, error) { return len(p), nil }
func (d *discarded) WriteHeader(int)             {}

// swapAnswers answers each lookup under the path of another one.
func swapAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			r.URL.Path += "-other"
		}
		next.ServeHTTP(w, r)
	})
}

// Guards against checks that let a broken part of the deployment pass: each
// variant has one defect, which the named check must report.
func TestChecksCatchBrokenVariants(t *testing.T) {
	var calls atomic.Int64
	goBack := func(_ time.Time, revision uint64) uint64 {
		if calls.Add(1)%500 == 0 && revision > 0 {
			return revision - 1
		}
		return revision
	}
	stuck := func(_ time.Time, revision uint64) uint64 { return min(revision, 1) }
	none := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			apierror.Write(w, "", apierror.New(apierror.KindNoOwner, "broken on purpose"))
		})
	}
	// In these faults requests are cut off while they run, or nothing happens
	// for longer than a change may take.
	custom := []fault{
		{name: "crash while requests run", hold: 2 * time.Second, strike: onServers(func(_ *deployment, s *standin.Server) {
			s.SetServiceTimeFactor(100)
			time.AfterFunc(400*time.Millisecond, s.Crash)
		}, restart)},
		{name: "none", hold: 6 * time.Second, strike: func(*deployment) func() { return nothing }},
	}
	cases := []struct {
		name, step, fault string
		moment            moment
		variant           variant
		want              string
	}{
		{"server checks no fencing token", "request", "server frozen", during, variant{unchecked: true}, string(invariant.OneOwner)},
		{"host reports executed: no for an unknown outcome", "request", "crash while requests run", during, variant{wrapCallers: lieAboutUnknown}, string(invariant.NotExecutedIsTrue)},
		{"host repeats a booking", "request", "server crashed", during, variant{wrapCallers: repeatBookings}, string(invariant.AtMostOnce)},
		{"host swaps answers", "request", "server crashed", during, variant{wrapCallers: swapAnswers}, string(invariant.CompleteOwnResponse)},
		{"host routes no key", "request", "store slow", during, variant{wrapCallers: none}, "served again"},
		{"shutdown closes connections at once", "host shutdown", "store slow", during, variant{abruptStop: true}, string(invariant.GracefulShutdown)},
		{"follower goes back", "operator change", "store slow", after, variant{wrapRevision: goBack}, string(invariant.ChangeInEffect)},
		{"follower is stuck", "operator change", "none", after, variant{wrapRevision: stuck}, string(invariant.ChangeInEffect)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := slices.IndexFunc(steps(), func(s step) bool { return s.name == c.step })
			all := append(faults(), custom...)
			f := slices.IndexFunc(all, func(f fault) bool { return f.name == c.fault })
			r := runCell(t, steps()[s], all[f], c.moment, c.variant)
			assert.Assert(t, slices.ContainsFunc(r.violations, func(v string) bool { return strings.Contains(v, c.want) }),
				"no breach of %q in %q", c.want, r.violations)
		})
	}
}
