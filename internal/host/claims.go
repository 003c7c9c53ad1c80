package host

import (
	"context"
	"time"

	"github.com/cassiasill/cassiasill/internal/idempotency"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// claimReserver reserves idempotency claims in the tables of all hosts; it
// accesses this host's table directly and the others over the peer service.
type claimReserver struct {
	host  *Host
	table *idempotency.Table
}

func newClaimReserver(h *Host) *claimReserver {
	return &claimReserver{host: h, table: idempotency.NewTable(0)}
}

// liveHosts returns the hosts from which the replica hosts of a claim are chosen.
func (k *claimReserver) liveHosts() []topology.HostName {
	out := []topology.HostName{k.host.settings.Host.Name}
	for _, h := range k.host.topics.replicator.Live() {
		out = append(out, h.Name)
	}
	return out
}

// Reserve claims a key at the named host.
func (k *claimReserver) Reserve(ctx context.Context, name topology.HostName, claim idempotency.Claim) (idempotency.Reply, error) {
	if name == k.host.settings.Host.Name {
		return k.table.Reserve(claim, time.Now())
	}
	target, err := electionTransport{hosts: k.host.settings.Hosts}.find(name)
	if err != nil {
		return idempotency.Reply{}, err
	}
	response, err := k.host.topics.client.Reserve(ctx, target, &peerpb.ReserveRequest{
		Caller: string(claim.Caller), Key: claim.Key, RequestId: claim.RequestID,
		Fingerprint: claim.Fingerprint, Outcome: string(claim.Outcome),
	})
	if err != nil {
		return idempotency.Reply{}, err
	}
	return idempotency.Reply{
		Claimed: response.Claimed, Outcome: idempotency.Outcome(response.Outcome),
		RequestID: response.RequestId, FingerprintDiffers: response.FingerprintDiffers,
	}, nil
}

// claimServer serves the claims of other hosts.
type claimServer struct{ table *idempotency.Table }

// Reserve claims a key in this host's table.
func (s claimServer) Reserve(_ context.Context, r *peerpb.ReserveRequest) (*peerpb.ReserveResponse, error) {
	reply, err := s.table.Reserve(idempotency.Claim{
		Caller: topology.Caller(r.Caller), Key: r.Key, RequestID: r.RequestId,
		Fingerprint: r.Fingerprint, Outcome: idempotency.Outcome(r.Outcome),
	}, time.Now())
	if err != nil {
		return nil, err
	}
	return &peerpb.ReserveResponse{
		Claimed: reply.Claimed, Outcome: string(reply.Outcome),
		RequestId: reply.RequestID, FingerprintDiffers: reply.FingerprintDiffers,
	}, nil
}
