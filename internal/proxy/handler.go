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
	"github.com/cassiasill/cassiasill/internal/retry"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// headerTime bounds the arrival of a request's header, so that slow
	// senders don't hold connections.
	headerTime = 10 * time.Second
	// callerIdleTime closes unused connections of callers; it is above that of
	// common balancers, which then close first.
	callerIdleTime = 2 * time.Minute
)

// Handler serves callers' requests. It implements http.Handler.
type Handler struct {
	options  Options
	limits   Limits
	log      *zap.Logger
	metrics  Metrics
	router   *httprouter.Router
	services map[string]*service
	buffered atomic.Int64 // bytes of buffered request bodies

	waitingBytes atomic.Int64

	mu       sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
}

// service is a Service with its state on this host.
type service struct {
	Service
	upstreams map[topology.ServerName]*upstream
	budget    *retry.Budget
	waiting   atomic.Int64
}

var defaultRoutes = []Route{
	{Methods: []string{http.MethodGet, http.MethodHead, http.MethodOptions}, Class: admission.ClassLookup, Repeatable: true},
	{Class: admission.ClassBooking},
}

// New returns a handler that forwards to the services of options.
func New(options Options) *Handler {
	h := &Handler{
		options: options, limits: options.Limits.Defaults(), log: options.Logger, metrics: options.Metrics,
		services: make(map[string]*service), idle: make(chan struct{}),
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
		state := &service{Service: s, upstreams: make(map[topology.ServerName]*upstream), budget: retry.NewBudget()}
		for _, server := range s.Servers {
			state.upstreams[server.Name] = newUpstream(server, h.limits, dial)
		}
		h.services[string(s.Name)] = state
	}
	h.router = newRouter(h.serve)
	return h
}

// NewServer returns the server that callers connect to. It leaves refusals of
// large headers to the handler, which answers them like any other error.
func (h *Handler) NewServer() *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: callerIdleTime,
		MaxHeaderBytes: 2 * h.limits.HeaderBytes, ErrorLog: zap.NewStdLog(h.log.Named("proxy")),
	}
}

// newRouter returns a router that passes every method and never rewrites a
// path: an upstream must see the path that the key was taken from.
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
		// Methods that are not registered are served like GET, except those
		// that no intermediary may forward as they are.
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

// Shutdown refuses new requests and returns when those in flight have ended or
// ctx has.
func (h *Handler) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.inFlight == 0 {
			close(h.idle)
		}
	}
	inFlight := h.inFlight
	h.mu.Unlock()
	h.log.Info("proxy: draining", zap.Int("in_flight", inFlight))
	var err error
	select {
	case <-h.idle:
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

func (h *Handler) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.inFlight++
	return true
}

func (h *Handler) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.draining && h.inFlight == 0 {
		close(h.idle)
	}
}

// newRequestID returns an id that no other party can guess: an answer is
// accepted only with the id of its request.
func newRequestID() string {
	var raw [16]byte
	// The global generator is ChaCha8 with a seed from the system.
	binary.LittleEndian.PutUint64(raw[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(raw[8:], rand.Uint64())
	return hex.EncodeToString(raw[:])
}

// serve checks a request, forwards it and answers.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	q := &request{handler: h, w: w, r: r, id: newRequestID(), start: time.Now()}
	if !h.enter() {
		w.Header().Set("Connection", "close")
		apierror.Write(w, q.id, apierror.New(apierror.KindShuttingDown, "this host finishes its requests and stops"))
		return
	}
	defer h.leave()
	err := q.parse(params.ByName("service"))
	if err == nil {
		err = q.run()
	}
	q.finish(err)
}

// parse finds the service, the key, the route, the caller and the deadline.
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
	if s.Keyed {
		if s.KeyHeader != "" {
			values := q.r.Header.Values(s.KeyHeader)
			if len(values) != 1 || values[0] == "" {
				return apierror.New(apierror.KindBadRequest, "header %s must give one key", s.KeyHeader)
			}
			key = values[0]
		}
		q.position = topology.HashKey(key)
		if observer := q.handler.options.Keys; observer != nil {
			observer.Key(s.Name, key, q.position)
		}
	}
	q.route = matchRoute(s.Routes, q.r.Method, rest)
	q.caller = callerOf(q.r, s.CallerHeader)
	timeout := q.route.Timeout
	if timeout == 0 {
		timeout = q.handler.limits.DefaultTimeout
	}
	if timeout, err = timeoutOf(q.r.Header, timeout, q.handler.limits.MaxTimeout); err != nil {
		return err
	}
	q.deadline = q.start.Add(timeout)
	return nil
}

// splitPath returns the key and the path after it. It works on the escaped
// path, so that an escaped slash stays inside the key.
func splitPath(u *url.URL, s *service) (key, rest string, err error) {
	path := u.EscapedPath()
	for segment := range strings.SplitSeq(path, "/") {
		// An upstream that resolves dot segments would see another key.
		if plain, err := url.PathUnescape(segment); err != nil || plain == "." || plain == ".." {
			return "", "", apierror.New(apierror.KindBadRequest, "the path has dot segments or invalid escapes")
		}
	}
	first, rest, _ := strings.Cut(path[1:], "/")
	if first != string(s.Name) {
		return "", "", apierror.New(apierror.KindNotFound, "the service's name must not be escaped")
	}
	if !s.Keyed || s.KeyHeader != "" {
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
			if (len(route.Methods) == 0 || slices.Contains(route.Methods, method)) && strings.HasPrefix(path, route.Path) {
				return route
			}
		}
	}
	return Route{Class: admission.ClassBooking}
}

// callerOf returns the caller named by the header or else by the connection.
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

// finish answers a request that failed and logs it.
func (q *request) finish(err error) {
	class := q.route.Class
	name := topology.ServiceName("")
	if q.service != nil {
		name = q.service.Name
	}
	latency := time.Since(q.start)
	if err == nil {
		q.handler.metrics.Request(name, class, q.status, "", latency)
		return
	}
	e := apierror.From(err)
	if q.sent {
		// An earlier attempt may have been executed, whatever the last one was.
		e = &apierror.Error{Kind: e.Kind, Detail: e.Detail, Executed: apierror.ExecutedUnknown, RetryAfter: e.RetryAfter, Err: e.Err}
	}
	answer := e.Response()
	if entry := q.handler.log.Check(answer.LogLevel, "proxy: request failed"); entry != nil {
		entry.Write(zap.String("request", q.id), zap.String("service", string(name)), zap.String("kind", string(e.Kind)),
			zap.String("executed", string(answer.Executed)), zap.String("detail", e.Detail), zap.NamedError("cause", e.Err),
			zap.Int("attempts", q.attempts), zap.Duration("latency", latency))
	}
	q.handler.metrics.Request(name, class, answer.Status, e.Kind, latency)
	if q.started || errors.Is(err, http.ErrAbortHandler) {
		// Part of an answer has been passed on: breaking the connection is the
		// only way to show the caller that it is not whole.
		panic(http.ErrAbortHandler)
	}
	q.status = answer.Status
	if !q.body.finished() {
		q.w.Header().Set("Connection", "close")
	}
	apierror.Write(q.w, q.id, e)
}
