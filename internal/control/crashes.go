package control

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Limits of the detection of requests that crash servers.
const (
	// crashesToBlock is the number of servers whose connections must break
	// while they have a request before the request is blocked. A completion
	// resets the count until then.
	crashesToBlock = 3
	// suspicionTTL is how long a request stays suspected, and then blocked,
	// without a new crash.
	suspicionTTL = 30 * time.Second
	// maxSuspects bounds the number of suspected requests, and so the memory
	// that they use.
	maxSuspects = 4096
)

// crashTable collects, for each request fingerprint, the servers that crashed
// while they had the request, as reported by all hosts.
type crashTable struct {
	suspects map[string]*suspectRequest
}

// suspectRequest is a request that may crash servers.
type suspectRequest struct {
	servers map[string]bool
	// blocked is true if a former leader had blocked the request.
	blocked     bool
	lastCrashAt boottime.Instant
}

// newCrashTable returns a table with the requests that the former leader had blocked.
// The servers that they crashed are not known, and the time starts anew.
func newCrashTable(blocked map[string]bool, now boottime.Instant) *crashTable {
	t := &crashTable{suspects: make(map[string]*suspectRequest)}
	for fingerprint := range blocked {
		t.suspects[fingerprint] = &suspectRequest{servers: make(map[string]bool), blocked: true, lastCrashAt: now}
	}
	return t
}

func (s *suspectRequest) isBlocked() bool { return s.blocked || len(s.servers) >= crashesToBlock }

// record adds one crash report.
func (t *crashTable) record(c *fleetpb.Crash, now boottime.Instant) {
	key := string(c.Fingerprint)
	s := t.suspects[key]
	if c.Completed {
		// A request that completes does not crash servers: the reported crashes
		// were connection failures.
		if s != nil && !s.isBlocked() {
			delete(t.suspects, key)
		}
		return
	}
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			return
		}
		s = &suspectRequest{servers: make(map[string]bool)}
		t.suspects[key] = s
	}
	s.servers[c.Server], s.lastCrashAt = true, now
}

// blockedFingerprints returns the fingerprints of requests that must not be
// sent to any server. It also removes suspicions that have expired.
func (t *crashTable) blockedFingerprints(now boottime.Instant) map[string]bool {
	out := make(map[string]bool)
	for key, s := range t.suspects {
		switch {
		case now.Sub(s.lastCrashAt) > suspicionTTL:
			delete(t.suspects, key)
		case s.isBlocked():
			out[key] = true
		}
	}
	return out
}
