package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/network"
)

// writeResponse sends a server's response to the caller.
func (h *Handler) writeResponse(w http.ResponseWriter, q *request, result exchange.Result) {
	header := w.Header()
	for name, values := range callerResponseHeaders(result.Header, &h.HeaderNames) {
		header[name] = values
	}
	length := result.ContentLength
	if result.RemainingBody == nil && q.upstream.Method != http.MethodHead {
		length = int64(len(result.Body))
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(result.Status)
	q.stage = stageResponding
	q.caller.watchResponse(h.CallerLimits, h.Limits)
	defer q.caller.endResponse(h.CallerLimits)
	var err error
	if length < 0 && q.lacksChunks {
		err = h.copyUnframedBody(w, q.caller, result)
	} else {
		err = h.copyBody(q.caller.ctx, w, result)
	}
	if err != nil {
		if q.caller.hasLeft() {
			h.resetConnection(w)
			h.endDeparted(q)
		}
		h.Log.Info("entry: response aborted", zap.String("request", q.id), zap.Error(err))
		h.Metrics.recordResult(q.route, "broken-off", time.Since(q.started))
		h.resetConnection(w)
		panic(http.ErrAbortHandler)
	}
	h.Metrics.recordResult(q.route, strconv.Itoa(result.Status), time.Since(q.started))
}

// resetConnection resets the caller's connection so that a truncated response
// does not look complete: an HTTP/1.0 caller takes a plain close as the end of a
// body without a length.
func (h *Handler) resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		h.Log.Debug("entry: connection not reset", zap.Error(err))
		return
	}
	if err := errors.Join(network.SetLinger(c, 0), c.Close()); err != nil {
		h.Log.Debug("entry: connection not reset", zap.Error(err))
	}
}

// copyBody writes the buffered part of the body and then streams the rest.
func (h *Handler) copyBody(ctx context.Context, w http.ResponseWriter, result exchange.Result) error {
	if _, err := io.Copy(w, bytes.NewReader(result.Body)); err != nil {
		return err
	}
	if result.RemainingBody == nil {
		return nil
	}
	defer h.closeRemainingBody(result)
	// A caller that has left may not read either, so that a write would hang.
	stop := context.AfterFunc(ctx, func() {
		if err := http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)); err != nil {
			h.Log.Debug("entry: write to a caller that left not ended", zap.Error(err))
		}
	})
	defer stop()
	_, err := io.Copy(w, result.RemainingBody)
	return err
}

// copyUnframedBody is copyBody for a body that ends with the caller's connection. Until
// all of it is written, any end of the connection is a reset: the kernel closes the
// connections of a process that is killed, and a regular end would look like the end of
// the body.
func (h *Handler) copyUnframedBody(w http.ResponseWriter, c *caller, result exchange.Result) error {
	conn := network.ContextConn(c.ctx)
	if err := network.SetLinger(conn, 0); err != nil {
		return err
	}
	if err := h.copyBody(c.ctx, w, result); err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	return network.SetLinger(conn, -1)
}

// closeRemainingBody closes the unread part of a large response.
func (h *Handler) closeRemainingBody(result exchange.Result) {
	if err := result.RemainingBody.Close(); err != nil {
		h.Log.Debug("entry: server connection not closed", zap.Error(err))
	}
}

// configVersion returns the version of the configuration in force, or 0 while
// there is none.
func (h *Handler) configVersion() int64 {
	if config := h.View.Load().Config; config != nil {
		return config.Version
	}
	return 0
}

// writeError responds with an error that this host raised. It aborts the
// connection instead if the caller has left. q is nil if no route was found
// or the host has no configuration or server list yet.
func (h *Handler) writeError(w http.ResponseWriter, q *request, r *http.Request, failure *apierror.Error) {
	response := failure.Response()
	if q == nil {
		q = &request{id: r.Header.Get(h.HeaderNames.RequestID), started: time.Now()}
	}
	h.boundDrain(q, r)
	if q.caller != nil && failure.Kind == apierror.KindCanceled {
		h.endDeparted(q)
	}
	h.Metrics.recordResult(q.route, string(failure.Kind), time.Since(q.started))
	h.Log.Info("entry: request failed", zap.String("request", q.id), zap.String("kind", string(failure.Kind)),
		zap.Int("status", response.Status), zap.Duration("after", time.Since(q.started)), zap.String("detail", failure.Detail),
		zap.Duration("retry_after", response.RetryAfter), zap.String("service", q.service), zap.Int("position", q.position),
		zap.Int64("config", h.configVersion()), zap.Strings("servers", q.attemptedServers), zap.Error(failure.Err))
	header := w.Header()
	if q.id != "" {
		header.Set(h.HeaderNames.RequestID, q.id)
	}
	if response.RetryAfter > 0 && response.Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if q.closesConn {
		header.Set("Connection", "close")
	}
	body := []byte(string(failure.Kind) + "\n")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.Status)
	if _, err := w.Write(body); err != nil {
		h.Log.Debug("entry: response not written", zap.String("request", q.id), zap.Error(err))
	}
}
