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
	if c.lines.size == 0 {
		return nil
	}
	c.lines.arrange(c.lineOf)
	var out []Decision
	for _, name := range c.lines.names() {
		out = append(out, c.decideLine(now, name)...)
	}
	return out
}

// lineOf returns the line of a request: that of its key's owner, if it has one.
func (c *Core) lineOf(w *waiting) string {
	if c.owner == nil || w.Position < 0 {
		return anyServer
	}
	state := c.owner(w.Position)
	if state.Moving || c.servers[state.Server] == nil {
		return noServer
	}
	return state.Server
}

// decideLine takes every decision about one line that can be taken now.
func (c *Core) decideLine(now Instant, name string) []Decision {
	queue := c.lines.queues[name]
	if len(queue) == 0 {
		return nil
	}
	order(queue, now)
	p := pass{now: now}
	if name == anyServer {
		p = c.survey(now)
	}
	var out []Decision
	left := queue[:0]
	var ahead time.Duration // work queued before
	for _, w := range queue {
		decision, done := c.decide(&p, w, ahead)
		if done {
			out = append(out, decision)
			continue
		}
		ahead += w.Work
		left = append(left, w)
	}
	c.lines.replace(name, left, len(queue))
	for i := range out {
		out[i].Queue = c.lines.size
	}
	return out
}

// pass is what holds for all requests of one line at one moment.
type pass struct {
	now Instant
	// capacity is the work per second of the servers that can be used now, and
	// meanSpeed that of all servers.
	capacity, meanSpeed float64
	// free holds the servers that may get a request now.
	free []*server
	// mayEject is true if servers that fail much may be left out.
	mayEject bool
}

// survey looks at all servers once for a line.
func (c *Core) survey(now Instant) pass {
	p := pass{now: now}
	ejected := 0
	for _, s := range c.sorted {
		speed := s.effectiveSpeed(now)
		p.meanSpeed += speed
		if s.failures > ejectRate {
			ejected++
		}
		if now < s.pausedTo {
			continue
		}
		if s.failures <= ejectRate {
			p.capacity += speed * float64(s.Slots) * c.share
		}
		if c.hasRoom(s) {
			p.free = append(p.free, s)
		}
	}
	p.meanSpeed /= max(float64(len(c.sorted)), 1)
	p.mayEject = float64(ejected) <= maxEjected*float64(len(c.sorted))
	return p
}

// order sorts a line: what can still meet its target first, then by priority,
// then those that came back, then by target.
func order(queue []*waiting, now Instant) {
	if len(queue) < 2 {
		return
	}
	slices.SortStableFunc(queue, func(a, b *waiting) int {
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

// decide finds a server for the request, rejects it, or leaves it waiting. Ahead
// is the work that waits before it.
func (c *Core) decide(p *pass, w *waiting, ahead time.Duration) (Decision, bool) {
	d := Decision{ID: w.ID, Waited: p.now.Sub(w.asked)}
	if c.owner != nil && w.Position >= 0 {
		return c.decideOwned(p.now, w, d, ahead)
	}
	if best := c.best(p, w); best != nil {
		d = c.send(p.now, w, best, d)
		if !c.hasRoom(best) {
			p.free = slices.DeleteFunc(p.free, func(s *server) bool { return s == best })
		}
		return d, true
	}
	if c.usable(w) == 0 {
		return reject(d, ReasonNoServer, retryAfterMin*4), true
	}
	wait := time.Duration(float64(ahead) / max(p.capacity, minCapacity))
	end := p.now.Add(wait + time.Duration(float64(w.Work)/max(p.meanSpeed, minCapacity)))
	if end > w.Deadline || end > w.Target && c.offered.now(p.now) > fullLoad*p.capacity {
		return reject(d, ReasonOverload, wait), true
	}
	return d, false
}

func (c *Core) decideOwned(now Instant, w *waiting, d Decision, ahead time.Duration) (Decision, bool) {
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
	wait := time.Duration(float64(ahead+w.Work/2) / (speed * float64(s.Slots) * c.share))
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

// best returns the free server at which the request is expected to end first,
// nil if none may get it.
func (c *Core) best(p *pass, w *waiting) *server {
	var best *server
	bestCost := math.Inf(1)
	for _, s := range p.free {
		if slices.Contains(w.Exclude, s.ID) {
			continue
		}
		if p.mayEject && s.failures > ejectRate && (p.now.Sub(s.triedAt) < trialInterval || !w.Repeatable) {
			continue
		}
		if cost := c.cost(p.now, w, s); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// usable returns how many servers may get the request at all.
func (c *Core) usable(w *waiting) int {
	left := len(c.sorted)
	for _, id := range w.Exclude {
		if c.servers[id] != nil {
			left--
		}
	}
	return left
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
		spare := spareTimeShare * (w.Target.Sub(now) - w.Work).Seconds()
		cost += max(newConnectionCost.Seconds(), spare)
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
