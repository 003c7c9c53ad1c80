package balance

import "time"

// Outlier is one server's record of failures.
type Outlier struct {
	consecutive int
	times       int
	until       time.Duration
}

const (
	// ejectAfter consecutive failures or sheds eject: one or two happen to any
	// server. A server that refuses everything answers fast and looks free; one
	// that is only busy answers in between.
	ejectAfter = 3
	// firstEjection doubles with each ejection up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// Observe records an outcome. A success ends the doubling.
func (o *Outlier) Observe(ok bool) {
	if ok {
		o.consecutive, o.times = 0, 0
		return
	}
	o.consecutive++
}

// failing tells whether the failures are in line for an ejection. After one,
// the first failure is enough until a request has succeeded.
func (o *Outlier) failing() bool {
	return o.consecutive >= ejectAfter || (o.times > 0 && o.consecutive > 0)
}

// Eject moves servers whose failures are in line from ready to ejected and
// back to cold after their time. At most a third of the servers is ejected:
// beyond that the fault is more likely common than the servers' own, and the
// rest could not carry the load. It reports whether a state changed.
func Eject(servers []Server, outliers []Outlier, now time.Duration) bool {
	ejected, changed := 0, false
	for i := range servers {
		if servers[i].State != StateEjected {
			continue
		}
		if now >= outliers[i].until {
			servers[i].State = StateCold
			changed = true
			continue
		}
		ejected++
	}
	for i := range servers {
		o := &outliers[i]
		if !servers[i].Usable() || !o.failing() || (ejected+1)*3 > len(servers) {
			continue
		}
		o.until = now + min(firstEjection<<min(o.times, 10), maxEjection)
		o.times++
		o.consecutive = 0
		servers[i].State = StateEjected
		ejected++
		changed = true
	}
	return changed
}

// Until is the end of the current ejection.
func (o *Outlier) Until() time.Duration { return o.until }
