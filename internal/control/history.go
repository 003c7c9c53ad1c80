package control

import (
	"sync"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Limits of what a host remembers to send others only what has changed. Both
// cover what comes up between two syncs, with room.
const (
	recentAssignments = 48
	recentLists       = 16
)

// history remembers the last server lists and assignments of a host. Hosts ask
// at the same versions, so that what lies between two of them is worked out
// once for all.
type history struct {
	mu    sync.Mutex
	lists []*registry.List // the newest last
	// listNews holds what the newest list adds, by the digest of the base.
	listNews    map[uint64]*listNews
	assignments map[string]*assignmentHistory // by service
}

// listNews is a server list, or what has changed in it, as it is sent.
type listNews struct {
	servers     []*fleetpb.Server
	removed     []string
	changesOnly bool
}

type assignmentHistory struct {
	recent []*shards.Assignment // the newest last
	// news holds what the newest assignment adds, by the version of the base.
	news map[int64]*fleetpb.Shards
}

func newHistory() *history {
	return &history{listNews: make(map[uint64]*listNews), assignments: make(map[string]*assignmentHistory)}
}

// note remembers the lists and assignments of a snapshot. A host does so while
// it follows, so that as a new leader it needs not send the whole to all.
func (h *history) note(s *Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Servers != nil {
		h.noteList(s.Servers)
	}
	for service, a := range s.Shards {
		h.noteAssignment(service, a)
	}
}

func (h *history) noteList(list *registry.List) {
	if n := len(h.lists); n == 0 || h.lists[n-1] != list {
		h.lists = append(h.lists[max(0, n-recentLists+1):], list)
		clear(h.listNews)
	}
}

func (h *history) noteAssignment(service string, a *shards.Assignment) *assignmentHistory {
	past := h.assignments[service]
	if past == nil {
		past = &assignmentHistory{news: make(map[int64]*fleetpb.Shards)}
		h.assignments[service] = past
	}
	if n := len(past.recent); n == 0 || past.recent[n-1] != a {
		past.recent = append(past.recent[max(0, n-recentAssignments+1):], a)
		clear(past.news)
	}
	return past
}

// servers returns what a host lacks that has the list with the given digest.
func (h *history) servers(list *registry.List, base uint64) *listNews {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteList(list)
	if news := h.listNews[base]; news != nil {
		return news
	}
	for _, old := range h.lists {
		if old.Digest == base {
			changed, removed := list.ChangesSince(old)
			h.listNews[base] = &listNews{servers: serversToProto(changed), removed: removed, changesOnly: true}
			return h.listNews[base]
		}
	}
	// All hosts without a usable base share the entry of the empty one.
	if h.listNews[0] == nil {
		changed, _ := list.ChangesSince(&registry.List{})
		h.listNews[0] = &listNews{servers: serversToProto(changed)}
	}
	return h.listNews[0]
}

// shards returns what a host lacks that has the assignment of the given version;
// 0 if it has none.
func (h *history) shards(service string, a *shards.Assignment, base int64) (*fleetpb.Shards, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	past := h.noteAssignment(service, a)
	if news := past.news[base]; news != nil {
		return news, nil
	}
	for _, old := range past.recent {
		if old.Version == base {
			document, err := a.ChangesSince(old)
			if err != nil {
				return nil, err
			}
			past.news[base] = &fleetpb.Shards{Service: service, Document: document, Revision: a.Revision, ChangesOnly: true}
			return past.news[base], nil
		}
	}
	if past.news[0] == nil {
		document, err := a.Encode()
		if err != nil {
			return nil, err
		}
		past.news[0] = &fleetpb.Shards{Service: service, Document: document, Revision: a.Revision}
	}
	return past.news[0], nil
}
