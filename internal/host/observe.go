package host

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/declaration"
)

// Declarations returns the operators' declarations that are in force on this
// host.
func (h *Host) Declarations() *declaration.Set { return h.declare.follower.Current() }

// Leads reports whether this host has the leader's authority now.
func (h *Host) Leads() bool {
	_, _, ok := h.leader.elector.Authority(time.Now())
	return ok
}
