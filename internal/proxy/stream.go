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
)

// part is the rest of an answer that broke off: positions of the whole
// representation, which the strong ETag identifies.
type part struct {
	next, last, total int64
	etag              string
}

// partOf returns the range that an answer covers, or nil if it cannot be
// continued from another server.
func partOf(r *http.Response) *part {
	etags := r.Header["Etag"]
	if len(etags) != 1 || !strings.HasPrefix(etags[0], `"`) || r.ContentLength <= 0 {
		return nil
	}
	p := &part{last: r.ContentLength - 1, total: r.ContentLength, etag: etags[0]}
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

// ask sets the headers that request the rest.
func (p *part) ask(header http.Header) {
	for _, name := range []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		delete(header, name)
	}
	header["Range"] = []string{fmt.Sprintf("bytes=%d-%d", p.next, p.last)}
	header["If-Range"] = []string{p.etag}
}

// matches checks that r is exactly the rest.
func (p *part) matches(r *http.Response) error {
	if r.StatusCode != http.StatusPartialContent {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	if etags := r.Header["Etag"]; len(etags) != 1 || etags[0] != p.etag {
		return errors.New("another ETag")
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

// parseContentRange reads "bytes first-last/total".
func parseContentRange(header http.Header) (first, last, total int64, err error) {
	values := header["Content-Range"]
	if len(values) != 1 {
		return 0, 0, 0, errors.New("not one Content-Range")
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

// deliver passes an answer on to the caller.
func (q *request) deliver(a *answer) error {
	r := a.response
	header := q.w.Header()
	copyHeaders(header, r.Header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	header[apierror.HeaderRequestID] = []string{q.id}
	if !q.body.finished() {
		// The upstream answered without reading the body; what is left of it
		// must not be taken for the caller's next request.
		header["Connection"] = []string{"close"}
	}
	length := r.ContentLength
	if a.whole && hasBody(q.r.Method, r.StatusCode) {
		length = int64(len(a.head))
	}
	if length >= 0 && r.StatusCode != http.StatusNoContent && (length > 0 || hasBody(q.r.Method, r.StatusCode)) {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	q.status, q.started = r.StatusCode, true
	q.w.WriteHeader(r.StatusCode)
	if a.whole {
		_, err := q.w.Write(a.head)
		if len(a.head) == 0 {
			err = nil // net/http refuses even empty bodies where none may be
		}
		if q.keep && len(a.head) <= idempotency.MaxReplayBytes {
			q.kept = &idempotency.Response{Status: r.StatusCode, Header: header.Clone(), Body: bytes.Clone(a.head)}
		}
		q.end(a, admission.OutcomeOK)
		return callerGone(err)
	}
	return q.stream(a)
}

func callerGone(err error) error {
	if err != nil {
		return apierror.Wrap(apierror.KindCanceled, err, "the caller took no answer")
	}
	return nil
}

// stream passes a large answer on in bounded memory. If the upstream dies
// midway, the rest is fetched from another one if that is safe.
func (q *request) stream(a *answer) error {
	control := http.NewResponseController(q.w)
	stallTime := q.handler.limits.StallTime
	if q.route.Class == admission.ClassDownload {
		// A download may take longer than its deadline as long as it moves.
		q.timer.Stop()
	}
	stall := time.AfterFunc(stallTime, func() { q.cancel(errStalled) })
	defer stall.Stop()
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // not supported outside of a server
	var p *part
	if q.r.Method == http.MethodGet && q.route.Repeatable {
		p = partOf(a.response)
	}
	chunk, err := a.head, error(nil)
	for {
		_ = control.SetWriteDeadline(time.Now().Add(stallTime))
		if _, werr := q.w.Write(chunk); werr != nil {
			q.end(a, admission.OutcomeCanceled)
			return callerGone(werr)
		}
		if p != nil {
			p.next += int64(len(chunk))
		}
		switch {
		case err == io.EOF:
			q.end(a, admission.OutcomeOK)
			return nil
		case err != nil && a.exchange.tooLong():
			q.end(a, admission.OutcomeFailed)
			return invalid("%w", errTooLong).answer(a.upstream.server.Name)
		case err != nil:
			if a, err = q.resume(a, p, err); err != nil {
				return err
			}
			chunk = a.head
			if a.whole {
				err = io.EOF
			}
			continue
		}
		if a.length < 0 {
			_ = control.Flush() // a failure shows at the next write
		}
		stall.Reset(stallTime)
		var n int
		n, err = a.read(a.buffer[:])
		stall.Stop()
		chunk = a.buffer[:n]
	}
}

// resume fetches the rest of an answer that broke off.
func (q *request) resume(a *answer, p *part, cause error) (*answer, error) {
	f := failed(q.ctx, a.exchange, cause, nil)
	f.seen = SeenUnknown
	server := a.upstream.server.Name
	u := a.upstream
	a.release(f.outcome())
	q.settleFailure(f, u)
	q.logAttempt(server, a.owner, f.seen, a.latency, cause)
	if p == nil || q.ctx.Err() != nil {
		return nil, f.answer(server)
	}
	if q.route.Class == admission.ClassDownload {
		q.deadline = time.Now().Add(q.handler.limits.StallTime)
		q.timer.Reset(q.handler.limits.StallTime)
		defer q.timer.Stop()
	}
	if err := q.next(f, server, a.owner, p); err != nil {
		return nil, err
	}
	rest, err := q.forward(p)
	if err != nil {
		return nil, fmt.Errorf("resume: %w", err)
	}
	return rest, nil
}
