package routing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Service configures a service divided by key.
type Service struct {
	Name topology.ServiceName
	// Validity bounds how long a snapshot may be used. It counts from before
	// the request for the snapshot was sent. Zero means no bound, which is safe
	// only for services whose servers check fencing tokens.
	Validity time.Duration
}

// Table holds the newest route snapshot of each service. Readers neither block
// nor allocate, because an update replaces a single pointer.
type Table struct {
	services map[topology.ServiceName]*serviceRoutes
}

var _ Resolver = (*Table)(nil)

// serviceRoutes holds the snapshot of one service.
type serviceRoutes struct {
	validity time.Duration
	current  atomic.Pointer[snapshot]
	// updateMu serializes writers, so that each compares its version with the
	// snapshot that it replaces.
	updateMu sync.Mutex
}

// snapshot is immutable. It is replaced as a whole, so that a reader sees the
// routes together with their own validity.
type snapshot struct {
	index      *index
	version    topology.Version
	validUntil time.Time
	changed    chan struct{}
}

// NewTable returns a table for the services. A service is stale until its first
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

// RejectedError is the reason for which a route table was rejected.
type RejectedError struct {
	Service topology.ServiceName
	Reason  string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("routes of %s rejected: %s", e.Service, e.Reason)
}

// Update installs a route table that was received in response to a request sent
// at or after requestedAt. It reports whether the routes changed. An older
// table than the current one is ignored; one of the same version only extends
// the validity. The caller must not modify the table's routes afterwards.
func (t *Table) Update(table topology.RouteTable, requestedAt time.Time) (bool, error) {
	r := t.services[table.Service]
	if r == nil {
		return false, &RejectedError{Service: table.Service, Reason: "no such service divided by key"}
	}
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	old := r.current.Load()
	if old.index != nil {
		switch c := table.Version.Compare(old.version); {
		case c < 0:
			return false, nil
		case c == 0:
			r.extendValidity(old, requestedAt)
			return false, nil
		}
	}
	ix, err := newIndex(table)
	if err != nil {
		return false, err
	}
	r.current.Store(&snapshot{index: ix, version: table.Version, validUntil: requestedAt.Add(r.validity), changed: make(chan struct{})})
	close(old.changed)
	return true, nil
}

// Confirm extends the validity of the snapshot if it has the given version. A
// peer must have stated in response to a request sent at or after requestedAt
// that the version is the newest.
func (t *Table) Confirm(service topology.ServiceName, version topology.Version, requestedAt time.Time) {
	r := t.services[service]
	if r == nil {
		return
	}
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	if old := r.current.Load(); old.index != nil && old.version == version {
		r.extendValidity(old, requestedAt)
	}
}

// extendValidity extends the validity of the current snapshot. It wakes waiters
// only if the snapshot had expired, because otherwise nothing changes for them.
func (r *serviceRoutes) extendValidity(old *snapshot, requestedAt time.Time) {
	until := requestedAt.Add(r.validity)
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

// Changed implements Resolver. To miss no change, a caller must get the channel
// before it looks up the owner. For a service that is not in the table the
// channel is nil and never becomes ready.
func (t *Table) Changed(service topology.ServiceName) <-chan struct{} {
	if r := t.services[service]; r != nil {
		return r.current.Load().changed
	}
	return nil
}

// Version returns the version of the service's current snapshot, or the zero
// version if there is none.
func (t *Table) Version(service topology.ServiceName) topology.Version {
	if r := t.services[service]; r != nil {
		return r.current.Load().version
	}
	return topology.Version{}
}

// Routes returns the current routes of the service. They must not be modified.
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
