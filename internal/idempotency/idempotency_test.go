package idempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// cluster is a Reserver whose hosts can become unreachable or lose their
// tables.
type cluster struct {
	mu     sync.Mutex
	tables map[topology.HostName]*Table
	down   map[topology.HostName]bool
	before func()
}

func newCluster() *cluster {
	c := &cluster{tables: map[topology.HostName]*Table{}, down: map[topology.HostName]bool{}}
	for _, h := range c.hosts() {
		c.tables[h] = NewTable(0)
	}
	return c
}

func (c *cluster) hosts() []topology.HostName {
	return []topology.HostName{"h1", "h2", "h3", "h4", "h5"}
}

func (c *cluster) Reserve(_ context.Context, host topology.HostName, claim Claim) (Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.before != nil {
		c.before()
	}
	if c.down[host] {
		return Reply{}, errors.New("unreachable")
	}
	return c.tables[host].Reserve(claim, time.Now())
}

func (c *cluster) client() *Client { return NewClient(c, c.hosts) }

func claimOf(id string) Claim {
	return Claim{Caller: "foreman", Key: "k", RequestID: id, Fingerprint: "same"}
}

// Guards against a lost claim when the replicas restart one after the other and
// a retry comes between the restarts.
func TestRestartedReplicaRelearnsClaim(t *testing.T) {
	hosts := newCluster()
	replicas := ReplicaHosts(hosts.hosts(), "foreman", "k")
	_, err := hosts.client().Claim(t.Context(), claimOf("1"))
	assert.NilError(t, err)
	hosts.client().Finish(t.Context(), claimOf("1"), OutcomeExecuted, nil)
	for _, lost := range replicas {
		hosts.tables[lost] = NewTable(0)
		d, err := hosts.client().Claim(t.Context(), claimOf("2"))
		assert.NilError(t, err)
		assert.Equal(t, d, Decision{Outcome: OutcomeExecuted, RequestID: "1"})
	}
}

// Guards against a key that stays blocked by a request that ended while it
// claimed the key and was therefore never sent.
func TestClaimOfEndedRequestIsReleased(t *testing.T) {
	hosts := newCluster()
	ctx, cancel := context.WithCancel(t.Context())
	hosts.before = cancel
	_, err := hosts.client().Claim(ctx, claimOf("1"))
	assert.Equal(t, apierror.From(err).Kind, apierror.KindDeadlineUnreachable)
	d, err := hosts.client().Claim(t.Context(), claimOf("2"))
	assert.NilError(t, err)
	assert.Assert(t, d.Proceed)
}

// Guards against a retry that is executed twice, and against one that is
// refused although the first request was provably not executed.
func TestRetryThroughAnotherHost(t *testing.T) {
	first, second := ReplicaHosts(newCluster().hosts(), "foreman", "k")[0], ReplicaHosts(newCluster().hosts(), "foreman", "k")[1]
	cases := []struct {
		name    string
		outcome Outcome
		pause   time.Duration
		change  func(c *cluster)
		run     bool
		want    Outcome
	}{
		{"in flight", OutcomeInFlight, 0, nil, false, OutcomeInFlight},
		{"executed", OutcomeExecuted, 0, nil, false, OutcomeExecuted},
		{"unknown", OutcomeUnknown, 0, nil, false, OutcomeUnknown},
		{"not executed", OutcomeNotExecuted, 0, nil, true, ""},
		{"host lost", OutcomeInFlight, InFlightTimeout, nil, false, OutcomeUnknown},
		{"first replica lost", OutcomeExecuted, 0, func(c *cluster) { c.down[first] = true }, false, OutcomeExecuted},
		{"first replica restarted", OutcomeExecuted, 0, func(c *cluster) { c.tables[first] = NewTable(0) }, false, OutcomeExecuted},
		{"second replica lost", OutcomeExecuted, 0, func(c *cluster) { c.down[second] = true }, false, OutcomeExecuted},
		{"forgotten after its time", OutcomeExecuted, ClaimTTL, nil, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hosts := newCluster()
				d, err := hosts.client().Claim(t.Context(), claimOf("1"))
				assert.NilError(t, err)
				assert.Assert(t, d.Proceed)
				if c.outcome != OutcomeInFlight {
					hosts.client().Finish(t.Context(), claimOf("1"), c.outcome, nil)
				}
				time.Sleep(c.pause)
				if c.change != nil {
					c.change(hosts)
				}
				d, err = hosts.client().Claim(t.Context(), claimOf("2"))
				assert.NilError(t, err)
				assert.Equal(t, d.Proceed, c.run)
				assert.Equal(t, d.Outcome, c.want)
			})
		})
	}
}

// Guards against a key that is taken over by a different request, and against a
// request that is sent although no replica holds its claim.
func TestRefusals(t *testing.T) {
	hosts := newCluster()
	client := hosts.client()
	_, err := client.Claim(t.Context(), claimOf("1"))
	assert.NilError(t, err)
	other := claimOf("2")
	other.Fingerprint = "other"
	for _, c := range []*Client{client, hosts.client()} {
		_, err = c.Claim(t.Context(), other)
		assert.Equal(t, apierror.From(err).Kind, apierror.KindBadRequest)
	}
	for _, h := range hosts.hosts() {
		hosts.down[h] = true
	}
	other.Key = "k2"
	_, err = client.Claim(t.Context(), other)
	assert.Equal(t, apierror.From(err).Kind, apierror.KindStaleHost)
	hosts.down = map[topology.HostName]bool{}
	d, err := client.Claim(t.Context(), other)
	assert.NilError(t, err)
	assert.Assert(t, d.Proceed, "a claim that failed must not block the key")
}

// Guards against a retry that does not get the stored response of the
// same host, and against one that waits forever for the first request.
func TestRetryWaitsForFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newCluster().client()
		_, err := client.Claim(t.Context(), claimOf("1"))
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		d, err := client.Claim(ctx, claimOf("2"))
		assert.NilError(t, err)
		assert.Equal(t, d, Decision{RequestID: "1"})
		time.AfterFunc(time.Second, func() {
			client.Finish(t.Context(), claimOf("1"), OutcomeExecuted, &Response{Status: 201, Body: []byte("made")})
		})
		d, err = client.Claim(t.Context(), claimOf("3"))
		assert.NilError(t, err)
		assert.Equal(t, string(d.Response.Body), "made")
		time.Sleep(ClaimTTL)
		d, err = client.Claim(t.Context(), claimOf("4"))
		assert.NilError(t, err)
		assert.Assert(t, d.Proceed)
	})
}

// Guards against memory that grows with the number of keys, and against a full
// table that removes claims whose requests callers still retry.
func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(2)
	claim := func(i int, at time.Time) error {
		_, err := table.Reserve(Claim{Key: fmt.Sprint(i), RequestID: fmt.Sprint(i)}, at)
		return err
	}
	assert.NilError(t, claim(1, now))
	assert.NilError(t, claim(2, now))
	assert.Equal(t, apierror.From(claim(3, now)).Kind, apierror.KindOverloaded)
	assert.NilError(t, claim(3, now.Add(InFlightTimeout)))
	assert.Equal(t, len(table.claims), 2)
}
