package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Instant is a reading of a monotonic clock; only differences have a meaning.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// NoPosition is the position of a request without a key.
const NoPosition = -1

// Ask is one request that wants a server.
type Ask struct {
	ID       uint64
	Service  string
	Position int // of its key, or NoPosition
	Priority int // 0 is the most urgent
	// Returned is true if the caller was rejected before and has come back.
	Returned   bool
	Repeatable bool
	// From numbers the host that will send the request; connections are its own.
	From uint64
	// Zone is where the answer goes; AnswerBytes is its expected size.
	Zone        string
	AnswerBytes float64
	// Target and Deadline are when the answer has its full worth and when the
	// caller gives up.
	Target   Instant
	Deadline Instant
	// Work is the expected time at a server of speed 1.
	Work time.Duration
	// Exclude lists servers that have failed this request.
	Exclude []string
	// Salt is a random number. A Core with a share spreads its choices by it,
	// because it does not see what others send to the best server.
	Salt uint64
}

// Reason tells why a request was rejected.
type Reason string

// The reasons.
const (
	ReasonOverload Reason = "overload" // can't be served before its deadline
	ReasonNoServer Reason = "no-server"
	ReasonNoOwner  Reason = "no-owner" // its key has no usable owner
)

// Decision is the end of one Ask: a server or a rejection.
type Decision struct {
	ID         uint64
	Server     string // empty: rejected
	Reason     Reason
	RetryAfter time.Duration
	// Waited is the time from Ask to the decision; Queue is how many requests
	// of the service still wait.
	Waited time.Duration
	Queue  int
	// Speed is the server's at the time of the decision, and Crowded is true
	// if it had no free slot.
	Speed   float64
	Crowded bool
}

// Server describes a server to the Core.
type Server struct {
	ID    string
	Zone  string
	Slots int
	// Speed is the known speed relative to the service's mean; 0 if unknown.
	Speed float64
	// Warmup is how long it stays slow from now on; only used when new.
	Warmup time.Duration
}

// Outcome tells the Core how a request ended at a server.
type Outcome uint8

// The outcomes.
const (
	Succeeded   Outcome = iota
	Failed              // an answer that is a failure, or a broken one
	Shed                // refused for load
	Unreachable         // nothing could be sent
	Abandoned           // the caller left; says nothing of the server
)

// OwnerState tells what is known of a position's owner.
type OwnerState struct {
	Server string
	// Moving is true while the position goes from one server to another.
	Moving bool
	// Wait estimates how long the position stays without a usable owner.
	Wait time.Duration
}

// Settings of the decisions.
const (
	// zoneCostPerByte is the delay that sending one byte of an answer between
	// availability zones is worth avoiding; a large answer is worth the wait of
	// about a quarter of its target.
	zoneCostPerByte = 700 * time.Nanosecond
	// newConnectionCost is the delay that a new connection is worth avoiding: it
	// takes two round trips and the time of the server, which all callers share.
	newConnectionCost = 40 * time.Millisecond
	// spareTimeShare is the part of the time left beyond the expected work that
	// avoiding a new connection may take: callers lose nothing while the answer
	// is still in time.
	spareTimeShare = 0.2
	// speedWeight is the weight of one sample in a server's speed.
	speedWeight = 0.05
	// priorSamples is the weight of an assumed speed, maxSample bounds one sample
	// relative to its work, and typicalWork is the work of an assumed sample.
	priorSamples = 4
	maxSample    = 10
	typicalWork  = 100 * time.Millisecond
	// failureWeight is the weight of one result in a server's failure rate.
	failureWeight = 0.2
	// minOwnSamples is how many samples make a Core believe its own.
	minOwnSamples = 8
	// minSpeed and maxSpeed bound what samples can say.
	minSpeed, maxSpeed = 0.08, 4.0
	// unreachableFirst and unreachableMost bound how long a server is left
	// alone that could not be reached.
	unreachableFirst, unreachableMost = 250 * time.Millisecond, 2 * time.Second
	// shedPause is how long a server is left alone that refused for load.
	shedPause = 40 * time.Millisecond
	// ejectRate is the failure rate from which a server gets only trial
	// requests, one each trialInterval.
	ejectRate     = 0.6
	trialInterval = 400 * time.Millisecond
	// maxEjected is the largest share of servers that is left out at a time;
	// beyond it the rest would be overloaded.
	maxEjected = 0.4
	// loadWindow is the window of the offered load, and fullLoad the load over
	// capacity from which only requests are accepted that can meet their target:
	// others would wait until their deadline for nothing.
	loadWindow = time.Second
	fullLoad   = 0.92
	// coldFactor is the speed of a server during its warmup.
	coldFactor = 0.5
	// minCapacity keeps estimates finite while no server is usable.
	minCapacity = 0.1
	// retryAfterMin is the shortest advice to a rejected caller: the wait must
	// let some of the queue drain.
	retryAfterMin = 50 * time.Millisecond
)

// offered measures the work that is asked for per second, served or not.
type offered struct {
	rate float64 // seconds of work per second
	at   Instant
}

func (o *offered) add(now Instant, work time.Duration) {
	o.rate = o.now(now) + work.Seconds()/loadWindow.Seconds()
	o.at = now
}

func (o *offered) now(now Instant) float64 {
	return o.rate * math.Exp(-now.Sub(o.at).Seconds()/loadWindow.Seconds())
}

// server is the state of one server.
type server struct {
	Server
	inflight int
	speed    float64
	samples  float64
	expected float64 // mean seconds of work at speed 1
	observed float64 // mean seconds that it took
	failures float64 // rate
	backoff  time.Duration
	pausedTo Instant
	triedAt  Instant
	warmTo   Instant
	offered  offered // by requests for its keys
	links    links
}

func (s *server) effectiveSpeed(now Instant) float64 {
	v := s.speed
	if now < s.warmTo {
		v *= coldFactor
	}
	return max(v, minSpeed)
}

// waiting is a queued request.
type waiting struct {
	Ask
	asked Instant
}

// Core decides for the requests of one service.
type Core struct {
	// share is the part of each server's slots that this Core may use, 1 if it
	// sees all requests; extra is how many requests beyond the slots a server
	// may hold.
	share float64
	extra int
	// owner tells the owner of a position; nil if the service has no keys.
	owner   func(position int) OwnerState
	servers map[string]*server
	sorted  []*server // by ID, so that decisions do not depend on map order
	lines   lines
	sent    map[uint64]sending
	offered offered
}

type sending struct {
	server string
	from   uint64
	at     Instant
	work   time.Duration
	// crowded is true if the server had no free slot when the request was sent.
	crowded bool
}

// NewCore returns a Core for one service. Owner is nil if servers own no keys.
func NewCore(share float64, extra int, owner func(position int) OwnerState) *Core {
	return &Core{share: share, extra: extra, owner: owner, servers: make(map[string]*server), lines: newLines(), sent: make(map[uint64]sending)}
}

// SetShare changes the part of the slots that the Core may use.
func (c *Core) SetShare(share float64, extra int) { c.share, c.extra = share, extra }

// SetServers replaces the list of usable servers and returns the decisions that
// follow. What runs at a server that is left out ends as usual.
func (c *Core) SetServers(now Instant, list []Server) []Decision {
	next := make(map[string]*server, len(list))
	for _, d := range list {
		s := c.servers[d.ID]
		if s == nil {
			s = &server{warmTo: now.Add(d.Warmup)}
			s.assume(1, typicalWork)
		}
		// What is told of a server's speed is older than what this Core has
		// measured itself.
		if d.Speed > 0 && d.Speed != s.Speed && (c.share < 1 || s.samples < minOwnSamples) {
			s.assume(d.Speed, typicalWork)
		}
		s.Server = d
		next[d.ID] = s
	}
	c.servers = next
	c.sorted = c.sorted[:0]
	for _, s := range next {
		c.sorted = append(c.sorted, s)
	}
	slices.SortFunc(c.sorted, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return c.Tick(now)
}

// Ask queues the request and returns the decisions that follow, its own among
// them if it need not wait.
func (c *Core) Ask(now Instant, ask Ask) []Decision {
	c.offered.add(now, ask.Work)
	if s := c.ownerOf(ask); s != nil {
		s.offered.add(now, ask.Work)
	}
	w := &waiting{Ask: ask, asked: now}
	return c.decideLine(now, c.lines.add(c.lineOf(w), w))
}

// Cancel forgets a request that waits.
func (c *Core) Cancel(now Instant, id uint64) []Decision {
	c.lines.remove(id)
	return c.Tick(now)
}

// SetOwner replaces the function that tells the owner of a position and returns
// the decisions that follow.
func (c *Core) SetOwner(now Instant, owner func(position int) OwnerState) []Decision {
	c.owner = owner
	return c.Tick(now)
}

// Result is how a request ended at its server.
type Result struct {
	Outcome Outcome
	// Running and Waiting are what the server told of itself; HasLoad is false
	// if it told nothing.
	Running, Waiting int
	HasLoad          bool
}

// Done frees the place of a request and returns the decisions that follow.
func (c *Core) Done(now Instant, id uint64, result Result) []Decision {
	sent, ok := c.sent[id]
	if !ok {
		return nil
	}
	delete(c.sent, id)
	if s := c.servers[sent.server]; s != nil {
		s.inflight = max(s.inflight-1, 0)
		s.note(now, sent, result)
	}
	// The place is of use only to what waits for this server.
	return append(c.decideLine(now, sent.server), c.decideLine(now, anyServer)...)
}

func (s *server) note(now Instant, sent sending, result Result) {
	switch result.Outcome {
	case Abandoned:
		// A caller that leaves after a long time still shows that the server
		// is slow.
		if took := now.Sub(sent.at); sent.work > 0 && took > 3*sent.work {
			s.sample(sent.work, took)
		}
		return
	case Succeeded:
		s.failures *= 1 - failureWeight
		s.backoff = 0
		s.pausedTo = min(s.pausedTo, now)
		s.links.freed(now, sent.from)
		if !sent.crowded && (!result.HasLoad || result.Waiting == 0) && sent.work > 0 {
			s.sample(sent.work, now.Sub(sent.at))
		}
		return
	case Shed:
		s.pausedTo = now.Add(shedPause)
		s.failures += (1 - s.failures) * failureWeight / 2
		return
	case Unreachable:
		s.backoff = min(max(s.backoff*2, unreachableFirst), unreachableMost)
		s.pausedTo = now.Add(s.backoff)
	}
	s.failures += (1 - s.failures) * failureWeight
}

// sample takes one observation: the expected work took so long.
func (s *server) sample(work, took time.Duration) {
	// One very long request must not undo many normal ones.
	observed := min(took.Seconds(), maxSample*work.Seconds())
	s.samples++
	weight := max(speedWeight, 1/(s.samples+priorSamples))
	// The speed is a ratio of means. A mean of ratios would take the many short
	// requests of a skewed distribution for speed.
	s.expected += weight * (work.Seconds() - s.expected)
	s.observed += weight * (observed - s.observed)
	s.speed = min(max(s.expected/max(s.observed, 1e-6), minSpeed), maxSpeed)
}

// assume sets the speed to what is known from elsewhere.
func (s *server) assume(speed float64, work time.Duration) {
	s.speed = speed
	s.expected, s.observed = work.Seconds(), work.Seconds()/speed
}

// ownerOf returns the server that owns the request's key, nil if there is none.
func (c *Core) ownerOf(ask Ask) *server {
	if c.owner == nil || ask.Position < 0 {
		return nil
	}
	return c.servers[c.owner(ask.Position).Server]
}
