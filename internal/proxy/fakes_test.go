package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// fakeResolver is a resolver with one owner for all keys.
type fakeResolver struct {
	mu      sync.Mutex
	owner   routing.Owner
	changed chan struct{}
}

func newFakeResolver(owner routing.Owner) *fakeResolver {
	return &fakeResolver{owner: owner, changed: make(chan struct{})}
}

func (r *fakeResolver) Owner(topology.ServiceName, topology.Hash) routing.Owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

func (r *fakeResolver) Changed(topology.ServiceName) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *fakeResolver) set(owner routing.Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = owner
	close(r.changed)
	r.changed = make(chan struct{})
}

// fakeAdmitter admits a request to the server that it names, or else to the
// first server that is not excluded.
type fakeAdmitter struct {
	servers []topology.ServerName
	before  func() // called before each decision
	rotate  bool   // prefer the next server each time

	mu       sync.Mutex
	open     int
	outcomes []admission.Outcome
}

func (a *fakeAdmitter) Admit(ctx context.Context, r admission.Request, exclude []topology.ServerName) (admission.Ticket, error) {
	if a.before != nil {
		a.before()
	}
	if ctx.Err() != nil {
		return nil, apierror.New(apierror.KindCanceled, "canceled")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rotate {
		a.servers = append(a.servers[1:], a.servers[0])
	}
	for _, s := range a.servers {
		if (r.Server == "" || r.Server == s) && !slices.Contains(exclude, s) {
			a.open++
			return &fakeTicket{a, s}, nil
		}
	}
	return nil, apierror.New(apierror.KindNoUpstream, "no server left")
}

type fakeTicket struct {
	admitter *fakeAdmitter
	server   topology.ServerName
}

func (t *fakeTicket) Server() topology.ServerName { return t.server }
func (t *fakeTicket) Done(o admission.Outcome, _ time.Duration) {
	t.admitter.mu.Lock()
	defer t.admitter.mu.Unlock()
	t.admitter.open--
	t.admitter.outcomes = append(t.admitter.outcomes, o)
}

// step is what a fake upstream does with one request or connection.
type step func(c *call)

// call is one connection to a fake upstream with at most one request that was
// read from it.
type call struct {
	up   *fakeUpstream
	conn net.Conn
	in   *bufio.Reader
	r    *http.Request
	body string
}

// read reads the next request and counts it as executed.
func (c *call) read() bool {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	c.r, c.body = r, string(body)
	c.up.mu.Lock()
	defer c.up.mu.Unlock()
	c.up.calls = append(c.up.calls, c)
	return true
}

// reset resets the connection, as the crash of a process does.
func (c *call) reset() {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}

// fakeUpstream performs one step for each request and repeats the last one.
type fakeUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	steps    []step
	next     int
	accepted int
	conns    []net.Conn
	calls    []*call
}

func newFakeUpstream(t testing.TB, steps ...step) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeUpstream{listener: listener, steps: steps}
	var done sync.WaitGroup
	done.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.accepted++
			f.conns = append(f.conns, c)
			f.mu.Unlock()
			done.Go(func() { f.serve(c) })
		}
	})
	t.Cleanup(func() { f.crash(); done.Wait() })
	return f
}

// crash closes the listener and resets all connections at once.
func (f *fakeUpstream) crash() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (f *fakeUpstream) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		f.mu.Lock()
		s := f.steps[min(f.next, len(f.steps)-1)]
		f.next++
		f.mu.Unlock()
		c := &call{up: f, conn: conn, in: in}
		if s(c); c.r == nil {
			return
		}
	}
}

// executions returns the number of complete requests that the upstream has read
// and that were not discounted.
func (f *fakeUpstream) executions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func (f *fakeUpstream) last() *call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[len(f.calls)-1]
}

// raw reads a request and responds with text; ID is replaced by the header with
// the request's ID.
func raw(text string) step { return inOrder(readRequest, respond(text)) }

// respond responds to the request that was read.
func respond(text string) step {
	return func(c *call) {
		if c.r != nil {
			text := strings.ReplaceAll(text, "ID", "Cassiasill-Request-Id: "+c.r.Header.Get("Cassiasill-Request-Id"))
			_, _ = io.WriteString(c.conn, strings.ReplaceAll(text, "\n", "\r\n"))
		}
	}
}

// discount removes the request from the executed ones.
func discount(c *call) {
	c.up.mu.Lock()
	defer c.up.mu.Unlock()
	c.up.calls = slices.DeleteFunc(c.up.calls, func(other *call) bool { return other == c })
}

// reject rejects a request without executing it.
func reject(text string) step { return inOrder(readRequest, discount, respond(text)) }

// inOrder runs steps one after the other on the same request.
func inOrder(steps ...step) step {
	return func(c *call) {
		for _, s := range steps {
			s(c)
		}
	}
}

func readRequest(c *call) { c.read() }
func reset(c *call)       { c.reset() }
func crash(c *call)       { c.up.crash() }

// readBytes reads n bytes of a request.
func readBytes(n int64) step {
	return func(c *call) { _, _ = io.CopyN(io.Discard, c.in, n) }
}

func ok(body string) step {
	return raw(fmt.Sprintf("HTTP/1.1 200 OK\nID\nContent-Length: %d\n\n%s", len(body), body))
}

// harness is a handler behind a real server, with fake upstreams s0, s1, ….
type harness struct {
	*Handler
	resolver *fakeResolver
	admitter *fakeAdmitter
	server   *httptest.Server
}

func servedBy(server topology.ServerName, sequence uint64) routing.Owner {
	return routing.Owner{Server: server, Token: topology.Version{Term: 7, Sequence: sequence}}
}

func newHarness(t testing.TB, change func(*Options), fakes ...*fakeUpstream) *harness {
	h := &harness{resolver: newFakeResolver(servedBy("s0", 1)), admitter: &fakeAdmitter{}}
	var servers []topology.Server
	for i, f := range fakes {
		name := topology.ServerName(fmt.Sprintf("s%d", i))
		servers = append(servers, topology.Server{Name: name, Address: f.listener.Addr().String()})
		h.admitter.servers = append(h.admitter.servers, name)
	}
	options := Options{
		Services: []Service{
			{Name: "keyed", HasKeyOwners: true, CallerHeader: "X-Caller", Servers: servers},
			{Name: "free", CallerHeader: "X-Caller", Servers: servers, Routes: []Route{
				{Methods: []string{"GET"}, PathPrefix: "/doc", Class: admission.ClassDownload, Repeatable: true},
			}},
		},
		Resolver: h.resolver, Admitter: h.admitter,
	}
	if change != nil {
		change(&options)
	}
	h.Handler = New(options)
	h.server = httptest.NewUnstartedServer(nil)
	h.server.Config = h.NewServer()
	h.server.Start()
	t.Cleanup(h.server.Close)
	return h
}

// do sends a request and returns the response with its complete body. If the
// body cannot be read, it returns the error and the part that was read.
func (h *harness) do(t testing.TB, method, path string, body io.Reader, headers ...string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, h.server.URL+path, body)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	response, err := h.server.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// assertDrained shuts the handler down and checks that every admission ticket
// was released.
func (h *harness) assertDrained(t *testing.T) {
	t.Helper()
	assert.NilError(t, h.Shutdown(t.Context()))
	h.admitter.mu.Lock()
	defer h.admitter.mu.Unlock()
	assert.Equal(t, h.admitter.open, 0, "an admission ticket was not released")
}
