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

// TopicPrefix precedes the host's name in the name of its topic.
const TopicPrefix = "quarantine/"

// peerState is the newest snapshot of one peer.
type peerState struct {
	version topology.Version
	entries map[Fingerprint]*entry
}

// record is one entry of a snapshot. It holds the remaining time, because the
// clocks of hosts differ.
type record struct {
	Fingerprint string                      `json:"fingerprint"`
	Crashes     map[topology.ServerName]int `json:"crashes"`
	Quarantined bool                        `json:"quarantined,omitempty"`
	Millis      int64                       `json:"remainingMillis"`
}

// Export returns this host's own entries for its topic, with the version that
// rises at each change.
func (t *Table) Export(now time.Time) (topology.Version, []byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]record, 0, len(t.own))
	for f, e := range t.own {
		if !now.Before(e.until) {
			continue
		}
		r := record{
			Fingerprint: hex.EncodeToString(f[:]), Quarantined: e.quarantined,
			Crashes: make(map[topology.ServerName]int, len(e.crashes)), Millis: e.until.Sub(now).Milliseconds(),
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

// Import replaces what is known of a peer's entries by a newer snapshot. What
// exceeds the table's bound is left out.
func (t *Table) Import(host topology.HostName, version topology.Version, payload []byte, now time.Time) error {
	var records []record
	if err := json.Unmarshal(payload, &records); err != nil {
		return fmt.Errorf("decode the quarantine of %s: %w", host, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.peers[host]; ok && !version.Newer(old.version) {
		return nil
	}
	state := peerState{version: version, entries: make(map[Fingerprint]*entry, min(len(records), t.maxEntries))}
	for _, r := range records {
		raw, err := hex.DecodeString(r.Fingerprint)
		if err != nil || len(raw) != len(Fingerprint{}) {
			return fmt.Errorf("decode the quarantine of %s: invalid fingerprint", host)
		}
		if len(state.entries) == t.maxEntries {
			break
		}
		remaining := min(time.Duration(r.Millis)*time.Millisecond, QuarantineFor)
		e := &entry{quarantined: r.Quarantined, until: now.Add(remaining)}
		for server, count := range r.Crashes {
			e.crashes = append(e.crashes, crash{server: server, count: count})
		}
		state.entries[Fingerprint(raw)] = e
	}
	t.peers[host] = state
	t.wake()
	return nil
}

// Share publishes this host's entries on the bus and imports those of its peers
// until ctx ends. Report receives what cannot be decoded.
func (t *Table) Share(ctx context.Context, host topology.HostName, bus peersync.Bus, report func(error)) {
	var published topology.Version
	for {
		// The channels are taken before the look, so no change is missed.
		own, peers := t.Changed(), bus.Changed(TopicPrefix)
		now := time.Now()
		if version, payload, err := t.Export(now); err != nil {
			report(err)
		} else if version.Sequence > published.Sequence {
			bus.Publish(peersync.Topic{Name: TopicPrefix + string(host), Version: version, Payload: payload})
			published = version
		}
		for _, topic := range bus.List(TopicPrefix) {
			peer := topology.HostName(strings.TrimPrefix(topic.Name, TopicPrefix))
			if peer == host || !t.newer(peer, topic.Version) {
				continue
			}
			if err := t.Import(peer, topic.Version, topic.Payload, now); err != nil {
				report(err)
			}
		}
		select {
		case <-own:
		case <-peers:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Table) newer(host topology.HostName, version topology.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return version.Newer(t.peers[host].version)
}

// Forget drops what a peer reported; it is called for hosts that are gone.
func (t *Table) Forget(host topology.HostName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, host)
	t.wake()
}
