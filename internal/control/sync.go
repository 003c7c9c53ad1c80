package control

import (
	"context"
	"maps"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// maxFleetMessageBytes bounds the response of another host. The largest one holds the
// whole state, a few hundred bytes for each server and range.
const maxFleetMessageBytes = 16 << 20

// fleetClient returns a client of the host at the address, which may be another process's
// by now, with any response. The bound of connect holds for what is unpacked; it reads
// the rest of a longer response until the timeout.
func (n *Node) fleetClient(address string) fleetpbconnect.FleetServiceClient {
	return fleetpbconnect.NewFleetServiceClient(boundedClient{n.PeerClient}, "http://"+address, connect.WithReadMaxBytes(maxFleetMessageBytes))
}

// boundedClient is a client whose responses fail beyond maxFleetMessageBytes.
type boundedClient struct{ client *http.Client }

// Do sends the request.
func (b boundedClient) Do(r *http.Request) (*http.Response, error) {
	response, err := b.client.Do(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxFleetMessageBytes)
	}
	return response, err
}

// Sync implements fleetpbconnect.FleetServiceHandler.
func (n *Node) Sync(ctx context.Context, r *connect.Request[fleetpb.SyncRequest]) (*connect.Response[fleetpb.SyncResponse], error) {
	known := r.Msg.Known
	if known == nil {
		known = &fleetpb.Known{}
	}
	n.mergeEvacuations(evacuationsFromProto(r.Msg.Evacuations, r.Msg.EvacuationsRevision), 0)
	l := n.currentLeadership()
	if l != nil && known.Term > l.term {
		l.stepDown("another host leads a later term")
	}
	switch {
	case r.Msg.Relay && r.Msg.ConfigOnly:
		return connect.NewResponse(n.configResponse(known)), nil
	case r.Msg.Relay:
		return connect.NewResponse(n.relayResponse(known, r.Msg.Recovery)), nil
	}
	if l == nil || l.hasEnded() {
		return connect.NewResponse(&fleetpb.SyncResponse{}), nil
	}
	receivedAt := n.Clock()
	l.recordReport(r.Msg, receivedAt)
	n.markLeaving(r.Msg.Leaving)
	n.RateLimits.Merge(r.Msg.RateLimits, r.Msg.Host)
	wait := min(time.Duration(r.Msg.WaitMillis)*time.Millisecond, syncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := n.view.Changed()
		// Before the ages in the response are taken, so that a pause in between makes the
		// state look older, not newer.
		held := n.Clock().Sub(receivedAt)
		response, hasUpdate := l.updateFor(known)
		if r.Msg.CutOff || r.Msg.Detours < wantedDetours {
			response.Detours = l.detoursFor(r.Msg.Address)
		}
		if hasUpdate || wait <= 0 {
			response.HeldMillis = held.Milliseconds()
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-l.ended:
			return connect.NewResponse(&fleetpb.SyncResponse{}), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// recordReport records the report in a host's sync request.
func (l *leadership) recordReport(report *fleetpb.SyncRequest, now boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if report.Host != "" && report.Host != l.node.Host {
		peer := peerHost{firstSyncAt: now, lastSyncAt: now, address: report.Address, dispatchAddress: report.DispatchAddress, capacity: report.Capacity, cutOff: report.CutOff}
		if old, known := l.hosts[report.Host]; known {
			peer.firstSyncAt, peer.storeReachedAt = old.firstSyncAt, old.storeReachedAt
		}
		if report.StoreAgeMillis >= 0 {
			peer.storeReachedAt = max(peer.storeReachedAt, now.Add(-time.Duration(report.StoreAgeMillis)*time.Millisecond))
			l.storeReachedAt = max(l.storeReachedAt, peer.storeReachedAt)
		}
		l.hosts[report.Host] = peer
	}
	for _, load := range report.Loads {
		meter := l.loads[load.Service]
		if meter == nil {
			meter = newLoadMeter(now)
			l.loads[load.Service] = meter
		}
		meter.add(load)
	}
	for _, s := range report.Servers {
		l.speeds.add(s, now)
	}
	for _, c := range report.Crashes {
		l.crashes.record(c, now)
	}
}

// updateFor returns the response to a host that knows the given versions, and
// whether it contains an update. The placement and blocked versions are
// comparable only within a term. The versions of the configuration, the server
// list and the assignments are the same in all terms.
func (l *leadership) updateFor(known *fleetpb.Known) (*fleetpb.SyncResponse, bool) {
	snapshot, versions := l.versionSnapshot(l.node.view.Load())
	out, hasUpdate := l.node.updateSince(snapshot, known)
	out.Leader, out.Term = true, l.term
	out.Known.Term, out.Known.Placement, out.Known.Blocked = l.term, versions.Placement, versions.Blocked
	out.Peers, out.LargestCapacity, out.SuccessorWanted = l.relayAddresses(), l.node.largestCapacity(), l.isSuccessorWanted()
	sameTerm := known.Term == l.term
	if !sameTerm || versions.Placement != known.Placement {
		hasUpdate = true
	}
	if !sameTerm || versions.Blocked != known.Blocked {
		out.HasBlocked, hasUpdate = true, true
		for f := range snapshot.BlockedFingerprints {
			out.Blocked = append(out.Blocked, []byte(f))
		}
	}
	out.Known.RateLimits = snapshot.RateLimitsVersion
	switch {
	case !sameTerm:
		out.RateLimits, hasUpdate = l.node.RateLimits.All(), true
	case snapshot.RateLimitsVersion != known.RateLimits:
		out.RateLimits, hasUpdate = l.node.RateLimits.ChangedSince(known.RateLimits), true
	}
	return out, hasUpdate
}

// updateSince returns the parts of a snapshot that a host with the given
// versions lacks, and whether there are any.
func (n *Node) updateSince(snapshot *Snapshot, known *fleetpb.Known) (*fleetpb.SyncResponse, bool) {
	now := n.Clock()
	out := &fleetpb.SyncResponse{Known: &fleetpb.Known{}, Hosts: uint32(snapshot.HostCount), Dispatchers: snapshot.Dispatchers,
		ConfigAgeMillis: now.Sub(snapshot.ConfigConfirmedAt).Milliseconds(), ServersAgeMillis: now.Sub(snapshot.ServersConfirmedAt).Milliseconds(),
		ServersRevision: snapshot.ServersRevision}
	hasUpdate := false
	if snapshot.Config != nil {
		out.Known.Config, out.Known.ConfigVersion = snapshot.Config.Revision, snapshot.Config.Version
		if lacksConfig(known, snapshot.Config) {
			out.Config, hasUpdate = snapshot.RawConfig, true
		}
	}
	if snapshot.Servers != nil {
		out.Known.Servers = snapshot.Servers.Digest
		if known.Servers != snapshot.Servers.Digest {
			list := n.history.serverUpdate(snapshot.Servers, known.Servers)
			out.Servers, out.RemovedServers, out.ServerChangesOnly = list.servers, list.removed, list.changesOnly
			out.HasServers, hasUpdate = true, true
		}
	}
	if e := snapshot.Evacuations; e.Known() {
		out.EvacuationsRevision, out.EvacuationsAgeMillis = e.Revision, now.Sub(snapshot.EvacuationsConfirmedAt).Milliseconds()
		out.Known.Evacuations = e.Digest()
		// Older builds state no digest. They would get the same update again and again.
		if known.Evacuations != 0 && known.Evacuations != e.Digest() {
			out.Evacuations, out.HasEvacuations, hasUpdate = evacuationsToProto(e), true, true
		}
	}
	for service, a := range snapshot.Assignments {
		base := known.Assignments[service]
		if base >= a.Version {
			continue
		}
		document, err := n.history.assignmentUpdate(service, a, base)
		if err != nil {
			n.Log.Error("control: assignment can't be encoded", zap.String("service", service), zap.Error(err))
			continue
		}
		out.Shards, hasUpdate = append(out.Shards, document), true
	}
	return out, hasUpdate
}

// lacksConfig reports whether a host with the given versions lacks a
// configuration. A host of an older build knows its revision only.
func lacksConfig(known *fleetpb.Known, config *routes.Config) bool {
	if known.ConfigVersion == 0 {
		return known.Config < config.Revision
	}
	return config.IsNewerThan(&routes.Config{Version: known.ConfigVersion, Revision: known.Config})
}

func (l *leadership) isSuccessorWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successorWanted
}

// relayAddresses returns the addresses of the relays.
func (l *leadership) relayAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.relays
}

// chooseRelays chooses the relays: the largest live hosts, which read the store
// themselves while there is no leader.
func (l *leadership) chooseRelays() {
	candidates := make([]dutyHost, 0, len(l.hosts))
	for _, peer := range l.hosts {
		if peer.address != "" {
			candidates = append(candidates, dutyHost{address: peer.address, capacity: peer.capacity})
		}
	}
	l.relays = selectRelays(candidates)
}

// versionSnapshot assigns versions to the parts of a snapshot that have none of
// their own; a part gets a new version when it changes. It returns the snapshot
// that the versions belong to, which is a newer one if that was versioned
// before.
func (l *leadership) versionSnapshot(s *Snapshot) (*Snapshot, snapshotVersions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.versionedSnapshot
	if old == nil {
		old = &Snapshot{}
		l.versions = snapshotVersions{Placement: 1, Blocked: 1}
	}
	// A snapshot of a lower generation was loaded before one that already has
	// versions.
	if s.Generation >= old.Generation {
		if s.HostCount != old.HostCount || !maps.Equal(s.Dispatchers, old.Dispatchers) {
			l.versions.Placement++
		}
		if len(s.BlockedFingerprints) != len(old.BlockedFingerprints) {
			l.versions.Blocked++
		}
		l.versionedSnapshot = s
	}
	return l.versionedSnapshot, l.versions
}

// snapshotVersions are the versions of the parts of a snapshot within one term.
type snapshotVersions struct{ Placement, Blocked uint64 }
