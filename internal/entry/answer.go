package entry

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/exchange"
)

// answer passes a server's answer on.
func (h *Handler) answer(w http.ResponseWriter, q *request, result exchange.Result) {
	header := w.Header()
	for name, values := range returned(result.Header, &h.Headers) {
		header[name] = values
	}
	length := result.Length
	if result.Rest == nil && q.send.Method != http.MethodHead {
		length = int64(len(result.Body))
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(result.Status)
	if err := h.copyBody(w, result); err != nil {
		h.Log.Info("entry: answer broken off", zap.String("request", q.id), zap.Error(err))
		h.Metrics.ended(q.route, "broken-off", time.Since(q.started))
		h.reset(w)
		panic(http.ErrAbortHandler)
	}
	h.Metrics.ended(q.route, strconv.Itoa(result.Status), time.Since(q.started))
}

// reset ends the caller's connection so that an answer that ends early does not
// look complete: to a caller of HTTP/1.0 a plain close is the end of a body
// without a length.
func (h *Handler) reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		h.Log.Debug("entry: connection not reset", zap.Error(err))
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	if err = errors.Join(err, c.Close()); err != nil {
		h.Log.Debug("entry: connection not reset", zap.Error(err))
	}
}

func (h *Handler) copyBody(w http.ResponseWriter, result exchange.Result) error {
	if _, err := io.Copy(w, bytes.NewReader(result.Body)); err != nil {
		return err
	}
	if result.Rest == nil {
		return nil
	}
	defer h.close(result)
	_, err := io.Copy(w, result.Rest)
	return err
}

// close ends what is left of a large answer.
func (h *Handler) close(result exchange.Result) {
	if err := result.Rest.Close(); err != nil {
		h.Log.Debug("entry: connection not closed", zap.Error(err))
	}
}

// configVersion returns the version of the configuration in force, 0 before the
// first.
func (h *Handler) configVersion() int64 {
	if config := h.View.Load().Config; config != nil {
		return config.Version
	}
	return 0
}

// reject answers with an error of the project's own.
func (h *Handler) reject(w http.ResponseWriter, q *request, r *http.Request, failure *apierror.Error) {
	answer := failure.Answer()
	if q == nil {
		q = &request{id: r.Header.Get(h.Headers.RequestID), started: time.Now()}
	}
	h.Metrics.ended(q.route, string(failure.Kind), time.Since(q.started))
	h.Log.Info("entry: request failed", zap.String("request", q.id), zap.String("kind", string(failure.Kind)),
		zap.Int("status", answer.Status), zap.Duration("after", time.Since(q.started)), zap.String("detail", failure.Detail),
		zap.Duration("retry_after", answer.RetryAfter), zap.String("service", q.service), zap.Int("position", q.position),
		zap.Int64("config", h.configVersion()), zap.Strings("servers", q.servers), zap.Error(failure.Err))
	if failure.Kind == apierror.KindCanceled {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	if q.id != "" {
		header.Set(h.Headers.RequestID, q.id)
	}
	if answer.RetryAfter > 0 && answer.Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(string(failure.Kind) + "\n")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status)
	if _, err := w.Write(body); err != nil {
		h.Log.Debug("entry: answer not written", zap.String("request", q.id), zap.Error(err))
	}
}
