package control

import (
	"sync"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Limits of what a host remembers in order to send other hosts only what has
// changed. Both exceed what accumulates between two syncs.
const (
	maxRecentAssignments = 48
	maxRecentLists       = 16
)

// history remembers a host's latest server lists and assignments. Many hosts
// sync from the same versions, so each difference is computed once and cached.
type history struct {
	mu    sync.Mutex
	lists []*registry.List // newest last
	// listUpdates holds the changes to the newest list, by the digest of the
	// base list.
	listUpdates map[uint64]*listUpdate
	assignments map[string]*assignmentHistory // by service
}

// listUpdate is a server list, or the changes since a base list, in the form in
// which it is sent.
type listUpdate struct {
	servers     []*fleetpb.Server
	removed     []string
	changesOnly bool
}

// assignmentHistory holds the latest assignments of one service.
type assignmentHistory struct {
	recent []*shards.Assignment // newest last
	// updates holds the changes to the newest assignment, by the version of the
	// base.
	updates map[int64]*fleetpb.Shards
}

func newHistory() *history {
	return &history{listUpdates: make(map[uint64]*listUpdate), assignments: make(map[string]*assignmentHistory)}
}

// record remembers the list and assignments of a snapshot. Followers do so too,
// so that a new leader need not send the full state to all hosts.
func (h *history) record(s *Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Servers != nil {
		h.recordList(s.Servers)
	}
	for service, a := range s.Assignments {
		h.recordAssignment(service, a)
	}
}

func (h *history) recordList(list *registry.List) {
	if n := len(h.lists); n == 0 || h.lists[n-1] != list {
		h.lists = append(h.lists[max(0, n-maxRecentLists+1):], list)
		clear(h.listUpdates)
	}
}

func (h *history) recordAssignment(service string, a *shards.Assignment) *assignmentHistory {
	past := h.assignments[service]
	if past == nil {
		past = &assignmentHistory{updates: make(map[int64]*fleetpb.Shards)}
		h.assignments[service] = past
	}
	if n := len(past.recent); n == 0 || past.recent[n-1] != a {
		past.recent = append(past.recent[max(0, n-maxRecentAssignments+1):], a)
		clear(past.updates)
	}
	return past
}

// serverUpdate returns what a host with the list of the given digest lacks.
func (h *history) serverUpdate(list *registry.List, base uint64) *listUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordList(list)
	if update := h.listUpdates[base]; update != nil {
		return update
	}
	for _, old := range h.lists {
		if old.Digest == base {
			changed, removed := list.ChangesSince(old)
			h.listUpdates[base] = &listUpdate{servers: serversToProto(changed), removed: removed, changesOnly: true}
			return h.listUpdates[base]
		}
	}
	// All hosts without a usable base share the entry of the empty list, digest
	// 0.
	if h.listUpdates[0] == nil {
		changed, _ := list.ChangesSince(&registry.List{})
		h.listUpdates[0] = &listUpdate{servers: serversToProto(changed)}
	}
	return h.listUpdates[0]
}

// assignmentUpdate returns what a host with the assignment of the given version
// lacks. The version is 0 if the host has none.
func (h *history) assignmentUpdate(service string, a *shards.Assignment, base int64) (*fleetpb.Shards, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	past := h.recordAssignment(service, a)
	if update := past.updates[base]; update != nil {
		return update, nil
	}
	for _, old := range past.recent {
		if old.Version == base {
			document, err := a.ChangesSince(old)
			if err != nil {
				return nil, err
			}
			past.updates[base] = &fleetpb.Shards{Service: service, Document: document, Revision: a.Revision, ChangesOnly: true}
			return past.updates[base], nil
		}
	}
	if past.updates[0] == nil {
		document, err := a.Encode()
		if err != nil {
			return nil, err
		}
		past.updates[0] = &fleetpb.Shards{Service: service, Document: document, Revision: a.Revision}
	}
	return past.updates[0], nil
}
