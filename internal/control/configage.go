package control

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Limits of the age of the operators' entries, the configuration and the evacuations,
// which count from their last confirmation by the store. While the leader reads the
// store and answers syncs, the age at a host stays below two polls, one held sync and the
// delay between two, which is maxSyncDelay at most: 1.4 s in sum.
const (
	// maxRelayConfigAge is the age above which a relay reads the entries itself.
	maxRelayConfigAge = 1400 * time.Millisecond
	// maxConfigAge is the age above which any other host asks relays for them. It leaves
	// the relays time to read first.
	maxConfigAge = maxRelayConfigAge + 150*time.Millisecond
	// configReadTimeout bounds the reading by a relay, which otherwise asks the others.
	configReadTimeout = 300 * time.Millisecond
	// firstConfigPeerTimeout is how long one relay is asked alone, and configPeers how many
	// are asked then at the same time.
	firstConfigPeerTimeout = 100 * time.Millisecond
	configPeers            = 3
	// minConfigRetryDelay is the delay after a first attempt. It doubles with each further
	// one up to maxConfigRetryDelay, until the entries are fresh.
	minConfigRetryDelay = 150 * time.Millisecond
	maxConfigRetryDelay = 1200 * time.Millisecond
)

// superviseConfig keeps the operators' entries current when the leader does not: it may
// be lost, or reach the hosts and not the store. It does not wait for what Run does, in
// which several timeouts may follow each other.
func (n *Node) superviseConfig(ctx context.Context) {
	delay := minConfigRetryDelay
	for ctx.Err() == nil {
		confirmedAt := n.view.Load().ConfigConfirmedAt
		if confirmedAt == 0 {
			n.sleep(ctx, minConfigRetryDelay) // Run searches for the first configuration
			continue
		}
		if remaining := n.configAgeLimit() - n.Clock().Sub(confirmedAt); remaining > 0 {
			n.sleep(ctx, remaining)
			delay = minConfigRetryDelay
			continue
		}
		n.refreshConfig(ctx)
		// Also if it is fresh now: then the next look is not due before the delay ends.
		n.sleep(ctx, delay)
		delay = min(2*delay, maxConfigRetryDelay)
	}
}

// readsConfig reports whether this host reads the operators' entries before it asks
// relays for them. A leader polls them already.
func (n *Node) readsConfig() bool { return n.isRelay() && !n.Leading() }

// configAgeLimit returns the age above which this host looks for a newer configuration.
func (n *Node) configAgeLimit() time.Duration {
	if n.readsConfig() {
		return maxRelayConfigAge
	}
	return maxConfigAge
}

// refreshConfig reads the operators' entries, if this host is a relay, and otherwise asks
// relays. If none of them answers, it reads too, unless it leads and polls already.
func (n *Node) refreshConfig(ctx context.Context) {
	if n.readsConfig() && n.readConfigWithin(ctx, configReadTimeout) != 0 {
		return
	}
	if !n.queryConfig(ctx) && !n.Leading() {
		n.readConfigWithin(ctx, configReadTimeout)
	}
}

// queryConfig asks a relay for its operators' entries, and some others at the same time if
// that one has none that are fresh. It reports whether any has answered.
func (n *Node) queryConfig(ctx context.Context) bool {
	relays := n.relaysToQuery()
	if len(relays) == 0 {
		return false
	}
	n.shuffleForQuery(relays)
	answered := n.requestConfig(ctx, relays[0], firstConfigPeerTimeout)
	if answered && n.Clock().Sub(n.view.Load().ConfigConfirmedAt) < maxRelayConfigAge {
		return true
	}
	others := relays[1:min(len(relays), configPeers+1)]
	answers := make(chan bool, configPeers)
	var group conc.WaitGroup
	for _, address := range others {
		group.Go(func() { answers <- n.requestConfig(ctx, address, peerQueryTimeout) })
	}
	group.Wait()
	for range others {
		answered = <-answers || answered
	}
	return answered
}

// relaysToQuery returns the addresses of the other hosts that are relays.
func (n *Node) relaysToQuery() []string {
	if l := n.currentLeadership(); l != nil {
		return slices.Clone(l.relayAddresses())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.relays), func(a string) bool { return a == n.Address })
}

// requestConfig requests the operators' entries from another host and applies those that
// are newer. It returns false if that host does not answer within the limit.
func (n *Node) requestConfig(ctx context.Context, address string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// An older build answers with all that is newer than these versions.
	request := &fleetpb.SyncRequest{Relay: true, ConfigOnly: true, Known: n.addVersions(&fleetpb.Known{}, n.baseServerList(false))}
	client := n.fleetClient(address)
	sentAt := n.Clock()
	response, err := client.Sync(ctx, connect.NewRequest(request))
	n.recordAnswer(address, err == nil)
	if err != nil {
		n.Log.Debug("control: relay does not answer", zap.String("peer", address), zap.Error(err))
		return false
	}
	if response.Msg.Known != nil {
		n.applyEvacuations(response.Msg, sentAt)
		n.applyConfig(response.Msg, sentAt)
	}
	return true
}
