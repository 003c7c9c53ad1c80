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

// check returns an error if the server is not the one that a call is meant for.
func (c *cluster) check(s *fakeServer, meant GrantServer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ignoresIdentity || s.id == meant.ID {
		return nil
	}
	c.misdirected++
	return &shards.GrantError{NotSent: true, Misdirected: true, OtherServer: s.id, Err: fmt.Errorf("server %s is at %s", s.id, s.address)}
}

func (o *fakeGrantClient) OpenSession(server GrantServer) Session {
	return &fakeSession{client: o, server: server}
}

// fakeSession is a connection to one incarnation of a server. One goroutine uses it.
type fakeSession struct {
	client      *fakeGrantClient
	server      GrantServer
	incarnation int64 // at the other end; 0 before the first grant
	ended       bool
}

func (f *fakeSession) Close() {}

func (f *fakeSession) Verify(ctx context.Context) error {
	s, err := f.client.server(ctx, f.server.Address)
	if err != nil {
		return err
	}
	return f.client.cluster.check(s, f.server)
}

func (f *fakeSession) Grant(ctx context.Context, g shards.Grant) error {
	o := f.client
	s, err := o.server(ctx, f.server.Address)
	if err != nil {
		return err
	}
	if err := o.cluster.check(s, f.server); err != nil {
		return err
	}
	if f.incarnation == 0 {
		f.incarnation = s.incarnation
	}
	if f.ended || f.incarnation != s.incarnation {
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
	err = o.cluster.applyGrant(s, incarnation, g, arrival)
	o.cluster.mu.Lock()
	defer o.cluster.mu.Unlock()
	if o.cluster.closingRate > 0 && o.cluster.delayRandom.Float64() < o.cluster.closingRate {
		if f.ended = !o.cluster.redials; o.cluster.redials {
			f.incarnation = 0
		}
	}
	return err
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
	history := c.historyOf(s.service)
	for _, p := range sampledPositionsIn(g.From, g.To) {
		for _, other := range c.servers {
			if other != s && other.service == s.service && other.up && other.grants[p].until.After(time.Now()) {
				c.errors = append(c.errors, fmt.Sprintf("%s: position %d of %s given to %s", time.Since(c.startedAt), p, other.id, s.id))
			}
		}
		if incarnation := fmt.Sprintf("%s/%d", s.id, s.incarnation); history.holders[p] != incarnation {
			if g.Token <= history.highestTokens[p] {
				c.errors = append(c.errors, fmt.Sprintf("%s: position %d: token %d for %s after %d for %s", time.Since(c.startedAt), p, g.Token, incarnation, history.highestTokens[p], history.holders[p]))
			}
			history.holders[p] = incarnation
		}
		history.highestTokens[p] = max(history.highestTokens[p], g.Token)
		s.highestTokens[p] = g.Token
		s.grants[p].token, s.grants[p].until = g.Token, until
	}
	return nil
}

func (o *fakeGrantClient) Release(ctx context.Context, server GrantServer, from, to uint16, token int64) (string, error) {
	s, err := o.server(ctx, server.Address)
	if err != nil {
		return "", err
	}
	if err := o.cluster.check(s, server); err != nil {
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
