package balance

import "time"

// OutlierDetector counts the failures of one server and records its ejections.
type OutlierDetector struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
}

const (
	// ejectAfterFailures is the number of consecutive failures or sheds that
	// eject a server. One or two happen to any server. A server that refuses
	// everything responds fast and looks free, whereas one that is only busy
	// has successes in between.
	ejectAfterFailures = 3
	// firstEjection is the duration of the first ejection. It doubles with each
	// further one up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// Observe records the outcome of a request. A success resets the duration of
// the next ejection.
func (o *OutlierDetector) Observe(ok bool) {
	if ok {
		o.consecutiveFailures, o.ejections = 0, 0
		return
	}
	o.consecutiveFailures++
}

// shouldEject reports whether the failures suffice for an ejection. After an
// ejection, a single failure suffices until a request has succeeded.
func (o *OutlierDetector) shouldEject() bool {
	return o.consecutiveFailures >= ejectAfterFailures || (o.ejections > 0 && o.consecutiveFailures > 0)
}

// UpdateEjections ejects the servers with too many failures and returns those
// whose ejection has ended, which start a warmup. At most a third of the
// servers is ejected at once: beyond that, a common cause is more likely than
// faults of single servers, and the remaining servers could not carry the load.
// It reports whether a state changed.
func UpdateEjections(servers []Server, outliers []OutlierDetector, now time.Duration) bool {
	ejected, changed := 0, false
	for i := range servers {
		if servers[i].State != StateEjected {
			continue
		}
		if now >= outliers[i].ejectedUntil {
			servers[i].State = StateWarmingUp
			changed = true
			continue
		}
		ejected++
	}
	for i := range servers {
		o := &outliers[i]
		if !servers[i].Usable() || !o.shouldEject() || (ejected+1)*3 > len(servers) {
			continue
		}
		o.ejectedUntil = now + min(firstEjection<<min(o.ejections, 10), maxEjection)
		o.ejections++
		o.consecutiveFailures = 0
		servers[i].State = StateEjected
		ejected++
		changed = true
	}
	return changed
}

// EjectedUntil returns the end of the current ejection.
func (o *OutlierDetector) EjectedUntil() time.Duration { return o.ejectedUntil }
