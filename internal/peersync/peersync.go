package peersync

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Topic is a named state with a version.
type Topic struct {
	Name    string
	Version topology.Version
	Payload []byte
}

// Bus publishes and reads topics on this host.
type Bus interface {
	// Publish stores the topic if its version is newer than the known one, and
	// reports whether it was stored.
	Publish(topic Topic) bool
	// Get returns the newest known version of a topic.
	Get(name string) (Topic, bool)
	// List returns the newest known topics whose name has the prefix.
	List(prefix string) []Topic
	// Changed returns a channel that is closed at the next change of a topic
	// whose name has the prefix.
	Changed(prefix string) <-chan struct{}
}

// PublishOwn publishes payload as the next version of a topic that only this host
// writes. The version is higher than the one that this host knows and, by the wall
// clock, than the one that peers still have from before a restart, so that they do
// not ignore the topic as old.
func PublishOwn(bus Bus, name string, now time.Time, payload []byte) {
	known, _ := bus.Get(name)
	version := topology.Version{Term: topology.NextTerm(0, now), Sequence: 1}
	if !version.NewerThan(known.Version) {
		version = topology.Version{Term: known.Version.Term, Sequence: known.Version.Sequence + 1}
	}
	bus.Publish(Topic{Name: name, Version: version, Payload: payload})
}
