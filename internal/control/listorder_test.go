package control

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
)

// syncPair is a leader and a follower on one clock, without a network.
type syncPair struct {
	t                *testing.T
	now              boottime.Instant
	leader, follower *Node
}

func newSyncPair(t *testing.T) *syncPair {
	p := &syncPair{t: t, now: boottime.Instant(10 * time.Second)}
	node := func(name string) *Node {
		return NewNode(Options{Host: name, Address: name, Reports: NewReports(), Clock: func() boottime.Instant { return p.now }, Log: zap.NewNop()})
	}
	p.leader, p.follower = node("leader"), node("follower")
	return p
}

// serverList returns the list of two servers of which the second one may be draining.
func serverList(draining bool) *registry.List {
	return registry.NewList(map[string]registry.Server{
		"s1": {ID: "s1", Service: "svc", Address: "a1", Incarnation: 1, Slots: 2},
		"s2": {ID: "s2", Service: "svc", Address: "a2", Incarnation: 1, Slots: 2, Draining: draining},
	})
}

// read makes a host read a list from the store at the given time before now.
func (p *syncPair) read(n *Node, list *registry.List, ago time.Duration, revision int64) {
	n.view.setServers(list, p.now.Add(-ago), revision)
}

// sync plays one sync of the follower for which the leader holds the response for a
// time, at the end of which change is called.
func (p *syncPair) sync(hold time.Duration, change func()) {
	known := p.follower.addVersions(&fleetpb.Known{}, p.follower.baseServerList(true))
	sentAt := p.now
	p.now = p.now.Add(hold)
	if change != nil {
		change()
	}
	response, _ := p.leader.updateSince(p.leader.view.Load(), known)
	response.Leader = true
	p.follower.applyResponse(response, sentAt)
}

func (p *syncPair) followerKnows() bool {
	return p.follower.view.Load().Servers.Servers["s2"].Draining
}

// Guards against a host that drops the list in which a server leaves, because the leader
// held the response back: its age, counted from the request, makes it look older than
// the list before, and the leader sends it only once (DRAIN on aserrin-gw).
func TestListOfAHeldResponseIsNotDropped(t *testing.T) {
	for hold := 20 * time.Millisecond; hold <= 500*time.Millisecond; hold += 20 * time.Millisecond {
		p := newSyncPair(t)
		p.read(p.leader, serverList(false), 0, 5)
		p.sync(5*time.Millisecond, nil)
		p.now = p.now.Add(10 * time.Millisecond)
		p.sync(hold, func() { p.read(p.leader, serverList(true), 60*time.Millisecond, 6) })
		assert.Assert(t, p.followerKnows(), "held for %s", hold)
	}
}

// Guards against a host that keeps the older list of another source although the leader
// confirms a newer one: the confirmation is of the leader's list.
func TestConfirmedListReplacesAnOlderOne(t *testing.T) {
	p := newSyncPair(t)
	p.read(p.leader, serverList(false), 0, 5)
	p.sync(0, nil)
	// The follower reads the store itself, ahead of the leader, before the server
	// leaves. The leader's list of an earlier revision is not taken.
	p.read(p.follower, serverList(false), 0, 9)
	p.read(p.leader, serverList(true), 0, 7)
	p.sync(0, nil)
	assert.Assert(t, !p.followerKnows())
	// Then the leader confirms its list at a later revision.
	p.now = p.now.Add(400 * time.Millisecond)
	p.read(p.leader, serverList(true), 0, 11)
	p.sync(0, nil)
	assert.Assert(t, p.followerKnows())
}

// Guards against a list that an older source takes back: a lower revision is older,
// however recent the response.
func TestOlderRevisionDoesNotReplaceAList(t *testing.T) {
	p := newSyncPair(t)
	empty := registry.NewList(map[string]registry.Server{})
	p.read(p.follower, empty, 0, 9)
	p.now = p.now.Add(time.Second)
	p.read(p.follower, serverList(false), 0, 8)
	assert.Equal(t, len(p.follower.view.Load().Servers.Servers), 0)
	// Without a revision, as an older build sends it, the time decides.
	p.read(p.follower, serverList(false), 2*time.Second, 0)
	assert.Equal(t, len(p.follower.view.Load().Servers.Servers), 0)
	p.read(p.follower, serverList(false), 0, 0)
	assert.Equal(t, len(p.follower.view.Load().Servers.Servers), 2)
}
