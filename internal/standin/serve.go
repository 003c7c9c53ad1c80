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

// Request headers that servers read in addition to those of package apierror.
const (
	HeaderFencingToken   = "Cassiasill-Fencing-Token"
	HeaderDeadline       = "Cassiasill-Deadline-Millis"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxHeartbeatBytes bounds a heartbeat: 100,000 ranges of at most 60 bytes each.
const maxHeartbeatBytes = 6 << 20

// Echo is the body of a successful response.
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
	s.mustLockUnfrozen(in)
	load := s.reportedLoad(in)
	if !in.drainingSince.IsZero() {
		w.Header().Set("Connection", "close")
	}
	s.mu.Unlock()
	switch r.URL.Path {
	case granter.HeartbeatPath:
		s.serveHeartbeat(w, r)
	case "/load":
		writeJSON(w, http.StatusOK, load)
	case "/health":
		if load.Draining {
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
	// A write error means that the client is gone; there is nobody to report it to.
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

// writeProblem writes err as the response. Servers use status 421 for not-owner,
// on which the host looks up the owner; callers receive 503 for this kind.
func writeProblem(w http.ResponseWriter, requestID string, err error) {
	if e := apierror.From(err); e.Kind == apierror.KindNotOwner {
		w = &misdirectedWriter{w}
	}
	apierror.Write(w, requestID, err)
}

type misdirectedWriter struct{ http.ResponseWriter }

func (m *misdirectedWriter) WriteHeader(int) {
	m.ResponseWriter.WriteHeader(http.StatusMisdirectedRequest)
}

// parsedRequest is a request with the values read from its path and headers.
type parsedRequest struct {
	execution     Execution
	hash          topology.Hash
	hasToken      bool
	crashesServer bool
}

func (s *Server) parseRequest(r *http.Request, in *instance) (parsedRequest, error) {
	o := &s.options
	c := parsedRequest{execution: Execution{
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
	c.crashesServer = (o.PoisonHeader != "" && r.Header.Get(o.PoisonHeader) != "") ||
		(o.PoisonPath != "" && strings.Contains(r.URL.Path, o.PoisonPath))
	if text := r.Header.Get(HeaderFencingToken); text != "" {
		token, err := ParseFencingToken(text)
		if err != nil {
			return c, err
		}
		c.execution.Token, c.hasToken = token, true
	}
	return c, nil
}

// ParseFencingToken parses a fencing token of the form "term.sequence".
func ParseFencingToken(text string) (topology.Version, error) {
	term, sequence, _ := strings.Cut(text, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errSequence := strconv.ParseUint(sequence, 10, 64)
	if err := errors.Join(errTerm, errSequence); err != nil {
		return topology.Version{}, apierror.Wrap(apierror.KindBadRequest, err, "fencing token %q", text)
	}
	return topology.Version{Term: topology.Term(t), Sequence: n}, nil
}

// withDeadline applies the timeout that the request carries. The timeout starts
// when the server reads the header.
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
	c, err := s.parseRequest(r, in)
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
		// The request body is incomplete.
		panic(http.ErrAbortHandler)
	}
	if err := s.acquireSlot(ctx, in); err != nil {
		writeProblem(w, id, err)
		return
	}
	defer s.releaseSlot(in)
	execution, duration, err := s.beginExecution(in, &c)
	if err != nil {
		writeProblem(w, id, err)
		return
	}
	defer s.finishExecution(in, &c, execution)
	if c.crashesServer {
		s.crashOnPoison()
		panic(http.ErrAbortHandler)
	}
	if err := s.runExecution(ctx, in, execution, duration); err != nil {
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

func (s *Server) crashOnPoison() {
	s.Crash()
	if s.options.RestartAfter > 0 {
		time.AfterFunc(s.options.RestartAfter, func() {
			// The server stays down if it cannot listen at its address again;
			// clients then see refused connections.
			_ = s.Restart()
		})
	}
}

// acquireSlot takes a slot and waits in the queue if none is free. If it fails,
// the request has not run.
func (s *Server) acquireSlot(ctx context.Context, in *instance) error {
	s.mustLockUnfrozen(in)
	if in.running < s.options.Slots {
		in.running++
		s.recordLoad(in)
		s.mu.Unlock()
		return nil
	}
	if len(in.queue) >= s.options.MaxQueued {
		s.mu.Unlock()
		return apierror.New(apierror.KindOverloaded, "%d requests run and %d wait", s.options.Slots, s.options.MaxQueued)
	}
	slotAssigned := make(chan struct{})
	in.queue = append(in.queue, slotAssigned)
	s.recordLoad(in)
	s.mu.Unlock()
	select {
	case <-slotAssigned:
		return nil
	case <-in.crashed:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
	}
	s.mustLockUnfrozen(in)
	queueIndex := slices.Index(in.queue, slotAssigned)
	if queueIndex >= 0 {
		in.queue = slices.Delete(in.queue, queueIndex, queueIndex+1)
		s.recordLoad(in)
	}
	s.mu.Unlock()
	if queueIndex < 0 {
		// The slot was assigned at the moment the context ended; pass it on.
		s.releaseSlot(in)
	}
	return apierror.New(apierror.KindDeadlineUnreachable, "the request waited for a slot until it was too late")
}

// releaseSlot passes the slot to the first request in the queue or frees it.
func (s *Server) releaseSlot(in *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(in.queue) > 0 {
		close(in.queue[0])
		in.queue = in.queue[1:]
	} else {
		in.running--
	}
	s.recordLoad(in)
}

// beginExecution checks ownership and records the execution under one lock, so
// that no heartbeat or crash comes between.
func (s *Server) beginExecution(in *instance, c *parsedRequest) (*Execution, time.Duration, error) {
	s.mustLockUnfrozen(in)
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
	in.grants.BeginRequest(c.hash)
	c.execution.Held = in.grants.Holds(c.hash, clock)
	c.execution.Start = time.Now()
	execution := new(Execution)
	*execution = c.execution
	s.executions = append(s.executions, execution)
	in.unfinished[execution] = true
	return execution, s.serviceTime(), nil
}

func (s *Server) finishExecution(in *instance, c *parsedRequest, execution *Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.grants.FinishRequest(c.hash)
	in.endExecution(execution, false)
}

// runExecution waits for the service time. A frozen server notices the end, a
// cancellation or the deadline only after Resume.
func (s *Server) runExecution(ctx context.Context, in *instance, execution *Execution, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-in.crashed:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mustLockUnfrozen(in)
	defer s.mu.Unlock()
	in.endExecution(execution, err == nil)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return apierror.New(apierror.KindTimeout, "the deadline passed while the request ran")
	case err != nil:
		return apierror.New(apierror.KindCanceled, "the request was canceled while it ran")
	}
	return nil
}
