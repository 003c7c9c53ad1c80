package registry

import "time"

// minWarmupRise is by how much the remaining warmup must rise for the server to count as
// cold anew. Between two heartbeats it decreases; a late read does not raise it.
const minWarmupRise = 300 * time.Millisecond

// listedWarmup returns the warmup with which a read server is listed. Previous is its
// listed entry, which is empty if there is none; restored is true if the read may be from
// an older copy of the store.
//
// The remaining warmup decreases with each heartbeat, which must not count as a change.
// Only its start, its end and a server that turns cold again while cold do.
func (t *Tracker) listedWarmup(previous, read Server, restored bool) time.Duration {
	last, hasLast := t.warmups[read.ID]
	if !hasLast {
		last = previous.Warmup
	}
	if read.Warmup > 0 {
		t.warmups[read.ID] = read.Warmup
	} else {
		delete(t.warmups, read.ID)
	}
	switch {
	case previous.ID != read.ID || previous.Incarnation != read.Incarnation || previous.Warmup == 0:
		return read.Warmup
	case restored:
		// The copy may be from before the server turned cold.
		return previous.Warmup
	case read.Warmup == 0:
		return 0
	case read.Warmup < last+minWarmupRise:
		return previous.Warmup
	case read.Warmup == previous.Warmup:
		return read.Warmup - 1 // the list must differ for hosts to start the warmup anew
	default:
		return read.Warmup
	}
}
