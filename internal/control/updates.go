package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// baseServerList returns the server list to which received changes apply. For
// changes from a leader that is the last list that a leader sent. This host may
// have a newer one from other sources, but the leader can't know that one and
// would send the full list.
func (n *Node) baseServerList(leader bool) *registry.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	if leader && n.leaderList != nil {
		return n.leaderList
	}
	return n.view.Load().Servers
}

// addVersions returns a copy of known with the versions of the state that this
// host has, from whatever source, and of the base list to which changes of
// servers are to apply.
func (n *Node) addVersions(known *fleetpb.Known, baseList *registry.List) *fleetpb.Known {
	out := &fleetpb.Known{Term: known.Term, Blocked: known.Blocked, Placement: known.Placement, RateLimits: known.RateLimits, Assignments: make(map[string]int64)}
	snapshot := n.view.Load()
	if snapshot.Config != nil {
		out.Config, out.ConfigVersion = snapshot.Config.Revision, snapshot.Config.Version
	}
	out.Evacuations = snapshot.Evacuations.Digest()
	n.mu.Lock()
	full := n.needsFullState
	n.mu.Unlock()
	if baseList != nil && !full {
		out.Servers = baseList.Digest
	}
	for service, a := range snapshot.Assignments {
		if !full {
			out.Assignments[service] = a.Version
		}
	}
	return out
}

// decodeAssignment decodes a full assignment, or the changes to the current one
// of this host.
func decodeAssignment(s *fleetpb.Shards, current *shards.Assignment) (*shards.Assignment, error) {
	switch {
	case !s.ChangesOnly:
		return shards.Decode(s.Document, s.Revision)
	case current == nil:
		return nil, &shards.InvalidError{Problem: "changes without an assignment"}
	default:
		return current.WithChanges(s.Document, s.Revision)
	}
}

// applyResponse applies the response of a leader or another host. Ages in it
// count from the sending of the response. Computed from the sending of the
// request they are too large by at most the round trip, so the state never
// seems newer than it is.
func (n *Node) applyResponse(response *fleetpb.SyncResponse, sentAt boottime.Instant) {
	if response.Known == nil {
		n.Log.Warn("control: response without versions rejected", zap.Int64("term", response.Term))
		return
	}
	n.view.setTerm(response.Term)
	n.applyEvacuations(response, sentAt)
	n.applyConfig(response, sentAt)
	needsFullState := !n.applyServers(response, sentAt.Add(-clampAge(response.ServersAgeMillis)))
	for _, s := range response.Shards {
		a, err := decodeAssignment(s, n.view.Load().Assignments[s.Service])
		if err != nil {
			n.Log.Warn("control: received assignment rejected", zap.String("service", s.Service), zap.Error(err))
			needsFullState = true
			continue
		}
		n.view.setAssignment(s.Service, a)
	}
	if response.HasBlocked {
		blocked := make(map[string]bool, len(response.Blocked))
		for _, f := range response.Blocked {
			blocked[string(f)] = true
		}
		n.view.setBlocked(blocked)
	}
	n.RateLimits.Merge(response.RateLimits, "leader")
	n.view.setHosts(int(response.Hosts), response.Dispatchers)
	n.setLargestCapacity(response.LargestCapacity)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.needsFullState = needsFullState
	if response.Leader {
		n.knownVersions, n.successorWanted = response.Known, response.SuccessorWanted
	}
	if len(response.Peers) > 0 {
		n.relays = response.Peers
	}
	if len(response.Detours) > 0 {
		n.detours = response.Detours
	}
}

// applyConfig applies the configuration in a response.
func (n *Node) applyConfig(response *fleetpb.SyncResponse, sentAt boottime.Instant) {
	confirmedAt := n.confirmedAt(sentAt, response.HeldMillis, response.ConfigAgeMillis)
	if len(response.Config) == 0 {
		n.view.setConfig(nil, nil, confirmedAt)
		return
	}
	config, err := n.Schema.DecodeConfig(response.Config, response.Known.Config)
	if err != nil {
		n.Log.Warn("control: received configuration rejected", zap.Error(err))
		return
	}
	source := fromPeer
	if response.Leader {
		source = fromLeader
	}
	n.setConfig(config, response.Config, confirmedAt, source)
}

// confirmedAt returns a lower bound of when the store confirmed what another host has
// sent in the response to a request. That host held the request for heldMillis and then
// stated the age. A held time beyond the round trip is an error of its clock.
func (n *Node) confirmedAt(sentAt boottime.Instant, heldMillis, ageMillis int64) boottime.Instant {
	held := min(clampAge(heldMillis), max(n.Clock().Sub(sentAt), 0))
	return sentAt.Add(held - clampAge(ageMillis))
}

// clampAge converts a reported age and limits it. A negative age counts as
// zero; otherwise the state would never become stale.
func clampAge(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxReportedAge.Milliseconds())) * time.Millisecond
}

// applyServers applies a server list or the changes to one. It returns false if
// the result differs from the sender's list.
func (n *Node) applyServers(response *fleetpb.SyncResponse, at boottime.Instant) bool {
	current := n.baseServerList(response.Leader)
	if !response.HasServers {
		// The sender's list is the one that this host has named, which need not be the
		// one in the view: another source may have been ahead of the sender.
		if current != nil && current.Digest == response.Known.Servers {
			n.view.setServers(current, at, response.ServersRevision)
		}
		return true
	}
	base := &registry.List{}
	if response.ServerChangesOnly && current != nil {
		base = current
	}
	list := base.WithChanges(serversFromProto(response.Servers), response.RemovedServers)
	if list.Digest != response.Known.Servers {
		n.Log.Warn("control: received server list rejected because its digest does not match", zap.Int("changed", len(response.Servers)), zap.Int("removed", len(response.RemovedServers)))
		return false
	}
	if response.Leader {
		n.mu.Lock()
		n.leaderList = list
		n.mu.Unlock()
	}
	n.view.setServers(list, at, response.ServersRevision)
	return true
}
