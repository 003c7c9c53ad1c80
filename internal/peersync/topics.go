package peersync

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// entry is a stored topic.
type entry struct {
	topic  Topic
	change uint64            // number of its last change on this host
	source topology.HostName // the host that sent it, empty if published here
}

// LeaderAge bounds the age of this host's copy of a leader's topics.
type LeaderAge struct {
	Term  topology.Term
	Since time.Time // at this time or later the copy equaled the leader's state
}

// Topics is the Bus of one host. Peers pull its topics.
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
	if ok && !topic.Version.NewerThan(known.topic.Version) {
		return false
	}
	t.changes++
	t.entries[topic.Name] = &entry{topic: topic, change: t.changes, source: from}
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

// Changed returns a channel that is closed at the next change of a topic whose
// name has the prefix.
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

// Remove deletes a topic, such as one of a host that was replaced.
func (t *Topics) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, name)
}

// changedSince returns the topics that changed after cursor, in the order of the
// changes, and the new cursor. It omits topics that came from the pulling host and
// topics with an excluded prefix.
func (t *Topics) changedSince(cursor uint64, asking topology.HostName, exclude []string) ([]Topic, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*entry
	for name, e := range t.entries {
		if e.change > cursor && (e.source != asking || asking == "") && !hasAnyPrefix(name, exclude) {
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

// ConfirmLeader records that this host was the leader of term at since or later,
// and that its topics then included every decision that it had made.
func (t *Topics) ConfirmLeader(term topology.Term, since time.Time) {
	t.observeLeader(LeaderAge{Term: term, Since: since})
}

// LeaderAge returns the bound for the age of this host's copy of the leader's
// topics. ok is false before the first response that names a leader.
func (t *Topics) LeaderAge() (LeaderAge, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader, !t.leader.Since.IsZero()
}

// observeLeader updates the bound if age is newer. It ignores a newer confirmation
// of an older term because that leader may have been replaced since.
func (t *Topics) observeLeader(age LeaderAge) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age.Term > t.leader.Term || age.Term == t.leader.Term && age.Since.After(t.leader.Since) {
		t.leader = age
	}
}
