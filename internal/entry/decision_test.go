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

// The cases state what each outcome of an attempt proves to callers.
func TestDecideAfterAttempt(t *testing.T) {
	answered := func(status int) exchange.Result { return exchange.Result{Outcome: exchange.Answered, Status: status} }
	unanswered := func(o exchange.Outcome) exchange.Result { return exchange.Result{Outcome: o} }
	cases := []struct {
		name        string
		kind        routes.RequestKind
		maxAttempts int
		counts      attemptCounts
		result      exchange.Result
		want        attemptDecision
	}{
		{"success", routes.Unsafe, 2, attemptCounts{possiblyExecuted: 1}, answered(200), attemptDecision{action: actionDeliver}},
		{"caller's fault", routes.Safe, 2, attemptCounts{possiblyExecuted: 1}, answered(400), attemptDecision{action: actionDeliver}},
		{"server error, repeatable", routes.Safe, 2, attemptCounts{possiblyExecuted: 1}, answered(500), attemptDecision{action: actionRetry, usesRetryBudget: true}},
		{"server error, last attempt", routes.Safe, 2, attemptCounts{possiblyExecuted: 2}, answered(500), attemptDecision{action: actionDeliver}},
		{"server error, not repeatable", routes.Unsafe, 2, attemptCounts{possiblyExecuted: 1}, answered(500), attemptDecision{action: actionDeliver}},
		{"broken, repeatable", routes.Download, 2, attemptCounts{possiblyExecuted: 1}, unanswered(exchange.Broken), attemptDecision{action: actionRetry, usesRetryBudget: true}},
		{"broken, not repeatable", routes.Unsafe, 2, attemptCounts{possiblyExecuted: 1}, unanswered(exchange.Broken), attemptDecision{action: actionFail, kind: apierror.KindUpstreamFailed}},
		{"not sent, not repeatable", routes.Unsafe, 2, attemptCounts{unsent: 1}, unanswered(exchange.NotSent), attemptDecision{action: actionRetry}},
		{"never sent", routes.Unsafe, 2, attemptCounts{unsent: maxUnsentAttempts}, unanswered(exchange.NotSent), attemptDecision{action: actionFail, kind: apierror.KindNoUpstream}},
		{"not sent after possibly executed", routes.Safe, 2, attemptCounts{unsent: maxUnsentAttempts, possiblyExecuted: 1}, unanswered(exchange.NotSent), attemptDecision{action: actionFail, kind: apierror.KindUpstreamFailed}},
		{"refused, not repeatable", routes.Unsafe, 2, attemptCounts{refused: 1}, unanswered(exchange.Refused), attemptDecision{action: actionRetry, usesRetryBudget: true}},
		{"refused by all", routes.Unsafe, 2, attemptCounts{refused: maxRefusals}, unanswered(exchange.Refused), attemptDecision{action: actionFail, kind: apierror.KindOverloaded}},
		{"refused after possibly executed", routes.Safe, 3, attemptCounts{refused: maxRefusals, possiblyExecuted: 1}, unanswered(exchange.Refused), attemptDecision{action: actionFail, kind: apierror.KindUpstreamFailed}},
		{"silent", routes.Unsafe, 2, attemptCounts{possiblyExecuted: 1}, unanswered(exchange.TimedOut), attemptDecision{action: actionFail, kind: apierror.KindTimeout}},
		{"caller left", routes.Safe, 2, attemptCounts{possiblyExecuted: 1}, unanswered(exchange.Canceled), attemptDecision{action: actionDrop}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, decideAfterAttempt(c.kind, c.maxAttempts, c.counts, c.result), c.want)
		})
	}
}

// Guards against a status that states "not executed" for a request that was
// possibly executed.
func TestNotExecutedStatusIsNeverSentAfterPossibleExecution(t *testing.T) {
	notExecutedStatuses := map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
		http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}
	for _, kind := range []routes.RequestKind{routes.Safe, routes.Unsafe, routes.Download} {
		for possiblyExecuted := range 4 {
			for notExecuted := range 6 {
				for o := exchange.NotSent; o <= exchange.Canceled; o++ {
					counts := attemptCounts{unsent: notExecuted, refused: notExecuted, possiblyExecuted: possiblyExecuted}
					if o != exchange.NotSent && o != exchange.Refused {
						counts.possiblyExecuted++
					}
					v := decideAfterAttempt(kind, 2, counts, exchange.Result{Outcome: o, Status: 500})
					if v.action == actionFail && counts.possiblyExecuted > 0 && notExecutedStatuses[apierror.ResponseFor(v.kind).Status] {
						panic("a possibly executed request is reported as not executed: " + string(v.kind))
					}
				}
			}
		}
	}
}

// Guards against more retries than the budget allows, whatever the request rate.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	const hosts = 12
	b := NewRetryBudget(0.2, 64, 10*time.Second)
	b.SetHosts(hosts)
	start := time.Unix(1000, 0)
	var allowed []time.Duration
	requests := make([]time.Duration, 0, 2000)
	for i := range 2000 {
		at := time.Duration(i) * 20 * time.Millisecond
		requests = append(requests, at)
		b.CountRequest("s", start.Add(at))
		for range 3 {
			if b.Allow("s", start.Add(at)) {
				allowed = append(allowed, at)
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += 100 * time.Millisecond {
		countIn := func(times []time.Duration) (n float64) {
			for _, at := range times {
				if at >= from && at < from+10*time.Second {
					n++
				}
			}
			return n
		}
		assert.Assert(t, countIn(allowed) <= 0.2*countIn(requests)+64.0/hosts, "window from %s: %v retries of %v requests", from, countIn(allowed), countIn(requests))
	}
}

// Guards against a burst that every host gets anew when it restarts.
func TestRetryBudgetHoldsWhenHostsRestart(t *testing.T) {
	const hosts, window = 12, 10 * time.Second
	start := time.Unix(1000, 0)
	newHosts := func() (budgets []*RetryBudget) {
		for range hosts {
			b := NewRetryBudget(0.2, 64, window)
			b.SetHosts(hosts)
			budgets = append(budgets, b)
		}
		return budgets
	}
	var allowed []time.Duration
	budgets := newHosts()
	for at := time.Duration(0); at < 40*time.Second; at += 50 * time.Millisecond {
		if at%(6*time.Second) == 0 {
			budgets = newHosts()
		}
		for _, b := range budgets {
			for b.Allow("s", start.Add(at)) {
				allowed = append(allowed, at)
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += 100 * time.Millisecond {
		count := 0
		for _, at := range allowed {
			if at >= from && at < from+window {
				count++
			}
		}
		assert.Assert(t, count <= 64, "window from %s: %d retries", from, count)
	}
	assert.Assert(t, len(allowed) > 0)
}
