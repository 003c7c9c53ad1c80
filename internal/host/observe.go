package host

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/declaration"
)

// Declarations returns the operators' declarations that are in force on this
// host.
func (h *Host) Declarations() *declaration.Set { return h.declarations.follower.Current() }

// Leads reports whether this host currently holds the authority of the leader.
func (h *Host) Leads() bool {
	_, _, ok := h.leadership.elector.Authority(time.Now())
	return ok
}
