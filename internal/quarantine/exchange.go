package quarantine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// TopicPrefix is the prefix of a topic's name; the name of the host follows.
const TopicPrefix = "quarantine/"

// peerSnapshot is the newest snapshot received from one peer.
type peerSnapshot struct {
	version topology.Version
	entries map[Fingerprint]*entry
}

// wireEntry is one entry of a snapshot. It holds the remaining time instead of
// a point in time, because the clocks of hosts differ.
type wireEntry struct {
	Fingerprint     string                      `json:"fingerprint"`
	Crashes         map[topology.ServerName]int `json:"crashes"`
	Quarantined     bool                        `json:"quarantined,omitempty"`
	RemainingMillis int64                       `json:"remainingMillis"`
}

// Export returns the payload of this host's topic, which holds its local
// entries, and the version of the payload. The version increases with each
// change.
func (t *Table) Export(now time.Time) (topology.Version, []byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]wireEntry, 0, len(t.local))
	for f, e := range t.local {
		if !now.Before(e.expiresAt) {
			continue
		}
		r := wireEntry{
			Fingerprint: hex.EncodeToString(f[:]), Quarantined: e.quarantined,
			Crashes: make(map[topology.ServerName]int, len(e.crashes)), RemainingMillis: e.expiresAt.Sub(now).Milliseconds(),
		}
		for _, c := range e.crashes {
			r.Crashes[c.server] = c.count
		}
		records = append(records, r)
	}
	payload, err := json.Marshal(records)
	if err != nil {
		return t.version, nil, fmt.Errorf("encode the quarantine: %w", err)
	}
	return t.version, payload, nil
}

// Import replaces the entries known from a peer by a newer snapshot. Entries
// beyond the table's maximum are left out.
func (t *Table) Import(host topology.HostName, version topology.Version, payload []byte, now time.Time) error {
	var records []wireEntry
	if err := json.Unmarshal(payload, &records); err != nil {
		return fmt.Errorf("decode the quarantine of %s: %w", host, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.peers[host]; ok && !version.NewerThan(old.version) {
		return nil
	}
	state := peerSnapshot{version: version, entries: make(map[Fingerprint]*entry, min(len(records), t.maxEntries))}
	for _, r := range records {
		fingerprint, err := hex.DecodeString(r.Fingerprint)
		if err != nil || len(fingerprint) != len(Fingerprint{}) {
			return fmt.Errorf("decode the quarantine of %s: invalid fingerprint", host)
		}
		if len(state.entries) == t.maxEntries {
			break
		}
		remaining := min(time.Duration(r.RemainingMillis)*time.Millisecond, QuarantineDuration)
		e := &entry{quarantined: r.Quarantined, expiresAt: now.Add(remaining)}
		for server, count := range r.Crashes {
			e.crashes = append(e.crashes, crashCount{server: server, count: count})
		}
		state.entries[Fingerprint(fingerprint)] = e
	}
	t.peers[host] = state
	t.notifyChanged()
	return nil
}

// SyncWithPeers publishes the local entries on the bus and imports those of the
// peers until ctx ends. Errors in encoding and decoding are passed to onError.
func (t *Table) SyncWithPeers(ctx context.Context, host topology.HostName, bus peersync.Bus, onError func(error)) {
	var published topology.Version
	for {
		// The channels are obtained before the state is read, so that no change
		// is missed.
		localChanged, peersChanged := t.Changed(), bus.Changed(TopicPrefix)
		now := time.Now()
		if version, payload, err := t.Export(now); err != nil {
			onError(err)
		} else if version.Sequence > published.Sequence {
			bus.Publish(peersync.Topic{Name: TopicPrefix + string(host), Version: version, Payload: payload})
			published = version
		}
		for _, topic := range bus.List(TopicPrefix) {
			peer := topology.HostName(strings.TrimPrefix(topic.Name, TopicPrefix))
			if peer == host || !t.isNewer(peer, topic.Version) {
				continue
			}
			if err := t.Import(peer, topic.Version, topic.Payload, now); err != nil {
				onError(err)
			}
		}
		select {
		case <-localChanged:
		case <-peersChanged:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Table) isNewer(host topology.HostName, version topology.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return version.NewerThan(t.peers[host].version)
}

// ForgetPeer removes the entries of a peer. It is called for hosts that are
// gone.
func (t *Table) ForgetPeer(host topology.HostName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, host)
	t.notifyChanged()
}
