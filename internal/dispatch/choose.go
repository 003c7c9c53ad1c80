package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tick takes every decision that can be taken now.
func (c *Core) Tick(now Instant) []Decision {
	if len(c.queue) == 0 {
		return nil
	}
	c.order(now)
	var out []Decision
	left := c.queue[:0]
	ahead := make(map[string]time.Duration) // work queued before, by owner
	var total time.Duration
	for _, w := range c.queue {
		decision, done := c.decide(now, w, ahead, total)
		if done {
			out = append(out, decision)
			continue
		}
		total += w.Work
		left = append(left, w)
	}
	clear(c.queue[len(left):])
	c.queue = left
	for i := range out {
		out[i].Queue = len(left)
	}
	return out
}

// order sorts the queue: what can still meet its target first, then by
// priority, then those that came back, then by target.
func (c *Core) order(now Instant) {
	slices.SortStableFunc(c.queue, func(a, b *waiting) int {
		return cmp.Or(
			compareBool(b.timely(now), a.timely(now)),
			cmp.Compare(a.Priority, b.Priority),
			compareBool(b.Returned, a.Returned),
			cmp.Compare(a.Target, b.Target))
	})
}

// timely reports whether the request can still be answered within its target.
func (w *waiting) timely(now Instant) bool { return now.Add(w.Work) <= w.Target }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// decide finds a server for the request, rejects it, or leaves it waiting.
func (c *Core) decide(now Instant, w *waiting, ahead map[string]time.Duration, total time.Duration) (Decision, bool) {
	d := Decision{ID: w.ID, Waited: now.Sub(w.asked)}
	if c.owner != nil && w.Position >= 0 {
		return c.decideOwned(now, w, d, ahead)
	}
	best, usable := c.best(now, w)
	if best != nil {
		return c.send(now, w, best, d), true
	}
	if usable == 0 {
		return reject(d, ReasonNoServer, retryAfterMin*4), true
	}
	wait := c.drainTime(now, total)
	end := now.Add(wait + c.serviceTime(now, w))
	if end > w.Deadline || end > w.Target && c.offered.now(now) > fullLoad*c.capacity(now) {
		return reject(d, ReasonOverload, wait), true
	}
	return d, false
}

func (c *Core) decideOwned(now Instant, w *waiting, d Decision, ahead map[string]time.Duration) (Decision, bool) {
	state := c.owner(w.Position)
	s := c.servers[state.Server]
	if state.Moving || s == nil || slices.Contains(w.Exclude, state.Server) && s.pausedTo > now {
		if now.Add(state.Wait+w.Work) > w.Deadline || (!state.Moving && s == nil && state.Wait == 0) {
			return reject(d, ReasonNoOwner, state.Wait), true
		}
		return d, false
	}
	speed := s.effectiveSpeed(now)
	service := time.Duration(float64(w.Work) / speed)
	if c.hasRoom(s) && now >= s.pausedTo {
		return c.send(now, w, s, d), true
	}
	queued := ahead[s.ID]
	ahead[s.ID] = queued + w.Work
	wait := time.Duration(float64(queued+w.Work/2) / (speed * float64(s.Slots) * c.share))
	wait = max(wait, s.pausedTo.Sub(now))
	end := now.Add(wait + service)
	if end > w.Deadline || end > w.Target && s.offered.now(now) > fullLoad*speed*float64(s.Slots)*c.share {
		return reject(d, ReasonOverload, wait), true
	}
	return d, false
}

func reject(d Decision, reason Reason, wait time.Duration) Decision {
	d.Reason, d.RetryAfter = reason, max(wait, retryAfterMin)
	return d
}

func (c *Core) send(now Instant, w *waiting, s *server, d Decision) Decision {
	s.links.taken(w.From)
	c.sent[w.ID] = sending{server: s.ID, from: w.From, at: now, work: w.Work, crowded: s.inflight >= s.Slots}
	s.inflight++
	s.triedAt = now
	d.Server, d.Speed, d.Crowded = s.ID, s.effectiveSpeed(now), s.inflight > s.Slots
	return d
}

// hasRoom reports whether the server may get one more request.
func (c *Core) hasRoom(s *server) bool {
	return s.inflight < max(int(math.Ceil(float64(s.Slots)*c.share)), 1)+c.extra
}

// best returns the server with room at which the request is expected to end
// first, and how many servers may get it at all.
func (c *Core) best(now Instant, w *waiting) (*server, int) {
	ejected := 0
	for _, s := range c.sorted {
		if s.failures > ejectRate {
			ejected++
		}
	}
	mayEject := float64(ejected) <= maxEjected*float64(len(c.sorted))
	var best *server
	bestCost := math.Inf(1)
	usable := 0
	for _, s := range c.sorted {
		if slices.Contains(w.Exclude, s.ID) {
			continue
		}
		usable++
		if now < s.pausedTo || !c.hasRoom(s) {
			continue
		}
		if mayEject && s.failures > ejectRate && (now.Sub(s.triedAt) < trialInterval || !w.Repeatable) {
			continue
		}
		if cost := c.cost(now, w, s); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, usable
}

// cost is the expected time of the request at the server in seconds, made
// longer by what else speaks against it.
func (c *Core) cost(now Instant, w *waiting, s *server) float64 {
	work := max(w.Work, time.Millisecond).Seconds()
	busy := float64(s.inflight) / max(float64(s.Slots)*c.share, 0.1)
	cost := work / s.effectiveSpeed(now) * (1 + 0.35*busy)
	if busy >= 1 {
		cost += work / s.effectiveSpeed(now) * (busy - 0.5)
	}
	cost /= max(1-s.failures, 0.05)
	if s.Zone != w.Zone {
		cost += w.AnswerBytes * zoneCostPerByte.Seconds()
	}
	if !s.links.idle(now, w.From, w.Repeatable) {
		cost += newConnectionCost.Seconds()
	}
	if c.share < 1 {
		// An exponential variate over the cost picks each server with a
		// probability proportional to the inverse of its cost.
		cost *= -math.Log(uniform(w.Salt, s.ID))
	}
	return cost
}

// uniform returns a number in (0, 1) that depends on salt and name only.
func uniform(salt uint64, name string) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	_, _ = digest.WriteString(name) // never fails
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}

// drainTime estimates when the queued work before a request has found servers.
func (c *Core) drainTime(now Instant, queued time.Duration) time.Duration {
	return time.Duration(float64(queued) / max(c.capacity(now), 0.1))
}

// capacity is the work per second of the servers that can be used now.
func (c *Core) capacity(now Instant) float64 {
	capacity := 0.0
	for _, s := range c.sorted {
		if now >= s.pausedTo && s.failures <= ejectRate {
			capacity += s.effectiveSpeed(now) * float64(s.Slots) * c.share
		}
	}
	return capacity
}

// serviceTime estimates the time at a server of mean speed.
func (c *Core) serviceTime(now Instant, w *waiting) time.Duration {
	sum := 0.0
	for _, s := range c.sorted {
		sum += s.effectiveSpeed(now)
	}
	return time.Duration(float64(w.Work) * float64(len(c.sorted)) / max(sum, 0.1))
}
