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

// Distribution names how service times spread around their mean.
type Distribution string

// The distributions of service times.
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
	// Unchecked switches the check of ownership and fencing tokens off.
	Unchecked bool
	// Slots is how many requests run at once; at least one.
	Slots int
	// Queue is how many requests wait for a slot before others are shed.
	Queue int
	// Connections is how many connections are open at once; zero: no limit.
	Connections int
	// ServiceTime is the mean time that a request runs.
	ServiceTime  time.Duration
	Distribution Distribution
	Seed         uint64
	// ArchiveBytes is the size of the files at paths with a segment that
	// begins with "archive".
	ArchiveBytes int64
	// LoadLag is how old the state is that /health and /load report.
	LoadLag time.Duration
	// PoisonHeader and PoisonPath crash the server when a request that it
	// runs has the header, or the text in its path.
	PoisonHeader string
	PoisonPath   string
	// RestartAfter restarts the server that long after such a crash; zero: never.
	RestartAfter time.Duration
	// ClockOffset and ClockDrift change the server's monotonic clock: its
	// reading is the offset plus (1 + drift) times the time since the start.
	ClockOffset time.Duration
	ClockDrift  float64
	// OnOwnership, if not nil, is told what the server holds after each
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
	// Held tells whether the server held the key when the request began, also
	// for servers that do not check it.
	Held  bool      `json:"held"`
	Start time.Time `json:"start"`
	// End is zero while the request runs.
	End time.Time `json:"end,omitzero"`
	// Completed is false if a crash, cancellation or the deadline ended it.
	Completed bool `json:"completed"`
}

// Ownership is what a server holds.
type Ownership struct {
	Server      topology.ServerName  `json:"server"`
	Service     topology.ServiceName `json:"service"`
	Incarnation string               `json:"incarnation"`
	Ranges      []topology.Range     `json:"ranges"`
	Token       topology.Version     `json:"token"`
	End         time.Duration        `json:"end"`
	Clock       time.Duration        `json:"clock"`
	// Valid is true while the server runs and its set has not ended.
	Valid bool `json:"valid"`
}

// instance is the state that a crash loses.
type instance struct {
	name    string
	started time.Time
	grants  *GrantState
	dead    chan struct{}
	http    *http.Server
	// listener is closed apart from http, which may not know it yet.
	listener net.Listener
	running  int
	queue    []chan struct{}
	leaving  time.Time
	samples  []sample
	// executing holds the executions that have not ended.
	executing map[*Execution]bool
}

// end notes that an execution no longer runs.
func (in *instance) end(execution *Execution, completed bool) {
	if in.executing[execution] {
		execution.End, execution.Completed = time.Now(), completed
		delete(in.executing, execution)
	}
}

// Server is a stand-in upstream server. Its methods are safe for concurrent use.
type Server struct {
	options ServerOptions

	mu sync.Mutex
	// current is nil after a crash.
	current *instance
	// gate is closed by Resume; it is nil while the server is not frozen.
	gate       chan struct{}
	slow       float64
	mislead    bool
	address    string
	executions []*Execution
	random     *rand.Rand
	restarts   int
	closed     bool
	group      conc.WaitGroup
}

// NewServer returns a server that runs but does not listen yet.
func NewServer(options ServerOptions) *Server {
	options.Slots = max(options.Slots, 1)
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	s := &Server{options: options, slow: 1, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
	s.current = s.newInstance()
	return s
}

func (s *Server) newInstance() *instance {
	now := time.Now()
	s.restarts++
	// The start time keeps the names of several processes for one server apart.
	name := fmt.Sprintf("%s-%s-%d", s.options.Name, strconv.FormatInt(now.UnixNano(), 36), s.restarts)
	return &instance{name: name, started: now, grants: NewGrantState(name), dead: make(chan struct{}),
		executing: make(map[*Execution]bool)}
}

// Name returns the server's name.
func (s *Server) Name() topology.ServerName { return s.options.Name }

// Listen begins to serve at address and returns the address with its port.
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
	// The timeout bounds connections that never send a request.
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.current.http, s.current.listener = server, listener
	s.group.Go(func() {
		// Serve always fails in the end, by Crash or Close.
		_ = server.Serve(&limitListener{Listener: listener, limit: s.options.Connections})
	})
	return nil
}

// Close ends the server for good and waits until it no longer accepts.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.crash()
	s.mu.Unlock()
	s.group.Wait()
}

// Owned returns what the server holds now, also while it is frozen.
func (s *Server) Owned() Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned()
}

func (s *Server) report() {
	if s.options.OnOwnership != nil {
		s.options.OnOwnership(s.owned())
	}
}

func (s *Server) owned() Ownership {
	out := Ownership{Server: s.options.Name, Service: s.options.Service}
	if in := s.current; in != nil {
		held, end := in.grants.Held()
		out.Incarnation, out.Clock = in.name, s.clock(in)
		out.Ranges, out.Token, out.End = held.Ranges, held.Version, end
		out.Valid = out.Clock < end
	}
	return out
}

// Executions returns all requests that began to run, in that order, over all
// incarnations.
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
	if !s.enter(in) {
		return granter.Reply{}, false
	}
	defer s.mu.Unlock()
	reply := in.grants.Apply(heartbeat, s.clock(in))
	s.report()
	return reply, true
}

// clock returns the monotonic clock of the incarnation.
func (s *Server) clock(in *instance) time.Duration {
	since := time.Since(in.started)
	return s.options.ClockOffset + since + time.Duration(float64(since)*s.options.ClockDrift)
}

// enter waits while the server is frozen and returns with mu held, or false
// without it if the incarnation has crashed.
func (s *Server) enter(in *instance) bool {
	for {
		s.mu.Lock()
		if in == nil || s.current != in {
			s.mu.Unlock()
			return false
		}
		gate := s.gate
		if gate == nil {
			return true
		}
		s.mu.Unlock()
		select {
		case <-gate:
		case <-in.dead:
		}
	}
}

// mustEnter is enter for handlers: a crash breaks the connection.
func (s *Server) mustEnter(in *instance) {
	if !s.enter(in) {
		panic(http.ErrAbortHandler)
	}
}

// serviceTime draws how long the next request runs.
func (s *Server) serviceTime() time.Duration {
	mean := float64(s.options.ServiceTime) * s.slow
	if s.options.Distribution == DistributionExponential {
		mean *= s.random.ExpFloat64()
	}
	return time.Duration(mean)
}

// sample is the load at one moment.
type sample struct {
	at time.Time
	Load
}

// Load is the answer of /load.
type Load struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

func (s *Server) sample(in *instance) {
	load := Load{Running: in.running, Queued: len(in.queue), Slots: s.options.Slots, Leaving: !in.leaving.IsZero()}
	in.samples = append(s.visible(in), sample{time.Now(), load})
}

// visible returns the samples from the newest that is at least LoadLag old.
func (s *Server) visible(in *instance) []sample {
	before := time.Now().Add(-s.options.LoadLag)
	i := slices.IndexFunc(in.samples, func(x sample) bool { return x.at.After(before) })
	if i < 0 {
		i = len(in.samples)
	}
	return in.samples[max(i-1, 0):]
}

func (s *Server) load(in *instance) Load {
	idle := Load{Slots: s.options.Slots}
	samples := s.visible(in)
	if s.mislead || len(samples) == 0 || samples[0].at.After(time.Now().Add(-s.options.LoadLag)) {
		return idle
	}
	return samples[0].Load
}
