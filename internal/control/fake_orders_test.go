package control

import (
	"context"
	"fmt"
	"time"

	"github.com/cassiasill/cassiasill/internal/shards"
)

// fakeOrders carries orders of one host to the servers.
type fakeOrders struct {
	c    *cluster
	from string
}

func (o *fakeOrders) server(ctx context.Context, address string) (*fakeServer, error) {
	o.c.mu.Lock()
	s := o.c.servers[address]
	blocked := s == nil || !s.up || o.c.cut[[2]string{o.from, s.id}]
	o.c.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, &shards.OrderError{NotSent: true, Err: ctx.Err()}
	}
	time.Sleep(time.Millisecond)
	return s, nil
}

func (o *fakeOrders) late() (time.Duration, bool) {
	o.c.mu.Lock()
	defer o.c.mu.Unlock()
	return time.Duration(2+o.c.lateness.IntN(10)) * time.Second, o.c.lateness.Float64() < o.c.lateRate
}

func (o *fakeOrders) Open(address string) Session {
	o.c.mu.Lock()
	defer o.c.mu.Unlock()
	o.c.sessions++
	o.c.opened[o.c.sessions] = 0 // bound to a life by the first grant
	return o.c.sessions
}

func (o *fakeOrders) Grant(ctx context.Context, address string, session Session, g shards.Grant) error {
	s, err := o.server(ctx, address)
	if err != nil {
		return err
	}
	o.c.mu.Lock()
	life := o.c.opened[session]
	if life == 0 {
		life = s.born
		o.c.opened[session] = life
	}
	o.c.mu.Unlock()
	if life != s.born {
		return &shards.OrderError{NotSent: true, Ended: true, Err: fmt.Errorf("the connection has ended")}
	}
	arrival, born := time.Now(), s.born
	if delay, late := o.late(); late {
		o.c.group.Go(func() {
			time.Sleep(delay)
			_ = o.c.apply(s, born, g, arrival)
		})
		<-ctx.Done()
		return &shards.OrderError{Err: ctx.Err()}
	}
	return o.c.apply(s, born, g, arrival)
}

// apply gives a range to a server and checks that nobody else holds it.
func (c *cluster) apply(s *fakeServer, born int64, g shards.Grant, arrival time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.up || s.born != born {
		return &shards.OrderError{Err: fmt.Errorf("gone")}
	}
	for _, p := range pointsOf(g.From, g.To) {
		if s.seen[p] > g.Token {
			c.refused++
			return &shards.OrderError{Outdated: true, Err: fmt.Errorf("higher token")}
		}
	}
	// The server's clock runs 2 % slow.
	until := arrival.Add(time.Duration(float64(g.Hold) * 1.02))
	if until.Before(time.Now()) {
		return nil
	}
	for _, p := range pointsOf(g.From, g.To) {
		for _, other := range c.servers {
			if other != s && other.up && other.held[p].until.After(time.Now()) {
				c.errors = append(c.errors, fmt.Sprintf("%s: point %d of %s given to %s", time.Since(c.start), p, other.id, s.id))
			}
		}
		if life := fmt.Sprintf("%s/%d", s.id, s.born); c.holder[p] != life {
			if g.Token <= c.owned[p] {
				c.errors = append(c.errors, fmt.Sprintf("%s: point %d: token %d for %s after %d for %s", time.Since(c.start), p, g.Token, life, c.owned[p], c.holder[p]))
			}
			c.holder[p] = life
		}
		c.owned[p] = max(c.owned[p], g.Token)
		s.seen[p] = g.Token
		s.held[p].token, s.held[p].until = g.Token, until
	}
	return nil
}

func (o *fakeOrders) Release(ctx context.Context, address string, from, to uint16, token int64) (string, error) {
	s, err := o.server(ctx, address)
	if err != nil {
		return "", err
	}
	apply := func() {
		o.c.mu.Lock()
		defer o.c.mu.Unlock()
		for _, p := range pointsOf(from, to) {
			s.held[p].until = time.Time{}
			s.seen[p] = max(s.seen[p], token)
		}
	}
	if delay, late := o.late(); late {
		o.c.group.Go(func() {
			time.Sleep(delay)
			apply()
		})
		<-ctx.Done()
		return "", &shards.OrderError{Err: ctx.Err()}
	}
	apply()
	return "handover", nil
}
