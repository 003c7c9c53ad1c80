package proxy

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/network"
	"github.com/cassiasill/cassiasill/internal/retry"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// readHeaderTimeout bounds the arrival of a request's header so that slow
	// senders do not occupy connections.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is how long a caller's idle connection stays open. It is
	// longer than the idle timeout of common load balancers, so that the
	// balancer closes the connection first.
	callerIdleTimeout = 2 * time.Minute
)

// Handler serves callers' requests. It implements http.Handler.
type Handler struct {
	options       Options
	limits        Limits
	log           *zap.Logger
	metrics       Metrics
	router        *httprouter.Router
	services      map[string]*service
	bufferedBytes atomic.Int64 // bytes of buffered request bodies

	waitingBytes atomic.Int64

	mu       sync.Mutex
	inFlight int
	draining bool
	drained  chan struct{} // closed when the handler is draining and no request is in flight
}

// service is a Service with its state on this host.
type service struct {
	Service
	upstreams       map[topology.ServerName]*upstream
	retryBudget     *retry.Budget
	waitingRequests atomic.Int64
}

var defaultRoutes = []Route{
	{Methods: []string{http.MethodGet, http.MethodHead, http.MethodOptions}, Class: admission.ClassLookup, Repeatable: true},
	{Class: admission.ClassBooking},
}

// New returns a handler that forwards to the services of options.
func New(options Options) *Handler {
	h := &Handler{
		options: options, limits: options.Limits.WithDefaults(), log: options.Logger, metrics: options.Metrics,
		services: make(map[string]*service), drained: make(chan struct{}),
	}
	if h.log == nil {
		h.log = zap.NewNop()
	}
	if h.metrics == nil {
		h.metrics = noMetrics{}
	}
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	for _, s := range options.Services {
		state := &service{Service: s, upstreams: make(map[topology.ServerName]*upstream), retryBudget: retry.NewBudget()}
		for _, server := range s.Servers {
			state.upstreams[server.Name] = newUpstream(server, h.limits, dial)
		}
		h.services[string(s.Name)] = state
	}
	h.router = newRouter(h.serve)
	return h
}

// NewServer returns the HTTP server that callers connect to. The server accepts
// twice the limit of header bytes, so that the handler rejects large headers
// with an error in the common format.
func (h *Handler) NewServer() *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: 2 * h.limits.MaxHeaderBytes, ErrorLog: zap.NewStdLog(h.log.Named("proxy")),
		ConnContext: network.ContextWithConn,
	}
}

// newRouter returns a router that accepts every method except CONNECT and TRACE
// and never rewrites a path: an upstream must see the path from which the key
// was taken.
func newRouter(serve httprouter.Handle) *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		router.Handle(method, "/:service", serve)
		router.Handle(method, "/:service/*rest", serve)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Methods that are not registered are routed like GET, except CONNECT
		// and TRACE, which an intermediary must not forward unchanged.
		if r.Method != http.MethodConnect && r.Method != http.MethodTrace && !slices.Contains(methods, r.Method) {
			if handle, params, _ := router.Lookup(http.MethodGet, r.URL.Path); handle != nil {
				handle(w, r, params)
				return
			}
		}
		if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
			apierror.Write(w, newRequestID(), apierror.New(apierror.KindMethodNotAllowed, "%s is not forwarded", r.Method))
			return
		}
		apierror.Write(w, newRequestID(), apierror.New(apierror.KindNotFound, "the path names no service"))
	})
	return router
}

// ServeHTTP forwards one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Shutdown rejects new requests and returns when the requests in flight have
// ended or ctx is done.
func (h *Handler) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.inFlight == 0 {
			close(h.drained)
		}
	}
	inFlight := h.inFlight
	h.mu.Unlock()
	h.log.Info("proxy: draining", zap.Int("in_flight", inFlight))
	var err error
	select {
	case <-h.drained:
	case <-ctx.Done():
		err = fmt.Errorf("drain requests in flight: %w", ctx.Err())
	}
	for _, s := range h.services {
		for _, u := range s.upstreams {
			u.transport.CloseIdleConnections()
		}
	}
	return err
}

func (h *Handler) beginRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.inFlight++
	return true
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.draining && h.inFlight == 0 {
		close(h.drained)
	}
}

// newRequestID returns an ID that no other party can guess: a response is
// accepted only if it carries the ID of its request.
func newRequestID() string {
	var raw [16]byte
	// The global generator is ChaCha8 seeded by the operating system.
	binary.LittleEndian.PutUint64(raw[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(raw[8:], rand.Uint64())
	return hex.EncodeToString(raw[:])
}

// serve validates a request, forwards it and sends the response.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	q := &request{handler: h, w: w, r: r, id: newRequestID(), start: time.Now()}
	if !h.beginRequest() {
		w.Header().Set("Connection", "close")
		apierror.Write(w, q.id, apierror.New(apierror.KindShuttingDown, "this host finishes its requests and stops"))
		return
	}
	defer h.endRequest()
	err := q.parse(params.ByName("service"))
	if err == nil {
		err = q.run()
	}
	q.finish(err)
}

// parse sets the service, the key's position, the route, the caller and the
// deadline of the request.
func (q *request) parse(name string) error {
	s, ok := q.handler.services[name]
	if !ok {
		return apierror.New(apierror.KindNotFound, "no such service")
	}
	q.service = s
	if err := checkHeaders(q.r.Header, q.handler.limits); err != nil {
		return err
	}
	key, rest, err := splitPath(q.r.URL, s)
	if err != nil {
		return err
	}
	if s.HasKeyOwners {
		if s.KeyHeader != "" {
			values := q.r.Header.Values(s.KeyHeader)
			if len(values) != 1 || values[0] == "" {
				return apierror.New(apierror.KindBadRequest, "header %s must give one key", s.KeyHeader)
			}
			key = values[0]
		}
		q.position = topology.HashKey(key)
		if observer := q.handler.options.KeyObserver; observer != nil {
			observer.ObserveKey(s.Name, key, q.position)
		}
	}
	q.route = matchRoute(s.Routes, q.r.Method, rest)
	q.caller = callerOf(q.r, s.CallerHeader)
	timeout := q.route.Timeout
	if timeout == 0 {
		timeout = q.handler.limits.DefaultTimeout
	}
	if timeout, err = requestTimeout(q.r.Header, timeout, q.handler.limits.MaxTimeout); err != nil {
		return err
	}
	q.deadline = q.start.Add(timeout)
	return nil
}

// splitPath returns the key and the path after it. It splits the escaped path so
// that an escaped slash stays part of the key.
func splitPath(u *url.URL, s *service) (key, rest string, err error) {
	path := u.EscapedPath()
	for segment := range strings.SplitSeq(path, "/") {
		// An upstream that resolves dot segments would derive a different key.
		if plain, err := url.PathUnescape(segment); err != nil || plain == "." || plain == ".." {
			return "", "", apierror.New(apierror.KindBadRequest, "the path has dot segments or invalid escapes")
		}
	}
	first, rest, _ := strings.Cut(path[1:], "/")
	if first != string(s.Name) {
		return "", "", apierror.New(apierror.KindNotFound, "the service's name must not be escaped")
	}
	if !s.HasKeyOwners || s.KeyHeader != "" {
		return "", "/" + rest, nil
	}
	escaped, rest, _ := strings.Cut(rest, "/")
	key, _ = url.PathUnescape(escaped)
	if key == "" {
		return "", "", apierror.New(apierror.KindBadRequest, "the path has no key after the service")
	}
	return key, "/" + rest, nil
}

func matchRoute(routes []Route, method, path string) Route {
	for _, list := range [][]Route{routes, defaultRoutes} {
		for _, route := range list {
			if (len(route.Methods) == 0 || slices.Contains(route.Methods, method)) && strings.HasPrefix(path, route.PathPrefix) {
				return route
			}
		}
	}
	return Route{Class: admission.ClassBooking}
}

// callerOf returns the caller named by the header, or else the remote address of
// the connection.
func callerOf(r *http.Request, header string) topology.Caller {
	if header != "" {
		if name := r.Header.Get(header); name != "" {
			return topology.Caller(name)
		}
	}
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return topology.Caller(r.RemoteAddr)
	}
	return topology.Caller(address)
}

// finish reports the request to the metrics and, if it failed, logs it and sends
// the error.
func (q *request) finish(err error) {
	class := q.route.Class
	name := topology.ServiceName("")
	if q.service != nil {
		name = q.service.Name
	}
	latency := time.Since(q.start)
	if err == nil {
		q.handler.metrics.CountRequest(name, class, q.status, "", latency)
		return
	}
	e := apierror.From(err)
	if q.possiblyExecuted {
		// An earlier attempt may have been executed, whatever the last one did.
		e = &apierror.Error{Kind: e.Kind, Detail: e.Detail, Executed: apierror.ExecutedUnknown, RetryAfter: e.RetryAfter, Err: e.Err}
	}
	response := e.Response()
	if entry := q.handler.log.Check(response.LogLevel, "proxy: request failed"); entry != nil {
		entry.Write(zap.String("request", q.id), zap.String("service", string(name)), zap.String("kind", string(e.Kind)),
			zap.String("executed", string(response.Executed)), zap.String("detail", e.Detail), zap.NamedError("cause", e.Err),
			zap.Int("attempts", q.attempts), zap.Duration("latency", latency))
	}
	q.handler.metrics.CountRequest(name, class, response.Status, e.Kind, latency)
	if q.responseStarted || errors.Is(err, http.ErrAbortHandler) {
		// Part of a response was already passed on: aborting the connection is
		// the only way to tell the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	q.status = response.Status
	if !q.body.fullyRead() {
		q.w.Header().Set("Connection", "close")
	}
	apierror.Write(q.w, q.id, e)
}
