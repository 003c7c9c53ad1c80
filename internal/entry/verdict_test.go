package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// The table is the promise to callers: what each way a try can end proves.
func TestJudge(t *testing.T) {
	answered := func(status int) exchange.Result { return exchange.Result{Outcome: exchange.Answered, Status: status} }
	ended := func(o exchange.Outcome) exchange.Result { return exchange.Result{Outcome: o} }
	cases := []struct {
		name     string
		kind     routes.Kind
		attempts int
		tries    tries
		result   exchange.Result
		want     verdict
	}{
		{"success", routes.Unsafe, 2, tries{maybe: 1}, answered(200), verdict{next: deliver}},
		{"caller's fault", routes.Safe, 2, tries{maybe: 1}, answered(400), verdict{next: deliver}},
		{"server error, repeatable", routes.Safe, 2, tries{maybe: 1}, answered(500), verdict{next: resend, arrival: true}},
		{"server error, last attempt", routes.Safe, 2, tries{maybe: 2}, answered(500), verdict{next: deliver}},
		{"server error, not repeatable", routes.Unsafe, 2, tries{maybe: 1}, answered(500), verdict{next: deliver}},
		{"broken, repeatable", routes.Download, 2, tries{maybe: 1}, ended(exchange.Broken), verdict{next: resend, arrival: true}},
		{"broken, not repeatable", routes.Unsafe, 2, tries{maybe: 1}, ended(exchange.Broken), verdict{next: fail, kind: apierror.KindUpstreamFailed}},
		{"not sent, not repeatable", routes.Unsafe, 2, tries{unsent: 1}, ended(exchange.NotSent), verdict{next: resend}},
		{"never sent", routes.Unsafe, 2, tries{unsent: maxUnsent}, ended(exchange.NotSent), verdict{next: fail, kind: apierror.KindNoUpstream}},
		{"not sent after it may have run", routes.Safe, 2, tries{unsent: maxUnsent, maybe: 1}, ended(exchange.NotSent), verdict{next: fail, kind: apierror.KindUpstreamFailed}},
		{"refused, not repeatable", routes.Unsafe, 2, tries{refused: 1}, ended(exchange.Refused), verdict{next: resend, arrival: true}},
		{"refused by all", routes.Unsafe, 2, tries{refused: maxRefused}, ended(exchange.Refused), verdict{next: fail, kind: apierror.KindOverloaded}},
		{"refused after it may have run", routes.Safe, 3, tries{refused: maxRefused, maybe: 1}, ended(exchange.Refused), verdict{next: fail, kind: apierror.KindUpstreamFailed}},
		{"silent", routes.Unsafe, 2, tries{maybe: 1}, ended(exchange.TimedOut), verdict{next: fail, kind: apierror.KindTimeout}},
		{"caller left", routes.Safe, 2, tries{maybe: 1}, ended(exchange.Canceled), verdict{next: drop}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, judge(c.kind, c.attempts, c.tries, c.result), c.want)
		})
	}
}

// Guards against a status that promises "not run" after a request may have run.
func TestNoPromiseAfterARun(t *testing.T) {
	promises := map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
		http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}
	for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe, routes.Download} {
		for maybe := range 4 {
			for other := range 6 {
				for o := exchange.NotSent; o <= exchange.Canceled; o++ {
					t := tries{unsent: other, refused: other, maybe: maybe}
					if o != exchange.NotSent && o != exchange.Refused {
						t.maybe++
					}
					v := judge(kind, 2, t, exchange.Result{Outcome: o, Status: 500})
					if v.next == fail && t.maybe > 0 && promises[apierror.AnswerFor(v.kind).Status] {
						panic("a promise after a run: " + string(v.kind))
					}
				}
			}
		}
	}
}

// Guards against more repeats than agreed, whatever the number of requests.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const hosts = 12
	b := NewBudget(0.2, 64, 10*time.Second)
	b.SetHosts(hosts)
	start := time.Unix(1000, 0)
	var allowed []time.Duration
	requests := make([]time.Duration, 0, 2000)
	for i := range 2000 {
		at := time.Duration(i) * 20 * time.Millisecond
		requests = append(requests, at)
		b.Request("s", start.Add(at))
		for range 3 {
			if b.Allow("s", start.Add(at)) {
				allowed = append(allowed, at)
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += 100 * time.Millisecond {
		in := func(list []time.Duration) (n float64) {
			for _, at := range list {
				if at >= from && at < from+10*time.Second {
					n++
				}
			}
			return n
		}
		assert.Assert(t, in(allowed) <= 0.2*in(requests)+64.0/hosts, "window from %s: %v repeats of %v requests", from, in(allowed), in(requests))
	}
}
