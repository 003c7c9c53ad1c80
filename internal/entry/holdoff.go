package entry

import (
	"errors"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// errHeldOff reports that a server wants no request from this host yet.
var errHeldOff = errors.New("the server wants no request from this host yet")

// maxExcludedHoldOffs bounds how many servers a request excludes from the start
// because they want no request. Others are excluded once they are chosen.
const maxExcludedHoldOffs = 16

// holdOffs holds the servers that have asked this host to stay away for a time.
type holdOffs struct {
	mu      sync.Mutex
	servers map[string]holdOff // by server ID
}

// holdOff is the wish of one server process.
type holdOff struct {
	server ratelimit.Server
	until  time.Time
}

func newHoldOffs() *holdOffs { return &holdOffs{servers: make(map[string]holdOff)} }

// add records that the server wants no request until the given time. A shorter time
// does not replace a longer one.
func (h *holdOffs) add(server ratelimit.Server, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, known := h.servers[server.ID]; known && old.server.Incarnation == server.Incarnation && old.until.After(until) {
		return
	}
	h.servers[server.ID] = holdOff{server, until}
}

// left returns for how long the server wants no request. A new process of the server
// has asked for nothing.
func (h *holdOffs) left(server ratelimit.Server, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, known := h.servers[server.ID]
	if !known || entry.server.Incarnation != server.Incarnation {
		return 0
	}
	if !entry.until.After(now) {
		delete(h.servers, server.ID)
		return 0
	}
	return entry.until.Sub(now)
}

// active returns servers of the service that want no request, and when the first of
// them takes requests again. A process that was replaced wants nothing any more; one
// that is not listed for a while still does.
func (h *holdOffs) active(service string, now time.Time, isReplaced func(ratelimit.Server) bool) (ids []string, first time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, entry := range h.servers {
		left := entry.until.Sub(now)
		switch {
		case left <= 0, isReplaced(entry.server):
			delete(h.servers, id)
		case entry.server.Service == service:
			if first == 0 || left < first {
				first = left
			}
			if len(ids) < maxExcludedHoldOffs {
				ids = append(ids, id)
			}
		}
	}
	return ids, first
}
