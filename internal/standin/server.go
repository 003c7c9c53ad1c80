package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Distribution is the probability distribution of service times.
type Distribution string

// Distributions of service times.
const (
	DistributionFixed       Distribution = "fixed"
	DistributionExponential Distribution = "exponential"
)

// ServerOptions configure one stand-in server.
type ServerOptions struct {
	Name    topology.ServerName
	Service topology.ServiceName
	// DividedByKey makes the server serve only keys that it holds.
	DividedByKey bool
	// KeyHeader names the header that carries the key; if empty, the key is
	// the first path segment after the service.
	KeyHeader string
	// Unchecked disables the check of ownership and fencing tokens.
	Unchecked bool
	// Slots is the number of requests that run at once; at least one.
	Slots int
	// MaxQueued is the number of requests that wait for a slot before further ones
	// are shed.
	MaxQueued int
	// MaxConnections limits the open connections; zero means no limit.
	MaxConnections int
	// ServiceTime is the mean service time of a request.
	ServiceTime  time.Duration
	Distribution Distribution
	Seed         uint64
	// ArchiveBytes is the size of the files at paths with a segment that
	// begins with "archive".
	ArchiveBytes int64
	// LoadLag is the age of the state that /health and /load report.
	LoadLag time.Duration
	// PoisonHeader and PoisonPath crash the server when it runs a request
	// that has the header or contains the text in its path.
	PoisonHeader string
	PoisonPath   string
	// RestartAfter is the delay between such a crash and the restart; zero
	// means no restart.
	RestartAfter time.Duration
	// ClockOffset and ClockDrift change the server's monotonic clock: its
	// reading is the offset plus (1 + drift) times the time since the start.
	ClockOffset time.Duration
	ClockDrift  float64
	// OnOwnership, if not nil, is called with the held ranges after each
	// heartbeat and at each crash. It must not call the server.
	OnOwnership func(Ownership)
	// Listen replaces net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Execution is one request that the server began to run.
type Execution struct {
	Server         topology.ServerName  `json:"server"`
	Incarnation    string               `json:"incarnation"`
	Service        topology.ServiceName `json:"service"`
	RequestID      string               `json:"requestId"`
	IdempotencyKey string               `json:"idempotencyKey,omitempty"`
	Method         string               `json:"method"`
	Path           string               `json:"path"`
	Key            string               `json:"key,omitempty"`
	Token          topology.Version     `json:"token"`
	// Held reports whether the server held the key when the request began, also
	// for servers that do not check it.
	Held  bool      `json:"held"`
	Start time.Time `json:"start"`
	// End is zero while the request runs.
	End time.Time `json:"end,omitzero"`
	// Completed is false while the request runs, and after a crash, a
	// cancellation or the deadline ended it.
	Completed bool `json:"completed"`
}

// Ownership describes the ranges that a server holds.
type Ownership struct {
	Server      topology.ServerName  `json:"server"`
	Service     topology.ServiceName `json:"service"`
	Incarnation string               `json:"incarnation"`
	Ranges      []topology.Range     `json:"ranges"`
	Token       topology.Version     `json:"token"`
	Expiry      time.Duration        `json:"end"`
	Clock       time.Duration        `json:"clock"`
	// Valid is true while the server runs and its set has not expired.
	Valid bool `json:"valid"`
}

// instance is one incarnation of the server: the state that a crash loses.
type instance struct {
	name    string
	started time.Time
	grants  *GrantState
	crashed chan struct{}
	http    *http.Server
	// listener is closed separately because http learns of it only once Serve
	// runs.
	listener      net.Listener
	running       int
	queue         []chan struct{}
	drainingSince time.Time
	samples       []loadSample
	// unfinished holds the executions that have not ended yet.
	unfinished map[*Execution]bool
}

// endExecution records the end of an execution; later calls have no effect.
func (in *instance) endExecution(execution *Execution, completed bool) {
	if in.unfinished[execution] {
		execution.End, execution.Completed = time.Now(), completed
		delete(in.unfinished, execution)
	}
}

// Server is a stand-in upstream server. Its methods are safe for concurrent use.
type Server struct {
	options ServerOptions

	mu sync.Mutex
	// current is nil after a crash.
	current *instance
	// resumed is closed by Resume; it is nil while the server is not frozen.
	resumed           chan struct{}
	serviceTimeFactor float64
	reportsIdle       bool
	address           string
	executions        []*Execution
	random            *rand.Rand
	restarts          int
	closed            bool
	group             conc.WaitGroup
}

// NewServer returns a server that runs but does not listen yet.
func NewServer(options ServerOptions) *Server {
	options.Slots = max(options.Slots, 1)
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	s := &Server{options: options, serviceTimeFactor: 1, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
	s.current = s.newInstance()
	return s
}

func (s *Server) newInstance() *instance {
	now := time.Now()
	s.restarts++
	// The start time makes the name unique across processes of the same server.
	name := fmt.Sprintf("%s-%s-%d", s.options.Name, strconv.FormatInt(now.UnixNano(), 36), s.restarts)
	return &instance{name: name, started: now, grants: NewGrantState(name), crashed: make(chan struct{}),
		unfinished: make(map[*Execution]bool)}
}

// Name returns the server's name.
func (s *Server) Name() topology.ServerName { return s.options.Name }

// Listen starts serving at address and returns the address with the actual port.
func (s *Server) Listen(address string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return "", errors.New("the server has crashed")
	}
	if err := s.listen(address); err != nil {
		return "", err
	}
	return s.address, nil
}

func (s *Server) listen(address string) error {
	listener, err := s.options.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	// The timeout closes connections that never send a request.
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.current.http, s.current.listener = server, listener
	s.group.Go(func() {
		// Serve always returns an error, after Crash or Close.
		_ = server.Serve(&limitListener{Listener: listener, limit: s.options.MaxConnections})
	})
	return nil
}

// Close stops the server permanently and waits until it accepts no connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.crash()
	s.mu.Unlock()
	s.group.Wait()
}

// Ownership returns the ranges that the server holds now, also while it is frozen.
func (s *Server) Ownership() Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownership()
}

func (s *Server) reportOwnership() {
	if s.options.OnOwnership != nil {
		s.options.OnOwnership(s.ownership())
	}
}

func (s *Server) ownership() Ownership {
	out := Ownership{Server: s.options.Name, Service: s.options.Service}
	if in := s.current; in != nil {
		held, end := in.grants.Held()
		out.Incarnation, out.Clock = in.name, s.clock(in)
		out.Ranges, out.Token, out.Expiry = held.Ranges, held.Version, end
		out.Valid = out.Clock < end
	}
	return out
}

// Executions returns all requests that started to run, in order of their start,
// across all incarnations.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, 0, len(s.executions))
	for _, e := range s.executions {
		out = append(out, *e)
	}
	return out
}

// Heartbeat applies a heartbeat without HTTP. It waits while the server is
// frozen and reports false if the server crashed.
func (s *Server) Heartbeat(heartbeat granter.Heartbeat) (granter.Reply, bool) {
	s.mu.Lock()
	in := s.current
	s.mu.Unlock()
	if !s.lockUnfrozen(in) {
		return granter.Reply{}, false
	}
	defer s.mu.Unlock()
	reply := in.grants.Apply(heartbeat, s.clock(in))
	s.reportOwnership()
	return reply, true
}

// clock returns the reading of the incarnation's monotonic clock.
func (s *Server) clock(in *instance) time.Duration {
	since := time.Since(in.started)
	return s.options.ClockOffset + since + time.Duration(float64(since)*s.options.ClockDrift)
}

// lockUnfrozen waits while the server is frozen, locks mu and returns true. It
// returns false without the lock if the incarnation has crashed.
func (s *Server) lockUnfrozen(in *instance) bool {
	for {
		s.mu.Lock()
		if in == nil || s.current != in {
			s.mu.Unlock()
			return false
		}
		gate := s.resumed
		if gate == nil {
			return true
		}
		s.mu.Unlock()
		select {
		case <-gate:
		case <-in.crashed:
		}
	}
}

// mustLockUnfrozen is lockUnfrozen for handlers: it aborts the connection after a crash.
func (s *Server) mustLockUnfrozen(in *instance) {
	if !s.lockUnfrozen(in) {
		panic(http.ErrAbortHandler)
	}
}

// serviceTime draws the service time of the next request.
func (s *Server) serviceTime() time.Duration {
	mean := float64(s.options.ServiceTime) * s.serviceTimeFactor
	if s.options.Distribution == DistributionExponential {
		mean *= s.random.ExpFloat64()
	}
	return time.Duration(mean)
}

// loadSample is the load at one point in time.
type loadSample struct {
	at time.Time
	Load
}

// Load is the response body of /load.
type Load struct {
	Running  int  `json:"running"`
	Queued   int  `json:"queued"`
	Slots    int  `json:"slots"`
	Draining bool `json:"leaving"`
}

func (s *Server) recordLoad(in *instance) {
	load := Load{Running: in.running, Queued: len(in.queue), Slots: s.options.Slots, Draining: !in.drainingSince.IsZero()}
	in.samples = append(s.recentSamples(in), loadSample{time.Now(), load})
}

// recentSamples returns the newest sample that is at least LoadLag old and all
// later ones.
func (s *Server) recentSamples(in *instance) []loadSample {
	before := time.Now().Add(-s.options.LoadLag)
	i := slices.IndexFunc(in.samples, func(x loadSample) bool { return x.at.After(before) })
	if i < 0 {
		i = len(in.samples)
	}
	return in.samples[max(i-1, 0):]
}

func (s *Server) reportedLoad(in *instance) Load {
	idle := Load{Slots: s.options.Slots}
	samples := s.recentSamples(in)
	if s.reportsIdle || len(samples) == 0 || samples[0].at.After(time.Now().Add(-s.options.LoadLag)) {
		return idle
	}
	return samples[0].Load
}
