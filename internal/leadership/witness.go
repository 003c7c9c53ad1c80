package leadership

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// PromiseTTL is the duration of a promise. It bounds how long a leader that is
// partitioned from the witnesses keeps the leader lease.
const PromiseTTL = 400 * time.Millisecond

// Reasons for which a witness refuses a request.
const (
	ReasonRecovering        = "recovering"
	ReasonOtherRecord       = "other-record"
	ReasonNotWitness        = "not-a-witness"
	ReasonPromisedToAnother = "promised-to-another"
	ReasonLowerTerm         = "lower-term"
)

// Witness is the state of one witness. It keeps the promise only in memory. Its
// methods take the time from the caller and are not safe for concurrent use.
type Witness struct {
	self          topology.HostName
	readyAt       time.Time
	record        Record
	highestTerm   topology.Term
	holder        topology.HostName
	promiseExpiry time.Time
}

// NewWitness returns a witness that was started at now. It grants no promise for
// PromiseTTL and the clock margin, because its former process may have granted
// one that has not expired.
func NewWitness(self topology.HostName, now time.Time) *Witness {
	return &Witness{self: self, readyAt: now.Add(granter.WithClockMargin(PromiseTTL))}
}

// InStartupWait reports whether a promise from before the start may still be valid.
func (w *Witness) InStartupWait(now time.Time) bool { return now.Before(w.readyAt) }

// Record returns the newest record that the witness has received.
func (w *Witness) Record() Record { return w.record }

// UpdateRecord sets a newer record. A witness without a record takes it only from
// the store or a majority of the other witnesses; one that has a record also takes
// a newer one from the leader or any one peer. From then on the witness refuses requests under older
// records. It reports whether the record is newer. The current version replaces
// the record too if it lists the previous hosts, which peers leave out.
func (w *Witness) UpdateRecord(record Record) bool {
	if record.Version < w.record.Version || len(record.Hosts) == 0 {
		return false
	}
	newer := record.Version > w.record.Version
	if newer || len(record.Previous) > 0 {
		w.record = record
	}
	return newer
}

// recovering reports whether the witness must not grant promises yet.
func (w *Witness) recovering(now time.Time) bool {
	return w.InStartupWait(now) || w.record.Version == 0
}

// Holder returns the host that has a valid promise, and the time until it expires.
func (w *Witness) Holder(now time.Time) (topology.HostName, time.Duration) {
	if remaining := w.promiseExpiry.Sub(now); remaining > 0 {
		return w.holder, remaining
	}
	return "", 0
}

// HandlePromise handles a request from a candidate. The storeAge is the age of this
// host's last successful store call, negative if there was none. A request with
// term zero only queries the state and is never granted.
func (w *Witness) HandlePromise(now time.Time, request *peerpb.PromiseRequest, storeAge time.Duration) *peerpb.PromiseResponse {
	reason := w.refusalReason(now, request)
	if reason == "" {
		w.applyRequest(now, request)
	}
	holder, remaining := w.Holder(now)
	response := &peerpb.PromiseResponse{
		Granted: reason == "", Reason: reason, HighestTerm: uint64(w.highestTerm), Holder: string(holder),
		// Rounded up, so that a candidate that waits this long does not
		// campaign before the promise expires.
		RemainingMillis: int64((remaining + time.Millisecond - 1) / time.Millisecond),
		StoreAgeMillis:  -1,
		Record:          w.record.toMessage(),
	}
	if storeAge >= 0 {
		response.StoreAgeMillis = storeAge.Milliseconds()
	}
	return response
}

func (w *Witness) refusalReason(now time.Time, request *peerpb.PromiseRequest) string {
	candidate, term := topology.HostName(request.GetCandidate()), topology.Term(request.GetTerm())
	holder, _ := w.Holder(now)
	same := candidate == w.holder && term == w.highestTerm
	switch {
	case w.recovering(now):
		return ReasonRecovering
	case request.GetRelease() && same:
		return "" // a release is accepted under every record
	case request.GetRecordVersion() != w.record.Version:
		return ReasonOtherRecord
	case !w.record.HasWitness(w.self):
		return ReasonNotWitness
	case term == 0:
		return ReasonLowerTerm
	case holder != "" && !same:
		// This also refuses a new term of the holder itself: a host that was
		// replaced under the same name may still be running.
		return ReasonPromisedToAnother
	case term < w.highestTerm || term == w.highestTerm && !same || request.GetRelease():
		return ReasonLowerTerm
	}
	return ""
}

func (w *Witness) applyRequest(now time.Time, request *peerpb.PromiseRequest) {
	if request.GetRelease() {
		w.promiseExpiry = now
		return
	}
	w.holder, w.highestTerm = topology.HostName(request.GetCandidate()), topology.Term(request.GetTerm())
	w.promiseExpiry = now.Add(granter.WithClockMargin(PromiseTTL))
}

// HandleSeal handles the announcement of the next record. It sets the record and
// confirms that this witness now refuses requests under older records. A valid
// promise stays valid.
func (w *Witness) HandleSeal(now time.Time, request *peerpb.SealRequest) *peerpb.SealResponse {
	next := recordFromMessage(request.GetNext())
	// A recovering witness accepts a record only from the store or a majority:
	// this request may come from an outdated leader.
	if !w.recovering(now) {
		w.UpdateRecord(next)
	}
	return &peerpb.SealResponse{
		Sealed:     !w.recovering(now) && next.Version > 0 && w.record.Version >= next.Version,
		Record:     w.record.toMessage(),
		Recovering: w.recovering(now),
	}
}
