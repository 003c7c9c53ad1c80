package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/idempotency"
	"github.com/cassiasill/cassiasill/internal/network"
)

// resumeRange is the missing range of an interrupted response, in byte positions
// of the complete representation that the strong ETag identifies.
type resumeRange struct {
	next, last, total int64
	etag              string
}

// resumeRangeOf returns the range that a response covers, or nil if the response
// cannot be resumed from another server.
func resumeRangeOf(r *http.Response) *resumeRange {
	etags := r.Header["Etag"]
	if len(etags) != 1 || !strings.HasPrefix(etags[0], `"`) || r.ContentLength <= 0 {
		return nil
	}
	p := &resumeRange{last: r.ContentLength - 1, total: r.ContentLength, etag: etags[0]}
	switch r.StatusCode {
	case http.StatusOK:
		return p
	case http.StatusPartialContent:
		var err error
		if p.next, p.last, p.total, err = parseContentRange(r.Header); err == nil && p.last-p.next+1 == r.ContentLength {
			return p
		}
	}
	return nil
}

// setHeaders sets the headers that request the missing range.
func (p *resumeRange) setHeaders(header http.Header) {
	for _, name := range []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		delete(header, name)
	}
	header["Range"] = []string{fmt.Sprintf("bytes=%d-%d", p.next, p.last)}
	header["If-Range"] = []string{p.etag}
}

// checkResponse checks that r is exactly the missing range.
func (p *resumeRange) checkResponse(r *http.Response) error {
	if r.StatusCode != http.StatusPartialContent {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	if etags := r.Header["Etag"]; len(etags) != 1 || etags[0] != p.etag {
		return errors.New("the ETag differs")
	}
	first, last, total, err := parseContentRange(r.Header)
	if err != nil {
		return err
	}
	if first != p.next || last != p.last || total != p.total || r.ContentLength != last-first+1 {
		return fmt.Errorf("range %d-%d/%d of length %d", first, last, total, r.ContentLength)
	}
	return nil
}

// parseContentRange parses a header of the form "bytes first-last/total".
func parseContentRange(header http.Header) (first, last, total int64, err error) {
	values := header["Content-Range"]
	if len(values) != 1 {
		return 0, 0, 0, errors.New("missing or repeated Content-Range")
	}
	span, ok := strings.CutPrefix(values[0], "bytes ")
	a, rest, ok1 := strings.Cut(span, "-")
	b, c, ok2 := strings.Cut(rest, "/")
	first, err1 := strconv.ParseInt(a, 10, 64)
	last, err2 := strconv.ParseInt(b, 10, 64)
	total, err3 := strconv.ParseInt(c, 10, 64)
	if !ok || !ok1 || !ok2 || errors.Join(err1, err2, err3) != nil || first < 0 || first > last || last >= total {
		return 0, 0, 0, fmt.Errorf("invalid Content-Range %q", values[0])
	}
	return first, last, total, nil
}

// deliver passes a response on to the caller.
func (q *request) deliver(a *upstreamResponse) error {
	r := a.response
	header := q.w.Header()
	copyHeaders(header, r.Header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	header[apierror.HeaderRequestID] = []string{q.id}
	if !q.body.fullyRead() {
		// The upstream responded without reading the complete body; the
		// remaining bytes must not be parsed as the caller's next request.
		header["Connection"] = []string{"close"}
	}
	length := r.ContentLength
	if a.complete && hasBody(q.r.Method, r.StatusCode) {
		length = int64(len(a.bufferedBody))
	}
	if length >= 0 && r.StatusCode != http.StatusNoContent && (length > 0 || hasBody(q.r.Method, r.StatusCode)) {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	q.status, q.responseStarted = r.StatusCode, true
	q.w.WriteHeader(r.StatusCode)
	if a.complete {
		_, err := q.w.Write(a.bufferedBody)
		if len(a.bufferedBody) == 0 {
			err = nil // net/http rejects even empty writes if the response must not have a body
		}
		if q.storeResponse && len(a.bufferedBody) <= idempotency.MaxReplayBytes {
			q.storedResponse = &idempotency.Response{Status: r.StatusCode, Header: header.Clone(), Body: bytes.Clone(a.bufferedBody)}
		}
		q.finishResponse(a, admission.OutcomeOK)
		return canceledError(err)
	}
	return q.stream(a)
}

func canceledError(err error) error {
	if err != nil {
		return apierror.Wrap(apierror.KindCanceled, err, "the caller took no answer")
	}
	return nil
}

// stream passes on a large response in bounded memory. If the upstream fails in
// the middle, the missing range is fetched from another upstream if that is safe.
func (q *request) stream(a *upstreamResponse) error {
	control := http.NewResponseController(q.w)
	stallTime := q.handler.limits.StallTimeout
	if q.route.Class == admission.ClassDownload {
		// A download may take longer than its deadline as long as it makes
		// progress.
		q.timer.Stop()
	}
	stall := time.AfterFunc(stallTime, func() { q.cancel(errStalled) })
	defer stall.Stop()
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // not supported outside of a server
	// An HTTP/1.0 caller takes the end of the connection for the end of a body without a
	// length. Until all of it is written the connection can only be reset.
	endsWithConn := a.length < 0 && !q.r.ProtoAtLeast(1, 1)
	callerConn := network.ContextConn(q.r.Context())
	if endsWithConn {
		if err := network.SetLinger(callerConn, 0); err != nil {
			q.finishResponse(a, admission.OutcomeCanceled)
			return canceledError(err)
		}
	}
	var p *resumeRange
	if q.r.Method == http.MethodGet && q.route.Repeatable {
		p = resumeRangeOf(a.response)
	}
	chunk, err := a.bufferedBody, error(nil)
	for {
		_ = control.SetWriteDeadline(time.Now().Add(stallTime))
		if _, werr := q.w.Write(chunk); werr != nil {
			q.finishResponse(a, admission.OutcomeCanceled)
			return canceledError(werr)
		}
		if p != nil {
			p.next += int64(len(chunk))
		}
		switch {
		case err == io.EOF:
			q.finishResponse(a, admission.OutcomeOK)
			if !endsWithConn {
				return nil
			}
			return canceledError(errors.Join(control.Flush(), network.SetLinger(callerConn, -1)))
		case err != nil && a.exchange.tooLong():
			q.finishResponse(a, admission.OutcomeFailed)
			return invalidResponse("%w", errTooLong).callerError(a.upstream.server.Name)
		case err != nil:
			if a, err = q.resume(a, p, err); err != nil {
				return err
			}
			chunk = a.bufferedBody
			if a.complete {
				err = io.EOF
			}
			continue
		}
		if a.length < 0 {
			_ = control.Flush() // the next write reports a failure
		}
		stall.Reset(stallTime)
		var n int
		n, err = a.read(a.buffer[:])
		stall.Stop()
		chunk = a.buffer[:n]
	}
}

// resume fetches the missing range of an interrupted response.
func (q *request) resume(a *upstreamResponse, p *resumeRange, cause error) (*upstreamResponse, error) {
	f := classifyFailure(q.ctx, a.exchange, cause, nil)
	f.result = AttemptUnknown
	server := a.upstream.server.Name
	u := a.upstream
	a.release(f.outcome())
	q.endFailedPermit(f, u)
	q.recordAttempt(server, a.owner, f.result, a.latency, cause)
	if p == nil || q.ctx.Err() != nil {
		return nil, f.callerError(server)
	}
	if q.route.Class == admission.ClassDownload {
		q.deadline = time.Now().Add(q.handler.limits.StallTimeout)
		q.timer.Reset(q.handler.limits.StallTimeout)
		defer q.timer.Stop()
	}
	if err := q.prepareRetry(f, server, a.owner, p); err != nil {
		return nil, err
	}
	rest, err := q.forward(p)
	if err != nil {
		return nil, fmt.Errorf("resume response: %w", err)
	}
	return rest, nil
}
