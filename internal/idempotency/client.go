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
	// replicaCount is the number of hosts that hold each claim.
	replicaCount = 2
	// reserveTimeout bounds one call to a replica host. A healthy one responds
	// within a round trip between availability zones.
	reserveTimeout = 300 * time.Millisecond
	// MaxReplayBytes is the size of the largest response body that is stored
	// for a replay.
	MaxReplayBytes = 8 << 10
	// maxTotalResponseBytes bounds the memory of all stored responses of one
	// host.
	maxTotalResponseBytes = 16 << 20
	// responseOverheadBytes is the assumed size of a stored response without
	// its body.
	responseOverheadBytes = 1 << 10
)

// Response is a complete response that is stored for a replay.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is what to do with a request that carries a key.
type Decision struct {
	// Proceed is set if the request may be sent. Finish must then be called.
	Proceed bool
	// Response is the stored response of the request that was executed, if
	// there is one.
	Response *Response
	// Outcome and RequestID describe the request that holds the key.
	Outcome   Outcome
	RequestID string
}

// localClaim is a claim made through this host.
type localClaim struct {
	claim    Claim
	done     chan struct{} // closed when the outcome is known
	response *Response     // set before done is closed, nil if no response is stored
	element  *list.Element // element of Client.responses, set if response is set
	storedAt time.Time
}

// Client claims keys for the requests that arrive at one host.
type Client struct {
	reserver Reserver
	hosts    func() []topology.HostName

	mu            sync.Mutex
	claims        map[claimKey]*localClaim
	responses     *list.List // of claimKey, oldest response first
	responseBytes int
}

// NewClient returns a client. The function hosts returns the live hosts, this
// one included.
func NewClient(reserver Reserver, hosts func() []topology.HostName) *Client {
	return &Client{reserver: reserver, hosts: hosts, claims: make(map[claimKey]*localClaim), responses: list.New()}
}

// Claim claims a key for a request. While another request with the key is in
// flight through this host, it waits until that request ends or ctx ends. An
// error of kind bad-request means that the key belongs to a different request.
// After any other error the request was not sent and may be sent again.
func (c *Client) Claim(ctx context.Context, claim Claim) (Decision, error) {
	n := claimKey{claim.Caller, claim.Key}
	for {
		c.mu.Lock()
		c.evictExpired(time.Now())
		l := c.claims[n]
		if l == nil {
			l = &localClaim{claim: claim, done: make(chan struct{}), storedAt: time.Now()}
			c.claims[n] = l
			c.mu.Unlock()
			decision, err := c.reserveOnReplicas(ctx, claim)
			if err != nil || !decision.Proceed {
				c.abandonClaim(n, l)
			}
			return decision, err
		}
		c.mu.Unlock()
		if l.claim.Fingerprint != claim.Fingerprint {
			return Decision{}, keyReusedError()
		}
		select {
		case <-l.done:
			if l.response != nil {
				return Decision{Response: l.response, Outcome: OutcomeExecuted, RequestID: l.claim.RequestID}, nil
			}
		case <-ctx.Done():
			return Decision{RequestID: l.claim.RequestID}, nil
		}
	}
}

func keyReusedError() error {
	return apierror.New(apierror.KindBadRequest, "the idempotency key was used for another request")
}

// abandonClaim removes a local claim. Requests that wait for it then claim the
// key themselves.
func (c *Client) abandonClaim(n claimKey, l *localClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims[n] == l {
		delete(c.claims, n)
	}
	close(l.done)
}

// reserveOnReplicas places the claim on the replica hosts. The order is the
// same for all requests, so that of two concurrent requests at most one obtains
// both.
func (c *Client) reserveOnReplicas(ctx context.Context, claim Claim) (Decision, error) {
	var granted []topology.HostName
	var lastErr error
	for _, host := range ReplicaHosts(c.hosts(), claim.Caller, claim.Key) {
		reply, err := c.reserveOn(ctx, host, claim)
		if ctx.Err() != nil {
			c.release(ctx, append(granted, host), claim)
			return Decision{}, apierror.Wrap(apierror.KindDeadlineUnreachable, ctx.Err(), "the request ended while its key was claimed")
		}
		if err != nil {
			lastErr = err
			continue
		}
		if reply.Claimed {
			granted = append(granted, host)
			continue
		}
		c.release(ctx, granted, claim)
		if reply.FingerprintDiffers {
			return Decision{}, keyReusedError()
		}
		// Restores the claim at a replica that has lost it, as after a restart.
		claim.RequestID, claim.Outcome = reply.RequestID, reply.Outcome
		for _, g := range granted {
			_, _ = c.reserveOn(ctx, g, claim) // if it fails, the other replica alone holds the claim
		}
		return Decision{Outcome: reply.Outcome, RequestID: reply.RequestID}, nil
	}
	if len(granted) == 0 {
		return Decision{}, apierror.Wrap(apierror.KindStaleHost, lastErr, "no keeper of the idempotency key can be reached")
	}
	return Decision{Proceed: true}, nil
}

// release withdraws the claim of a request that will not be sent, so that it
// does not block the key.
func (c *Client) release(ctx context.Context, hosts []topology.HostName, claim Claim) {
	claim.Outcome = OutcomeNotExecuted
	for _, host := range hosts {
		// If the call fails, the outcome of the claim becomes unknown, which is
		// safe.
		_, _ = c.reserveOn(context.WithoutCancel(ctx), host, claim)
	}
}

func (c *Client) reserveOn(ctx context.Context, host topology.HostName, claim Claim) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return c.reserver.Reserve(ctx, host, claim)
}

// Finish reports the outcome of a request whose decision was Proceed. A
// complete response of limited size is stored for a replay. The ctx should
// outlast the request.
func (c *Client) Finish(ctx context.Context, claim Claim, outcome Outcome, response *Response) {
	claim.Outcome = outcome
	for _, host := range ReplicaHosts(c.hosts(), claim.Caller, claim.Key) {
		// If the call fails, the outcome of the claim becomes unknown, which is
		// safe.
		_, _ = c.reserveOn(ctx, host, claim)
	}
	n := claimKey{claim.Caller, claim.Key}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.claims[n]
	if l == nil || l.claim.RequestID != claim.RequestID {
		return
	}
	if outcome == OutcomeExecuted && response != nil && len(response.Body) <= MaxReplayBytes {
		l.response, l.storedAt = response, time.Now()
		l.element = c.responses.PushBack(n)
		c.responseBytes += len(response.Body) + responseOverheadBytes
		for c.responseBytes > maxTotalResponseBytes {
			c.evictResponse(c.responses.Front().Value.(claimKey))
		}
	} else {
		// The replicas know the outcome. Requests that wait here get it from
		// them.
		delete(c.claims, n)
	}
	close(l.done)
}

func (c *Client) evictExpired(now time.Time) {
	for e := c.responses.Front(); e != nil; e = c.responses.Front() {
		n := e.Value.(claimKey)
		if now.Sub(c.claims[n].storedAt) < ClaimTTL {
			return
		}
		c.evictResponse(n)
	}
}

// evictResponse removes a stored response and its claim.
func (c *Client) evictResponse(n claimKey) {
	l := c.claims[n]
	c.responseBytes -= len(l.response.Body) + responseOverheadBytes
	c.responses.Remove(l.element)
	delete(c.claims, n)
}

// ReplicaHosts returns the hosts that hold the claim of a key, in the order in
// which they are called.
func ReplicaHosts(hosts []topology.HostName, caller topology.Caller, key string) []topology.HostName {
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
	return sorted[:min(replicaCount, len(sorted))]
}
