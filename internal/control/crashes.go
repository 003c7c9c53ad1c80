package control

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Settings of the search for requests that crash servers.
const (
	// crashesToBlock is how many servers must have broken off while they had a
	// request, with no success between, before it is blocked.
	crashesToBlock = 3
	// crashMemory is how long a suspicion lasts without a new crash.
	crashMemory = 30 * time.Second
	// maxSuspects bounds the table.
	maxSuspects = 4096
)

// crashTable counts, over all hosts, servers that broke off under one request.
type crashTable struct {
	suspects map[string]*suspect
}

type suspect struct {
	servers map[string]bool
	at      boottime.Instant
}

func newCrashTable() *crashTable { return &crashTable{suspects: make(map[string]*suspect)} }

func (t *crashTable) note(c *fleetpb.Crash, now boottime.Instant) {
	key := string(c.Fingerprint)
	s := t.suspects[key]
	if c.Completed {
		// A request that completes does not crash servers: what looked so was
		// the connections' doing.
		if s != nil && len(s.servers) < crashesToBlock {
			delete(t.suspects, key)
		}
		return
	}
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			return
		}
		s = &suspect{servers: make(map[string]bool)}
		t.suspects[key] = s
	}
	s.servers[c.Server], s.at = true, now
}

// blocked returns the fingerprints that no server may get.
func (t *crashTable) blocked(now boottime.Instant) map[string]bool {
	out := make(map[string]bool)
	for key, s := range t.suspects {
		switch {
		case now.Sub(s.at) > crashMemory:
			delete(t.suspects, key)
		case len(s.servers) >= crashesToBlock:
			out[key] = true
		}
	}
	return out
}
