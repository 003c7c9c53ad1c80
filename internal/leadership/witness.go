package leadership

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// PromiseTTL is how long a promise binds a witness. It bounds how long a host
// that is cut off goes on acting as leader.
const PromiseTTL = 400 * time.Millisecond

// Reasons for which a witness refuses a promise.
const (
	ReasonRecovering = "recovering"
	ReasonRecord     = "other-record"
	ReasonNotWitness = "not-a-witness"
	ReasonHeld       = "promised-to-another"
	ReasonTerm       = "lower-term"
)

// Witness is the state of one witness. It keeps promises in memory only; its
// methods take the time from the caller and are not safe for concurrent use.
type Witness struct {
	self    topology.HostName
	readyAt time.Time
	record  Record
	highest topology.Term
	holder  topology.HostName
	until   time.Time
}

// NewWitness returns a witness that was started at now. It gives no promise
// for PromiseTTL, because it may have forgotten one that is still in effect.
func NewWitness(self topology.HostName, now time.Time) *Witness {
	return &Witness{self: self, readyAt: now.Add(granter.WithClockMargin(PromiseTTL))}
}

// Waiting reports whether a promise that was forgotten may be in effect.
func (w *Witness) Waiting(now time.Time) bool { return now.Before(w.readyAt) }

// Record returns the newest record that the witness has learnt.
func (w *Witness) Record() Record { return w.record }

// Learn takes over a newer record, from the store or from a majority of the
// other witnesses. The witness refuses requests under older records from then.
func (w *Witness) Learn(record Record) bool {
	if record.Version < w.record.Version || len(record.Hosts) == 0 {
		return false
	}
	newer := record.Version > w.record.Version
	if newer || len(record.Previous) > 0 {
		w.record = record
	}
	return newer
}

// recovering reports whether the witness may not promise yet.
func (w *Witness) recovering(now time.Time) bool { return w.Waiting(now) || w.record.Version == 0 }

// Holder returns the host to which a promise is in effect, and the rest of it.
func (w *Witness) Holder(now time.Time) (topology.HostName, time.Duration) {
	if left := w.until.Sub(now); left > 0 {
		return w.holder, left
	}
	return "", 0
}

// Promise answers a request. The storeAge is the age of this host's last
// successful store call, negative if there was none. Term zero only asks.
func (w *Witness) Promise(now time.Time, request *peerpb.PromiseRequest, storeAge time.Duration) *peerpb.PromiseResponse {
	reason := w.refuse(now, request)
	if reason == "" {
		w.apply(now, request)
	}
	holder, left := w.Holder(now)
	response := &peerpb.PromiseResponse{
		Granted: reason == "", Reason: reason, HighestTerm: uint64(w.highest), Holder: string(holder),
		// Rounded up: a candidate that waits it out must not come too early.
		RemainingMillis: int64((left + time.Millisecond - 1) / time.Millisecond),
		StoreAgeMillis:  -1,
		Record:          w.record.message(),
	}
	if storeAge >= 0 {
		response.StoreAgeMillis = storeAge.Milliseconds()
	}
	return response
}

func (w *Witness) refuse(now time.Time, request *peerpb.PromiseRequest) string {
	candidate, term := topology.HostName(request.GetCandidate()), topology.Term(request.GetTerm())
	holder, _ := w.Holder(now)
	same := candidate == w.holder && term == w.highest
	switch {
	case w.recovering(now):
		return ReasonRecovering
	case request.GetRelease() && same:
		return "" // a release is accepted under any record
	case request.GetRecordVersion() != w.record.Version:
		return ReasonRecord
	case !w.record.Names(w.self):
		return ReasonNotWitness
	case term == 0:
		return ReasonTerm
	case holder != "" && !same:
		// This includes a new term of the holder itself: a host that was
		// replaced under the same name may still be running.
		return ReasonHeld
	case term < w.highest || term == w.highest && !same || request.GetRelease():
		return ReasonTerm
	}
	return ""
}

func (w *Witness) apply(now time.Time, request *peerpb.PromiseRequest) {
	if request.GetRelease() {
		w.until = now
		return
	}
	w.holder, w.highest = topology.HostName(request.GetCandidate()), topology.Term(request.GetTerm())
	w.until = now.Add(granter.WithClockMargin(PromiseTTL))
}

// Seal learns the next record and confirms that requests under older ones are
// refused from now on. A promise in effect stays in effect.
func (w *Witness) Seal(now time.Time, request *peerpb.SealRequest) *peerpb.SealResponse {
	next := recordOf(request.GetNext())
	// A recovering witness learns only from the store or a majority: this
	// request may come from a leader that has long been replaced.
	if !w.recovering(now) {
		w.Learn(next)
	}
	return &peerpb.SealResponse{
		Sealed:     !w.recovering(now) && next.Version > 0 && w.record.Version >= next.Version,
		Record:     w.record.message(),
		Recovering: w.recovering(now),
	}
}
