package control

import (
	"context"
	"fmt"
	"time"

	"github.com/cassiasill/cassiasill/internal/shards"
)

// fakeGrantClient sends the grants and releases of one host to the servers.
type fakeGrantClient struct {
	cluster *cluster
	from    string
}

// server returns the server at the address. If it can't be reached, server
// blocks until ctx ends.
func (o *fakeGrantClient) server(ctx context.Context, address string) (*fakeServer, error) {
	o.cluster.mu.Lock()
	s := o.cluster.servers[address]
	blocked := s == nil || !s.up || o.cluster.blockedLinks[[2]string{o.from, s.id}]
	o.cluster.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, &shards.GrantError{NotSent: true, Err: ctx.Err()}
	}
	time.Sleep(time.Millisecond)
	return s, nil
}

// randomDelay returns a delay and whether the call is delayed by it beyond its
// timeout.
func (o *fakeGrantClient) randomDelay() (time.Duration, bool) {
	o.cluster.mu.Lock()
	defer o.cluster.mu.Unlock()
	return time.Duration(2+o.cluster.delayRandom.IntN(10)) * time.Second, o.cluster.delayRandom.Float64() < o.cluster.delayedCallRate
}

func (o *fakeGrantClient) OpenSession(address string) Session {
	o.cluster.mu.Lock()
	defer o.cluster.mu.Unlock()
	o.cluster.sessions++
	o.cluster.sessionIncarnations[o.cluster.sessions] = 0 // set to an incarnation by the first grant
	return o.cluster.sessions
}

func (o *fakeGrantClient) Grant(ctx context.Context, address string, session Session, g shards.Grant) error {
	s, err := o.server(ctx, address)
	if err != nil {
		return err
	}
	o.cluster.mu.Lock()
	sessionIncarnation := o.cluster.sessionIncarnations[session]
	if sessionIncarnation == 0 {
		sessionIncarnation = s.incarnation
		o.cluster.sessionIncarnations[session] = sessionIncarnation
	}
	o.cluster.mu.Unlock()
	if sessionIncarnation != s.incarnation {
		return &shards.GrantError{NotSent: true, SessionEnded: true, Err: fmt.Errorf("the connection is closed")}
	}
	arrival, incarnation := time.Now(), s.incarnation
	if delay, delayed := o.randomDelay(); delayed {
		o.cluster.group.Go(func() {
			time.Sleep(delay)
			_ = o.cluster.applyGrant(s, incarnation, g, arrival)
		})
		<-ctx.Done()
		return &shards.GrantError{Err: ctx.Err()}
	}
	return o.cluster.applyGrant(s, incarnation, g, arrival)
}

// applyGrant applies a grant at a server. It records an error if another server
// holds the range or if the token is not higher than that of the previous
// owner.
func (c *cluster) applyGrant(s *fakeServer, incarnation int64, g shards.Grant, arrival time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.up || s.incarnation != incarnation {
		return &shards.GrantError{Err: fmt.Errorf("server incarnation has ended")}
	}
	for _, p := range sampledPositionsIn(g.From, g.To) {
		if s.highestTokens[p] > g.Token {
			c.rejectedGrants++
			return &shards.GrantError{StaleToken: true, Err: fmt.Errorf("higher token")}
		}
	}
	// The server's clock runs 2 % slow.
	until := arrival.Add(time.Duration(float64(g.TTL) * 1.02))
	if until.Before(time.Now()) {
		return nil
	}
	for _, p := range sampledPositionsIn(g.From, g.To) {
		for _, other := range c.servers {
			if other != s && other.up && other.grants[p].until.After(time.Now()) {
				c.errors = append(c.errors, fmt.Sprintf("%s: position %d of %s given to %s", time.Since(c.startedAt), p, other.id, s.id))
			}
		}
		if incarnation := fmt.Sprintf("%s/%d", s.id, s.incarnation); c.holders[p] != incarnation {
			if g.Token <= c.highestTokens[p] {
				c.errors = append(c.errors, fmt.Sprintf("%s: position %d: token %d for %s after %d for %s", time.Since(c.startedAt), p, g.Token, incarnation, c.highestTokens[p], c.holders[p]))
			}
			c.holders[p] = incarnation
		}
		c.highestTokens[p] = max(c.highestTokens[p], g.Token)
		s.highestTokens[p] = g.Token
		s.grants[p].token, s.grants[p].until = g.Token, until
	}
	return nil
}

func (o *fakeGrantClient) Release(ctx context.Context, address string, from, to uint16, token int64) (string, error) {
	s, err := o.server(ctx, address)
	if err != nil {
		return "", err
	}
	apply := func() {
		o.cluster.mu.Lock()
		defer o.cluster.mu.Unlock()
		for _, p := range sampledPositionsIn(from, to) {
			s.grants[p].until = time.Time{}
			s.highestTokens[p] = max(s.highestTokens[p], token)
		}
	}
	if delay, delayed := o.randomDelay(); delayed {
		o.cluster.group.Go(func() {
			time.Sleep(delay)
			apply()
		})
		<-ctx.Done()
		return "", &shards.GrantError{Err: ctx.Err()}
	}
	apply()
	return "handover", nil
}
