package peersync

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// entry is a topic with the local number of its last change.
type entry struct {
	topic   Topic
	change  uint64
	learned topology.HostName // the host it came from, empty if published here
}

// LeaderAge bounds the age of the copy of a leader's topics.
type LeaderAge struct {
	Term  topology.Term
	Since time.Time // the copy was the leader's current state at this time or later
}

// Topics is the Bus of one host and the source from which peers pull.
type Topics struct {
	mu      sync.Mutex
	entries map[string]*entry
	changes uint64
	waiters map[string]chan struct{}
	leader  LeaderAge
}

var _ Bus = (*Topics)(nil)

// NewTopics returns an empty bus.
func NewTopics() *Topics {
	return &Topics{entries: make(map[string]*entry), waiters: make(map[string]chan struct{})}
}

// Publish stores the topic if its version is newer than the one known.
func (t *Topics) Publish(topic Topic) bool { return t.store(topic, "") }

func (t *Topics) store(topic Topic, from topology.HostName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[topic.Name]
	if ok && !topic.Version.Newer(known.topic.Version) {
		return false
	}
	t.changes++
	t.entries[topic.Name] = &entry{topic: topic, change: t.changes, learned: from}
	for prefix, waiter := range t.waiters {
		if strings.HasPrefix(topic.Name, prefix) {
			close(waiter)
			delete(t.waiters, prefix)
		}
	}
	return true
}

// Get returns the newest known version of a topic.
func (t *Topics) Get(name string) (Topic, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[name]
	if !ok {
		return Topic{}, false
	}
	return e.topic, true
}

// List returns the newest known topics with the prefix, ordered by name.
func (t *Topics) List(prefix string) []Topic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Topic
	for name, e := range t.entries {
		if strings.HasPrefix(name, prefix) {
			out = append(out, e.topic)
		}
	}
	slices.SortFunc(out, func(a, b Topic) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Changed returns a channel that is closed at the next change below prefix.
func (t *Topics) Changed(prefix string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiter, ok := t.waiters[prefix]
	if !ok {
		waiter = make(chan struct{})
		t.waiters[prefix] = waiter
	}
	return waiter
}

// Remove forgets a topic, such as one of a host that was replaced.
func (t *Topics) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, name)
}

// changedSince returns what changed after cursor, in the order of the changes,
// without what was learnt from the asking host and what it excludes.
func (t *Topics) changedSince(cursor uint64, asking topology.HostName, exclude []string) ([]Topic, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*entry
	for name, e := range t.entries {
		if e.change > cursor && (e.learned != asking || asking == "") && !hasAnyPrefix(name, exclude) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.change, b.change) })
	topics := make([]Topic, len(found))
	for i, e := range found {
		topics[i] = e.topic
	}
	return topics, t.changes
}

func hasAnyPrefix(name string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) })
}

// ConfirmLeader notes that this host led in term at since or later and that its
// topics then showed every decision it had taken.
func (t *Topics) ConfirmLeader(term topology.Term, since time.Time) {
	t.observeLeader(LeaderAge{Term: term, Since: since})
}

// LeaderAge returns since when at the latest this host's copy of the leader's
// topics is current. ok is false before the first answer that knows a leader.
func (t *Topics) LeaderAge() (LeaderAge, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader, !t.leader.Since.IsZero()
}

// observeLeader raises the bound. A younger copy of an older term is not taken:
// that leader may have been replaced since.
func (t *Topics) observeLeader(age LeaderAge) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age.Term > t.leader.Term || age.Term == t.leader.Term && age.Since.After(t.leader.Since) {
		t.leader = age
	}
}
