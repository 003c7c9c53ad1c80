package control

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/shards"
)

// addressCommitInterval is the minimum time between two changes that record nothing but
// addresses. Usually they are recorded with other changes.
const addressCommitInterval = 5 * time.Second

// recordAddresses notes in the next assignment where the owners of ranges have
// acknowledged grants. It reports whether an address was not known before, and whether one
// is missing that an answering owner is about to acknowledge. The caller holds mu.
func (m *assignmentManager) recordAddresses(next *shards.Assignment) (recorded, missing bool) {
	for i := range next.Ranges {
		r := &next.Ranges[i]
		h := m.holders[r.Owner]
		switch {
		case !r.Held():
		case h == nil || h.incarnation != r.Incarnation || len(h.ackedAt) == 0:
			missing = missing || r.Address == "" && (h == nil || h.failingSince == 0)
		case r.Address != h.address:
			r.Address, recorded = h.address, true
		}
	}
	return recorded, missing
}

// hasEnded reports whether a failed release proves that the range's owner has ended:
// another server has named itself at the address where the owner has acknowledged a
// grant. An ended server holds nothing, so nobody needs to wait for its grants, which a
// former leader that does not answer may have renewed last. The address of the list
// alone proves nothing, because anybody can write an entry.
func (m *assignmentManager) hasEnded(r shards.Range, server GrantServer, err error) bool {
	var grantErr *shards.GrantError
	if !errors.As(err, &grantErr) || grantErr.OtherServer == "" || r.Address == "" || r.Address != server.Address {
		return false
	}
	m.log().Info("shards: the owner has ended, another server has its address", zap.String("server", r.Owner), zap.String("address", r.Address),
		zap.String("other_server", grantErr.OtherServer), zap.Uint16("from", r.From), zap.Uint16("to", r.To))
	return true
}
