package proxy

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// crashWindow is the span in which connections count as broken at once.
	crashWindow = 100 * time.Millisecond
	// probeTime is how long a new connection must stay open to show that the
	// upstream lives: a dying process may still complete the handshake.
	probeTime = 50 * time.Millisecond
)

// crashed reports whether the upstream crashed at about the moment failed: it
// refuses connections, or all its connections, at least two, broke at once. A
// single broken connection of a live upstream is no crash.
func (u *upstream) crashed(failed time.Time) bool {
	// Requests that failed together share one probe.
	u.probing.Lock()
	defer u.probing.Unlock()
	if u.probedAt.After(failed) {
		return u.probeCrashed
	}
	started := time.Now()
	u.probeCrashed = u.refuses() || u.allBroke(failed)
	u.probedAt = started
	return u.probeCrashed
}

// refuses reports whether the upstream refuses a new connection or breaks it
// at once.
func (u *upstream) refuses() bool {
	// The request that failed may be about to end; the verdict is still needed.
	ctx, cancel := context.WithTimeout(context.Background(), crashWindow)
	defer cancel()
	c, err := u.dial(ctx, "tcp", u.server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(probeTime)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// allBroke reports whether the upstream broke every connection that was open
// when one failed.
func (u *upstream) allBroke(failed time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.broken < 2 || failed.Sub(u.brokenAt).Abs() > crashWindow {
		return false
	}
	for c := range u.conns {
		if c.opened.Before(u.brokenAt) {
			return false
		}
	}
	return true
}

// fingerprint returns the quarantine's and the idempotency key's fingerprint of
// the request. Of a long body only the buffered start counts.
func (q *request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.caller, q.r.Method, q.r.URL.RequestURI(), q.body.buffer)
}

// checkQuarantine refuses a request that is known to crash upstreams.
func (q *request) checkQuarantine() error {
	table := q.handler.options.Quarantine
	if table == nil {
		return nil
	}
	q.print = q.fingerprint()
	if refused, after := table.Check(q.print, time.Now()); refused {
		return quarantined(after)
	}
	return nil
}

func quarantined(after time.Duration) error {
	e := apierror.New(apierror.KindQuarantined, "upstreams crashed while they executed this request")
	e.RetryAfter = after
	return e
}

// permit asks the quarantine for the right to send under a ticket. If it is
// not granted, the ticket is given back; the server returned then is the only
// one to try, if not empty.
func (q *request) permit(t admission.Ticket) (granted bool, only topology.ServerName, err error) {
	table := q.handler.options.Quarantine
	if table == nil {
		return true, "", nil
	}
	d := table.BeginAttempt(q.print, t.Server(), time.Now())
	if d.Action == quarantine.Proceed {
		q.held = d.Permit
		return true, "", nil
	}
	t.Done(admission.OutcomeCanceled, 0)
	switch {
	case d.Action == quarantine.Refuse:
		return false, "", quarantined(d.RetryAfter)
	case d.Action == quarantine.Redirect && !q.service.Keyed:
		return false, d.Server, nil
	}
	select {
	case <-d.Changed:
		return false, "", nil
	case <-q.ctx.Done():
		return false, "", q.ended()
	}
}

// settle ends the quarantine's permit of an attempt that was answered.
func (q *request) settle(outcome admission.Outcome) {
	if table := q.handler.options.Quarantine; table != nil {
		result := quarantine.Inconclusive
		if outcome == admission.OutcomeOK {
			result = quarantine.Completed
		}
		table.EndAttempt(q.held, result, time.Now())
	}
}

// settleFailure ends the permit of an attempt that failed, and finds out
// whether the upstream crashed.
func (q *request) settleFailure(f *failure, u *upstream) {
	table := q.handler.options.Quarantine
	if table == nil {
		return
	}
	result := quarantine.Inconclusive
	if f.broken && u.crashed(f.at) {
		result = quarantine.Crashed
		q.handler.log.Warn("proxy: upstream crashed during a request", zap.String("request", q.id),
			zap.String("service", string(q.service.Name)), zap.String("server", string(u.server.Name)))
	}
	table.EndAttempt(q.held, result, time.Now())
}
