package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// The headers that servers read besides those of package apierror.
const (
	HeaderFencingToken   = "Cassiasill-Fencing-Token"
	HeaderDeadline       = "Cassiasill-Deadline-Millis"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxHeartbeatBytes bounds a heartbeat: 100,000 ranges of at most 60 bytes each.
const maxHeartbeatBytes = 6 << 20

// Echo is the body of an ordinary answer.
type Echo struct {
	Server      topology.ServerName  `json:"server"`
	Incarnation string               `json:"incarnation"`
	Service     topology.ServiceName `json:"service"`
	RequestID   string               `json:"requestId"`
	Method      string               `json:"method"`
	Path        string               `json:"path"`
	Key         string               `json:"key,omitempty"`
	BodyBytes   int64                `json:"bodyBytes"`
	// BodyHash is the xxhash64 of the request's body in hexadecimal.
	BodyHash string `json:"bodyHash"`
}

// ServeHTTP serves heartbeats, health, load and requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	in := s.current
	s.mu.Unlock()
	s.mustEnter(in)
	load := s.load(in)
	if !in.leaving.IsZero() {
		w.Header().Set("Connection", "close")
	}
	s.mu.Unlock()
	switch r.URL.Path {
	case granter.HeartbeatPath:
		s.serveHeartbeat(w, r)
	case "/load":
		writeJSON(w, http.StatusOK, load)
	case "/health":
		if load.Leaving {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "leaving"})
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	default:
		s.serveRequest(w, r, in)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may be gone; nothing is left to be told.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat granter.Heartbeat
	if r.Method != http.MethodPost {
		writeProblem(w, "", apierror.New(apierror.KindMethodNotAllowed, "heartbeats are posted"))
		return
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes)).Decode(&heartbeat); err != nil {
		writeProblem(w, "", apierror.Wrap(apierror.KindBadRequest, err, "heartbeat"))
		return
	}
	reply, alive := s.Heartbeat(heartbeat)
	if !alive {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, reply)
}

// writeProblem answers with err. A server answers not-owner with status 421,
// which tells the host to look for the owner; towards callers it is 503.
func writeProblem(w http.ResponseWriter, requestID string, err error) {
	if e := apierror.From(err); e.Kind == apierror.KindNotOwner {
		w = &misdirected{w}
	}
	apierror.Write(w, requestID, err)
}

type misdirected struct{ http.ResponseWriter }

func (m *misdirected) WriteHeader(int) {
	m.ResponseWriter.WriteHeader(http.StatusMisdirectedRequest)
}

// call is what a request says about itself.
type call struct {
	execution Execution
	hash      topology.Hash
	hasToken  bool
	poisonous bool
}

func (s *Server) parse(r *http.Request, in *instance) (call, error) {
	o := &s.options
	c := call{execution: Execution{
		Server: o.Name, Service: o.Service, Incarnation: in.name, Method: r.Method, Path: r.URL.Path,
		RequestID:      r.Header.Get(apierror.HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}}
	if o.KeyHeader != "" {
		c.execution.Key = r.Header.Get(o.KeyHeader)
	} else if segments := strings.SplitN(r.URL.Path, "/", 4); len(segments) > 2 {
		c.execution.Key = segments[2]
	}
	if o.DividedByKey && c.execution.Key == "" {
		return c, apierror.New(apierror.KindBadRequest, "the request names no key")
	}
	c.hash = topology.HashKey(c.execution.Key)
	c.poisonous = (o.PoisonHeader != "" && r.Header.Get(o.PoisonHeader) != "") ||
		(o.PoisonPath != "" && strings.Contains(r.URL.Path, o.PoisonPath))
	if text := r.Header.Get(HeaderFencingToken); text != "" {
		token, err := ParseToken(text)
		if err != nil {
			return c, err
		}
		c.execution.Token, c.hasToken = token, true
	}
	return c, nil
}

// ParseToken reads a fencing token "term.sequence".
func ParseToken(text string) (topology.Version, error) {
	term, sequence, _ := strings.Cut(text, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errSequence := strconv.ParseUint(sequence, 10, 64)
	if err := errors.Join(errTerm, errSequence); err != nil {
		return topology.Version{}, apierror.Wrap(apierror.KindBadRequest, err, "fencing token %q", text)
	}
	return topology.Version{Term: topology.Term(t), Sequence: n}, nil
}

// withDeadline applies the remaining time that the request carries, counted
// from when the server reads it.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, apierror.Wrap(apierror.KindBadRequest, err, "header %s", HeaderDeadline)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	return ctx, cancel, nil
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, in *instance) {
	id := r.Header.Get(apierror.HeaderRequestID)
	if id != "" {
		w.Header().Set(apierror.HeaderRequestID, id)
	}
	c, err := s.parse(r, in)
	if err != nil {
		writeProblem(w, id, err)
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		writeProblem(w, id, err)
		return
	}
	defer cancel()
	body := xxhash.New()
	size, err := io.Copy(body, r.Body)
	if err != nil {
		// The request never arrived whole.
		panic(http.ErrAbortHandler)
	}
	if err := s.acquire(ctx, in); err != nil {
		writeProblem(w, id, err)
		return
	}
	defer s.release(in)
	execution, duration, err := s.begin(in, &c)
	if err != nil {
		writeProblem(w, id, err)
		return
	}
	defer s.finish(in, &c, execution)
	if c.poisonous {
		s.crashOfPoison()
		panic(http.ErrAbortHandler)
	}
	if err := s.run(ctx, in, execution, duration); err != nil {
		writeProblem(w, id, err)
		return
	}
	if s.isArchive(r) {
		s.serveArchive(w, r, in)
		return
	}
	e := c.execution
	writeJSON(w, http.StatusOK, Echo{Server: e.Server, Incarnation: e.Incarnation, Service: e.Service, RequestID: id,
		Method: e.Method, Path: e.Path, Key: e.Key, BodyBytes: size, BodyHash: fmt.Sprintf("%016x", body.Sum64())})
}

func (s *Server) crashOfPoison() {
	s.Crash()
	if s.options.RestartAfter > 0 {
		time.AfterFunc(s.options.RestartAfter, func() {
			// Without its address the server stays down, which callers see.
			_ = s.Restart()
		})
	}
}

// acquire takes a slot, waiting in the queue. It fails before anything has run.
func (s *Server) acquire(ctx context.Context, in *instance) error {
	s.mustEnter(in)
	if in.running < s.options.Slots {
		in.running++
		s.sample(in)
		s.mu.Unlock()
		return nil
	}
	if len(in.queue) >= s.options.Queue {
		s.mu.Unlock()
		return apierror.New(apierror.KindOverloaded, "%d requests run and %d wait", s.options.Slots, s.options.Queue)
	}
	ticket := make(chan struct{})
	in.queue = append(in.queue, ticket)
	s.sample(in)
	s.mu.Unlock()
	select {
	case <-ticket:
		return nil
	case <-in.dead:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
	}
	s.mustEnter(in)
	waiting := slices.Index(in.queue, ticket)
	if waiting >= 0 {
		in.queue = slices.Delete(in.queue, waiting, waiting+1)
		s.sample(in)
	}
	s.mu.Unlock()
	if waiting < 0 {
		s.release(in)
	}
	return apierror.New(apierror.KindDeadlineUnreachable, "the request waited for a slot until it was too late")
}

// release hands the slot to the first in the queue.
func (s *Server) release(in *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(in.queue) > 0 {
		close(in.queue[0])
		in.queue = in.queue[1:]
	} else {
		in.running--
	}
	s.sample(in)
}

// begin checks ownership and records the execution in one step.
func (s *Server) begin(in *instance, c *call) (*Execution, time.Duration, error) {
	s.mustEnter(in)
	defer s.mu.Unlock()
	clock := s.clock(in)
	if s.options.DividedByKey && !s.options.Unchecked {
		if !c.hasToken {
			return nil, 0, apierror.New(apierror.KindNotOwner, "the request carries no fencing token")
		}
		if err := in.grants.Check(c.hash, c.execution.Token, clock); err != nil {
			return nil, 0, err
		}
	}
	in.grants.Begin(c.hash)
	c.execution.Held = in.grants.Holds(c.hash, clock)
	c.execution.Start = time.Now()
	execution := new(Execution)
	*execution = c.execution
	s.executions = append(s.executions, execution)
	in.executing[execution] = true
	return execution, s.serviceTime(), nil
}

func (s *Server) finish(in *instance, c *call, execution *Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.grants.Finish(c.hash)
	in.end(execution, false)
}

// run spends the service time. A frozen server notices the end, a cancellation
// or the deadline only when it is resumed.
func (s *Server) run(ctx context.Context, in *instance, execution *Execution, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-in.dead:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mustEnter(in)
	defer s.mu.Unlock()
	in.end(execution, err == nil)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return apierror.New(apierror.KindTimeout, "the deadline passed while the request ran")
	case err != nil:
		return apierror.New(apierror.KindCanceled, "the request was canceled while it ran")
	}
	return nil
}
