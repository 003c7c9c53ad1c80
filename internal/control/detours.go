package control

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/boottime"
)

// wantedDetours is how many hosts another host should know by way of which it can
// reach servers.
const wantedDetours = 4

// chooseDetours lists the hosts that reach the servers. The caller holds mu.
func (l *leadership) chooseDetours() {
	var addresses []string
	for _, peer := range l.hosts {
		if peer.address != "" && !peer.cutOff {
			addresses = append(addresses, peer.address)
		}
	}
	if !l.node.CutOff() {
		addresses = append(addresses, l.node.Address)
	}
	slices.Sort(addresses)
	l.reachingServers = addresses
}

// detoursFor returns some hosts that reach the servers. Different hosts get
// different ones, so that they share the load of those that are cut off.
func (l *leadership) detoursFor(host string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.reachingServers)
	if n == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(host) % uint64(n))
	var out []string
	for i := range min(n, wantedDetours) {
		out = append(out, l.reachingServers[(first+i)%n])
	}
	return out
}

// canHandOver reports whether a live host reaches the servers and may lead instead
// of this one.
func (l *leadership) canHandOver(now boottime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.hosts {
		if !peer.cutOff && peer.address != "" && now.Sub(peer.lastSyncAt) < dispatcherWindow {
			return true
		}
	}
	return false
}

// DetourPeers returns the peer addresses of hosts by way of which servers may be
// reached: those that the leader has named, and the relays.
func (n *Node) DetourPeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := slices.Concat(n.detours, n.relays)
	if l := n.leadership; l != nil {
		l.mu.Lock()
		out = append(out, l.reachingServers...)
		l.mu.Unlock()
	}
	if n.leader.Address != "" {
		out = append(out, n.leader.Address)
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == n.Address })
}
