// Package peersync replicates versioned topics between hosts.
//
// The newest version of a topic wins and a host never goes back to an older
// one. A subscriber may skip versions that were replaced before it looked, and
// always sees the newest in the end.
package peersync

import "github.com/cassiasill/cassiasill/internal/topology"

// Topic is one named, versioned state.
type Topic struct {
	Name    string
	Version topology.Version
	Payload []byte
}

// Bus publishes and reads topics on this host.
type Bus interface {
	// Publish stores the topic if its version is newer than the one known,
	// and reports whether it was.
	Publish(topic Topic) bool
	// Get returns the newest known version of a topic.
	Get(name string) (Topic, bool)
	// List returns the newest known topics whose name has the prefix.
	List(prefix string) []Topic
	// Changed returns a channel that is closed at the next change of a topic
	// whose name has the prefix.
	Changed(prefix string) <-chan struct{}
}
