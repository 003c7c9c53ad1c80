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
	// crashWindow is the time within which broken connections count as broken
	// by the same event.
	crashWindow = 100 * time.Millisecond
	// probeDuration is how long a new connection must stay open to show that the
	// upstream is alive: the kernel may complete the handshake for a process
	// that is exiting.
	probeDuration = 50 * time.Millisecond
)

// crashed reports whether the upstream crashed at about the time failed: it
// refuses connections, or all of its connections, at least two, broke within
// crashWindow. A single broken connection to a live upstream is no crash.
func (u *upstream) crashed(failed time.Time) bool {
	// Requests that failed at the same time share one probe.
	u.probeMu.Lock()
	defer u.probeMu.Unlock()
	if u.probedAt.After(failed) {
		return u.probeCrashed
	}
	started := time.Now()
	u.probeCrashed = u.refusesConns() || u.allConnsBroke(failed)
	u.probedAt = started
	return u.probeCrashed
}

// refusesConns reports whether the upstream refuses a new connection or closes
// it within probeDuration.
func (u *upstream) refusesConns() bool {
	// The failed request's context may end soon; the probe must outlive it.
	ctx, cancel := context.WithTimeout(context.Background(), crashWindow)
	defer cancel()
	c, err := u.dial(ctx, "tcp", u.server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(probeDuration)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// allConnsBroke reports whether the upstream broke every connection that was open
// when one failed.
func (u *upstream) allConnsBroke(failed time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.brokenConns < 2 || failed.Sub(u.brokenAt).Abs() > crashWindow {
		return false
	}
	for c := range u.conns {
		if c.opened.Before(u.brokenAt) {
			return false
		}
	}
	return true
}

// computeFingerprint returns the fingerprint that the quarantine and the
// idempotency claims use for the request. Only the buffered start of a long body
// is included.
func (q *request) computeFingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.caller, q.r.Method, q.r.URL.RequestURI(), q.body.buffer)
}

// checkQuarantine rejects a request that is known to crash upstreams.
func (q *request) checkQuarantine() error {
	table := q.handler.options.Quarantine
	if table == nil {
		return nil
	}
	q.requestFingerprint = q.computeFingerprint()
	if refused, after := table.Check(q.requestFingerprint, time.Now()); refused {
		return quarantinedError(after)
	}
	return nil
}

func quarantinedError(after time.Duration) error {
	e := apierror.New(apierror.KindQuarantined, "upstreams crashed while they executed this request")
	e.RetryAfter = after
	return e
}

// acquirePermit asks the quarantine for a permit to send the request to the
// ticket's server. If the permit is not granted, the ticket is released, and the
// returned server, if not empty, is the only one that may be tried next.
func (q *request) acquirePermit(t admission.Ticket) (granted bool, only topology.ServerName, err error) {
	table := q.handler.options.Quarantine
	if table == nil {
		return true, "", nil
	}
	d := table.BeginAttempt(q.requestFingerprint, t.Server(), time.Now())
	if d.Action == quarantine.Proceed {
		q.quarantinePermit = d.Permit
		return true, "", nil
	}
	t.Done(admission.OutcomeCanceled, 0)
	switch {
	case d.Action == quarantine.Refuse:
		return false, "", quarantinedError(d.RetryAfter)
	case d.Action == quarantine.Redirect && !q.service.HasKeyOwners:
		return false, d.Server, nil
	}
	select {
	case <-d.Changed:
		return false, "", nil
	case <-q.ctx.Done():
		return false, "", q.contextError()
	}
}

// endPermit ends the quarantine permit of an attempt that got a response or was
// not sent.
func (q *request) endPermit(outcome admission.Outcome) {
	if table := q.handler.options.Quarantine; table != nil {
		result := quarantine.Inconclusive
		if outcome == admission.OutcomeOK {
			result = quarantine.Completed
		}
		table.EndAttempt(q.quarantinePermit, result, time.Now())
	}
}

// endFailedPermit ends the quarantine permit of a failed attempt and checks
// whether the upstream crashed.
func (q *request) endFailedPermit(f *failure, u *upstream) {
	table := q.handler.options.Quarantine
	if table == nil {
		return
	}
	result := quarantine.Inconclusive
	if f.connectionBroke && u.crashed(f.failedAt) {
		result = quarantine.Crashed
		q.handler.log.Warn("proxy: upstream crashed during a request", zap.String("request", q.id),
			zap.String("service", string(q.service.Name)), zap.String("server", string(u.server.Name)))
	}
	table.EndAttempt(q.quarantinePermit, result, time.Now())
}
