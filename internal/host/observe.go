package host

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/declaration"
)

// Declarations returns the operators' declarations that are in force on this
// host.
func (h *Host) Declarations() *declaration.Set { return h.declarations.follower.Current() }

// IsLeader reports whether this host currently holds the leader lease.
func (h *Host) IsLeader() bool {
	_, _, ok := h.leadership.elector.LeaderLease(time.Now())
	return ok
}
