package routing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Service describes a service divided by key.
type Service struct {
	Name topology.ServiceName
	// Validity bounds how long a snapshot may be acted on, counted from before
	// the request for it was sent. Zero means no bound, which is right only
	// for services whose servers check fencing tokens.
	Validity time.Duration
}

// Table holds the newest route snapshot of each service. Readers never block
// and never allocate; a swap replaces one pointer.
type Table struct {
	services map[topology.ServiceName]*serviceRoutes
}

var _ Resolver = (*Table)(nil)

// serviceRoutes is one service's place in the table.
type serviceRoutes struct {
	validity time.Duration
	current  atomic.Pointer[snapshot]
	// update serializes writers, so that versions are compared with what is
	// replaced.
	update sync.Mutex
}

// snapshot is immutable. It is replaced as a whole, so that a reader sees
// routes and the validity that belongs to them together.
type snapshot struct {
	index      *index
	version    topology.Version
	validUntil time.Time
	changed    chan struct{}
}

// NewTable returns a table for the services; each is stale until its first
// snapshot arrives.
func NewTable(services ...Service) *Table {
	t := &Table{services: make(map[topology.ServiceName]*serviceRoutes, len(services))}
	for _, s := range services {
		r := &serviceRoutes{validity: s.Validity}
		r.current.Store(&snapshot{changed: make(chan struct{})})
		t.services[s.Name] = r
	}
	return t
}

// RejectedError tells why a route table was not accepted.
type RejectedError struct {
	Service topology.ServiceName
	Reason  string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("routes of %s rejected: %s", e.Service, e.Reason)
}

// Update installs a route table that was received in response to a request sent
// at or after requested. It reports whether the routes changed. A table older
// than the current one is ignored; the current version again only extends the
// validity. The table's routes must not be modified afterwards.
func (t *Table) Update(table topology.RouteTable, requested time.Time) (bool, error) {
	r := t.services[table.Service]
	if r == nil {
		return false, &RejectedError{Service: table.Service, Reason: "no such service divided by key"}
	}
	r.update.Lock()
	defer r.update.Unlock()
	old := r.current.Load()
	if old.index != nil {
		switch c := table.Version.Compare(old.version); {
		case c < 0:
			return false, nil
		case c == 0:
			r.extend(old, requested)
			return false, nil
		}
	}
	ix, err := newIndex(table)
	if err != nil {
		return false, err
	}
	r.current.Store(&snapshot{index: ix, version: table.Version, validUntil: requested.Add(r.validity), changed: make(chan struct{})})
	close(old.changed)
	return true, nil
}

// Confirm extends the validity of version, which a peer stated to be the newest
// in response to a request sent at or after requested. It does nothing when the
// table holds another version.
func (t *Table) Confirm(service topology.ServiceName, version topology.Version, requested time.Time) {
	r := t.services[service]
	if r == nil {
		return
	}
	r.update.Lock()
	defer r.update.Unlock()
	if old := r.current.Load(); old.index != nil && old.version == version {
		r.extend(old, requested)
	}
}

// extend raises the validity of the current snapshot. Waiters are woken only
// when it had expired, because for them nothing else changes.
func (r *serviceRoutes) extend(old *snapshot, requested time.Time) {
	until := requested.Add(r.validity)
	if r.validity == 0 || !until.After(old.validUntil) {
		return
	}
	next := *old
	next.validUntil = until
	expired := !time.Now().Before(old.validUntil)
	if expired {
		next.changed = make(chan struct{})
	}
	r.current.Store(&next)
	if expired {
		close(old.changed)
	}
}

// Owner implements Resolver.
func (t *Table) Owner(service topology.ServiceName, h topology.Hash) Owner {
	r := t.services[service]
	if r == nil {
		return Owner{State: StateUnknown}
	}
	s := r.current.Load()
	if s.index == nil {
		return Owner{State: StateStale}
	}
	route := s.index.find(h)
	owner := Owner{Server: route.Server, Token: route.Token, State: StateServed}
	switch {
	case r.validity != 0 && !time.Now().Before(s.validUntil):
		owner.State = StateStale
	case !route.Held || route.Server == "":
		owner.State = StateWaiting
	}
	return owner
}

// Changed implements Resolver. A caller takes the channel before it looks up
// the owner, so that no change is missed in between. For a service that is not
// in the table it returns nil, which never becomes ready.
func (t *Table) Changed(service topology.ServiceName) <-chan struct{} {
	if r := t.services[service]; r != nil {
		return r.current.Load().changed
	}
	return nil
}

// Version returns the version of the service's current snapshot, or zero.
func (t *Table) Version(service topology.ServiceName) topology.Version {
	if r := t.services[service]; r != nil {
		return r.current.Load().version
	}
	return topology.Version{}
}

// Routes returns the current routes of the service; they must not be modified.
func (t *Table) Routes(service topology.ServiceName) []topology.Route {
	r := t.services[service]
	if r == nil {
		return nil
	}
	if s := r.current.Load(); s.index != nil {
		return s.index.routes
	}
	return nil
}
