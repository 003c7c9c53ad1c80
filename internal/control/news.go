package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// listBase returns the server list to which changes apply: for those from a
// leader the last one that a leader sent. What this host has learned elsewhere
// since is newer, but the leader can't know it and would send the whole list.
func (n *Node) listBase(leader bool) *registry.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	if leader && n.leaderList != nil {
		return n.leaderList
	}
	return n.view.Load().Servers
}

// withVersions adds the versions of what this host has, from whatever source,
// and of the list to which changes of servers are to apply.
func (n *Node) withVersions(known *fleetpb.Known, base *registry.List) *fleetpb.Known {
	out := &fleetpb.Known{Term: known.Term, Blocked: known.Blocked, Placement: known.Placement, Assignments: make(map[string]int64)}
	snapshot := n.view.Load()
	if snapshot.Config != nil {
		out.Config = snapshot.Config.Revision
	}
	n.mu.Lock()
	whole := n.wantsWhole
	n.mu.Unlock()
	if base != nil && !whole {
		out.Servers = base.Digest
	}
	for service, a := range snapshot.Shards {
		if !whole {
			out.Assignments[service] = a.Version
		}
	}
	return out
}

// decodeShards decodes an assignment, or the changes since the one that this
// host has.
func decodeShards(s *fleetpb.Shards, have *shards.Assignment) (*shards.Assignment, error) {
	switch {
	case !s.ChangesOnly:
		return shards.Decode(s.Document, s.Revision)
	case have == nil:
		return nil, &shards.InvalidError{Problem: "changes without an assignment"}
	default:
		return have.WithChanges(s.Document, s.Revision)
	}
}

// apply takes a leader's answer. Ages count from the answer; measured from the
// sending of the request they are too long by at most the time it took, which
// errs on the safe side.
func (n *Node) apply(m *fleetpb.SyncResponse, sentAt boottime.Instant) {
	if m.Known == nil {
		n.Log.Warn("control: news without versions refused", zap.Int64("term", m.Term))
		return
	}
	n.view.setTerm(m.Term)
	configAt := sentAt.Add(-ageOf(m.ConfigAgeMillis))
	if len(m.Config) > 0 {
		config, err := n.Schema.DecodeConfig(m.Config, m.Known.Config)
		if err != nil {
			n.Log.Warn("control: leader's configuration refused", zap.Error(err))
		} else {
			n.view.setConfig(config, m.Config, configAt)
		}
	} else {
		n.view.setConfig(nil, nil, configAt)
	}
	whole := !n.applyServers(m, sentAt.Add(-ageOf(m.ServersAgeMillis)))
	for _, s := range m.Shards {
		a, err := decodeShards(s, n.view.Load().Shards[s.Service])
		if err != nil {
			n.Log.Warn("control: leader's assignment refused", zap.String("service", s.Service), zap.Error(err))
			whole = true
			continue
		}
		n.view.setShards(s.Service, a)
	}
	if m.HasBlocked {
		blocked := make(map[string]bool, len(m.Blocked))
		for _, f := range m.Blocked {
			blocked[string(f)] = true
		}
		n.view.setBlocked(blocked)
	}
	n.view.setHosts(int(m.Hosts), m.Dispatchers)
	n.noteLargest(m.LargestCapacity)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wantsWhole = whole
	if m.Leader {
		n.known, n.successorWanted = m.Known, m.SuccessorWanted
	}
	if len(m.Peers) > 0 {
		n.peers = m.Peers
	}
}

// ageOf decodes an age. What is told of the future counts as now; otherwise it
// would look fresh for ever.
func ageOf(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxAge.Milliseconds())) * time.Millisecond
}

// applyServers takes a server list, or what has changed in it. It returns false
// if the changes don't lead to the sender's list.
func (n *Node) applyServers(m *fleetpb.SyncResponse, at boottime.Instant) bool {
	if !m.HasServers {
		n.view.confirmServers(at, m.ServersRevision)
		return true
	}
	base := &registry.List{}
	if have := n.listBase(m.Leader); m.ServerChangesOnly && have != nil {
		base = have
	}
	list := base.WithChanges(serversFromProto(m.Servers), m.RemovedServers)
	if list.Digest != m.Known.Servers {
		n.Log.Warn("control: leader's server list refused, its changes do not fit", zap.Int("changed", len(m.Servers)), zap.Int("removed", len(m.RemovedServers)))
		return false
	}
	if m.Leader {
		n.mu.Lock()
		n.leaderList = list
		n.mu.Unlock()
	}
	n.view.setServers(list, at, m.ServersRevision)
	return true
}
