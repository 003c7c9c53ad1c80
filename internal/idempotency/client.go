package idempotency

import (
	"cmp"
	"container/list"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// keepers is how many hosts hold a claim.
	keepers = 2
	// reserveTimeout bounds one call to a keeper; a healthy one answers within
	// a round trip between availability zones.
	reserveTimeout = 300 * time.Millisecond
	// MaxAnswerBytes is the largest answer that is kept for a replay.
	MaxAnswerBytes = 8 << 10
	// maxKeptBytes bounds all kept answers of one host.
	maxKeptBytes = 16 << 20
	// answerOverhead is what a kept answer is taken to hold besides its body.
	answerOverhead = 1 << 10
)

// Answer is a whole answer that was kept for a replay.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision tells what to do with a request that carries a key.
type Decision struct {
	// Run is set if the request may be sent; Finish must then be called.
	Run bool
	// Answer is the kept answer of the request that ran, if there is one.
	Answer *Answer
	// Outcome and RequestID tell of the request that holds the key.
	Outcome   Outcome
	RequestID string
}

// local is a claim made through this host.
type local struct {
	claim   Claim
	done    chan struct{} // closed when the outcome is known
	answer  *Answer       // set before done is closed
	element *list.Element // place in kept, if answer is set
	at      time.Time
}

// Client claims keys for the requests of one host.
type Client struct {
	keeper Keeper
	hosts  func() []topology.HostName

	mu     sync.Mutex
	claims map[name]*local
	kept   *list.List // of name, oldest answer first
	bytes  int
}

// NewClient returns a client. Hosts returns the live hosts, this one included.
func NewClient(keeper Keeper, hosts func() []topology.HostName) *Client {
	return &Client{keeper: keeper, hosts: hosts, claims: make(map[name]*local), kept: list.New()}
}

// Claim claims a key for a request. While another request with the key is in
// flight through this host, it waits for its end or for ctx. The error is of
// kind bad-request if the key belongs to another request, else the request was
// not sent and may be resent.
func (c *Client) Claim(ctx context.Context, claim Claim) (Decision, error) {
	n := name{claim.Caller, claim.Key}
	for {
		c.mu.Lock()
		c.expire(time.Now())
		l := c.claims[n]
		if l == nil {
			l = &local{claim: claim, done: make(chan struct{}), at: time.Now()}
			c.claims[n] = l
			c.mu.Unlock()
			decision, err := c.reserve(ctx, claim)
			if err != nil || !decision.Run {
				c.drop(n, l)
			}
			return decision, err
		}
		c.mu.Unlock()
		if l.claim.Fingerprint != claim.Fingerprint {
			return Decision{}, differs()
		}
		select {
		case <-l.done:
			if l.answer != nil {
				return Decision{Answer: l.answer, Outcome: OutcomeExecuted, RequestID: l.claim.RequestID}, nil
			}
		case <-ctx.Done():
			return Decision{RequestID: l.claim.RequestID}, nil
		}
	}
}

func differs() error {
	return apierror.New(apierror.KindBadRequest, "the idempotency key was used for another request")
}

// drop removes a local claim and lets those that wait for it ask again.
func (c *Client) drop(n name, l *local) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims[n] == l {
		delete(c.claims, n)
	}
	close(l.done)
}

// reserve places the claim on the keepers, always in the same order, so that
// of two requests at most one gets both.
func (c *Client) reserve(ctx context.Context, claim Claim) (Decision, error) {
	var granted []topology.HostName
	var last error
	for _, host := range Keepers(c.hosts(), claim.Caller, claim.Key) {
		reply, err := c.call(ctx, host, claim)
		if ctx.Err() != nil {
			c.release(ctx, append(granted, host), claim)
			return Decision{}, apierror.Wrap(apierror.KindDeadline, ctx.Err(), "the request ended while its key was claimed")
		}
		if err != nil {
			last = err
			continue
		}
		if reply.Claimed {
			granted = append(granted, host)
			continue
		}
		c.release(ctx, granted, claim)
		if reply.FingerprintDiffers {
			return Decision{}, differs()
		}
		// A keeper that had lost the claim learns it again from the other.
		claim.RequestID, claim.Outcome = reply.RequestID, reply.Outcome
		for _, g := range granted {
			_, _ = c.call(ctx, g, claim) // without it, the other keeper holds the claim alone
		}
		return Decision{Outcome: reply.Outcome, RequestID: reply.RequestID}, nil
	}
	if len(granted) == 0 {
		return Decision{}, apierror.Wrap(apierror.KindStale, last, "no keeper of the idempotency key can be reached")
	}
	return Decision{Run: true}, nil
}

// release gives back a claim of a request that will not run, so that it
// doesn't block the key.
func (c *Client) release(ctx context.Context, hosts []topology.HostName, claim Claim) {
	claim.Outcome = OutcomeNotExecuted
	for _, host := range hosts {
		// A lost call leaves the claim to end as unknown, which is safe.
		_, _ = c.call(context.WithoutCancel(ctx), host, claim)
	}
}

func (c *Client) call(ctx context.Context, host topology.HostName, claim Claim) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return c.keeper.Reserve(ctx, host, claim)
}

// Finish reports the outcome of a request that Claim let run. A small whole
// answer is kept for a replay. ctx should not end with the request.
func (c *Client) Finish(ctx context.Context, claim Claim, outcome Outcome, answer *Answer) {
	claim.Outcome = outcome
	for _, host := range Keepers(c.hosts(), claim.Caller, claim.Key) {
		// Without the report the claim ends as unknown, which is safe.
		_, _ = c.call(ctx, host, claim)
	}
	n := name{claim.Caller, claim.Key}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.claims[n]
	if l == nil || l.claim.RequestID != claim.RequestID {
		return
	}
	if outcome == OutcomeExecuted && answer != nil && len(answer.Body) <= MaxAnswerBytes {
		l.answer, l.at = answer, time.Now()
		l.element = c.kept.PushBack(n)
		c.bytes += len(answer.Body) + answerOverhead
		for c.bytes > maxKeptBytes {
			c.forget(c.kept.Front().Value.(name))
		}
	} else {
		// The keepers know the outcome; what waits here asks them.
		delete(c.claims, n)
	}
	close(l.done)
}

func (c *Client) expire(now time.Time) {
	for e := c.kept.Front(); e != nil; e = c.kept.Front() {
		n := e.Value.(name)
		if now.Sub(c.claims[n].at) < KeepFor {
			return
		}
		c.forget(n)
	}
}

// forget drops a kept answer.
func (c *Client) forget(n name) {
	l := c.claims[n]
	c.bytes -= len(l.answer.Body) + answerOverhead
	c.kept.Remove(l.element)
	delete(c.claims, n)
}

// Keepers returns the hosts that hold the claims on a key, in the order in
// which they are asked.
func Keepers(hosts []topology.HostName, caller topology.Caller, key string) []topology.HostName {
	weight := func(host topology.HostName) uint64 {
		d := xxhash.New()
		for _, field := range []string{string(host), string(caller), key} {
			_, _ = d.WriteString(field) // never fails
			_, _ = d.Write([]byte{0})
		}
		return d.Sum64()
	}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b topology.HostName) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return sorted[:min(keepers, len(sorted))]
}
