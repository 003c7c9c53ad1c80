package configsync

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// inForceWithin is the bound of guarantee G8: the time from acceptance of a change
// until it is in force on every host.
const inForceWithin = 5 * time.Second

// inCluster runs test with twelve hosts on a virtual clock.
func inCluster(t *testing.T, test func(t *testing.T, ctx context.Context, s *fakeStore, hosts []*fakeHost)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newFakeStore()
		hosts := startCluster(ctx, s, 12)
		defer func() {
			cancel()
			time.Sleep(10 * time.Second) // lets every goroutine see the cancellation
			synctest.Wait()
		}()
		time.Sleep(time.Second)
		test(t, ctx, s, hosts)
	})
}

func labels(server string, revision uint64, pairs ...string) Edit {
	d := &declaration.Document{
		APIVersion: declaration.APIVersion, Kind: declaration.KindServerLabels, Metadata: declaration.Metadata{Name: server},
		Spec: declaration.Spec{Service: "inventario", Server: topology.ServerName(server), Labels: topology.Labels{}},
	}
	for _, pair := range pairs {
		name, value, _ := strings.Cut(pair, "=")
		d.Spec.Labels[name] = value
	}
	return Edit{Key: d.Key(), BaseRevision: revision, BaseAbsent: revision == 0, Document: d}
}

func change(id string, edits ...Edit) Change {
	return Change{ID: "change-" + id, Author: "operator-" + id, Edits: edits}
}

func mustApply(t *testing.T, h *fakeHost, c Change) Result {
	t.Helper()
	r, err := h.writer.Apply(context.Background(), c)
	assert.NilError(t, err)
	return r
}

func kindOf(err error) apierror.Kind {
	if err == nil {
		return ""
	}
	return apierror.From(err).Kind
}

// requireInForce waits for inForceWithin and checks that every host is fresh and
// has the label's value at the revision or a later one.
func requireInForce(t *testing.T, hosts []*fakeHost, revision uint64, server topology.ServerName, label, value string) {
	t.Helper()
	time.Sleep(inForceWithin)
	for _, h := range hosts {
		set := h.follower.Current()
		got, _ := set.ServerLabels("inventario", server)
		assert.Assert(t, set.Revision() >= revision && got[label] == value,
			"%s: revision %d, %s=%q; want at least %d, %q", h.name, set.Revision(), label, got[label], revision, value)
		assert.Assert(t, h.follower.Fresh(), "%s is not fresh", h.name)
	}
}

// Guards against a change that is accepted but not in force everywhere, or
// reverted, when a fault occurs at any step.
func TestChangeInForceEverywhereDespiteFault(t *testing.T) {
	type world struct {
		store *fakeStore
		hosts []*fakeHost
	}
	faults := []struct {
		name           string
		before, after  func(w world)
		mayBeRefusedAs apierror.Kind
	}{
		{name: "none"},
		{name: "store down before the write", mayBeRefusedAs: apierror.KindStoreUnavailable,
			before: func(w world) { w.store.set(func() { w.store.down = true }) },
			after:  func(w world) { w.store.set(func() { w.store.down = false }) }},
		{name: "write lost before it was applied", mayBeRefusedAs: apierror.KindStoreUnavailable,
			before: func(w world) { w.store.set(func() { w.store.dropTxns = 1 }) }},
		{name: "write delayed until its host has given it up", mayBeRefusedAs: apierror.KindStoreUnavailable,
			before: func(w world) { w.store.set(func() { w.store.txnDelay = time.Minute }) },
			after:  func(world) { time.Sleep(2 * time.Minute) }},
		{name: "store too slow to read", mayBeRefusedAs: apierror.KindStoreUnavailable,
			before: func(w world) { w.store.set(func() { w.store.responseDelay = 3 * callTimeout }) },
			after:  func(w world) { w.store.set(func() { w.store.responseDelay = 0 }) }},
		{name: "store becomes slow during the write",
			before: func(w world) {
				w.store.beforeTxn = func() {
					w.store.beforeTxn = nil
					w.store.set(func() { w.store.responseDelay, w.store.dropResponses = 3*callTimeout, 1 })
					time.AfterFunc(20*time.Second, func() { w.store.set(func() { w.store.responseDelay = 0 }) })
				}
			}},
		{name: "written but unanswered",
			before: func(w world) { w.store.set(func() { w.store.dropResponses = 1 }) }},
		{name: "store down after half the hosts were told",
			before: func(w world) {
				for _, h := range w.hosts[6:] {
					h.setPartitioned(true)
				}
			},
			after: func(w world) {
				w.store.set(func() { w.store.down = true })
				for _, h := range w.hosts[6:] {
					h.setPartitioned(false)
				}
			}},
		{name: "host resumes with the old revision",
			before: func(w world) { w.hosts[5].setPartitioned(true) },
			after: func(w world) {
				time.Sleep(4 * time.Second)
				w.hosts[5].setPartitioned(false)
			}},
		{name: "watch compacted",
			before: func(w world) {
				w.store.set(func() { close(w.store.endWatches); w.store.endWatches = make(chan struct{}) })
			}},
		{name: "watch skips the document",
			before: func(w world) {
				w.store.set(func() { w.store.skip = func(e store.Event) bool { return strings.Contains(e.Key, "/docs/") } })
			}},
		{name: "watch silent and writer gone",
			before: func(w world) {
				w.store.set(func() { w.store.skip = func(store.Event) bool { return true } })
				w.hosts[3].bus.setMute()
			}},
		{name: "store back with a backlog",
			before: func(w world) {
				w.store.set(func() { w.store.dropResponses = 1 })
			},
			after: func(w world) {
				w.store.set(func() { w.store.down = true })
				time.Sleep(time.Minute)
				w.store.set(func() { w.store.down = false })
			}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, _ context.Context, s *fakeStore, hosts []*fakeHost) {
				w := world{s, hosts}
				first := mustApply(t, hosts[4], change("first", labels("inv-03", 0, "tier=slow")))
				requireInForce(t, hosts, first.Revision, "inv-03", "tier", "slow")
				if fault.before != nil {
					fault.before(w)
				}
				second, err := hosts[3].writer.Apply(context.Background(), change("second", labels("inv-03", first.Revision, "tier=fast")))
				if fault.after != nil {
					fault.after(w)
				}
				if fault.mayBeRefusedAs == "" {
					assert.NilError(t, err)
					requireInForce(t, hosts, second.Revision, "inv-03", "tier", "fast")
					requireInForce(t, hosts, second.Revision, "inv-03", "tier", "fast")
					return
				}
				assert.Equal(t, kindOf(err), fault.mayBeRefusedAs)
				assert.Equal(t, apierror.From(err).Response().Executed, apierror.ExecutedNo)
				requireInForce(t, hosts, first.Revision, "inv-03", "tier", "slow")
			})
		})
	}
}

// Guards against a change that never reaches the hosts because all hosts that watch
// the store, and the host that wrote it, fail at once.
func TestChangeInForceAfterLossOfWatchersAndWriter(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, _ *fakeStore, hosts []*fakeHost) {
		hosts[0].setPartitioned(true)
		hosts[1].setPartitioned(true)
		hosts[3].bus.setMute()
		r := mustApply(t, hosts[3], change("orphan", labels("inv-03", 0, "tier=fast")))
		hosts[3].setPartitioned(true)
		requireInForce(t, append(hosts[4:12:12], hosts[2]), r.Revision, "inv-03", "tier", "fast")
	})
}

// Guards against one of two edits of different fields being lost, and against
// both edits of the same field being accepted.
func TestRacingOperators(t *testing.T) {
	for _, c := range []struct {
		name, label string
		accepted    int
	}{{"different fields", "zone", 2}, {"same field", "tier", 1}} {
		t.Run(c.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, _ context.Context, _ *fakeStore, hosts []*fakeHost) {
				base := mustApply(t, hosts[0], change("base", labels("inv-03", 0, "tier=slow", "zone=a"))).Revision
				edits := []Edit{labels("inv-03", base, "tier=fast", "zone=a"), labels("inv-03", base, "tier=slow", "zone=a")}
				edits[1].Document.Spec.Labels[c.label] = "other"
				errs := make(chan error)
				for i, e := range edits {
					go func() {
						_, err := hosts[i*5].writer.Apply(context.Background(), change(fmt.Sprint("race-", i), e))
						errs <- err
					}()
				}
				accepted := 0
				for range edits {
					err := <-errs
					if err == nil {
						accepted++
						continue
					}
					assert.Equal(t, kindOf(err), apierror.KindConflict)
					for _, part := range []string{"ServerLabels/inv-03", "spec.labels.tier", "changed by operator-race-", "cassiasillctl get"} {
						assert.Assert(t, strings.Contains(err.Error(), part), "%q is missing in: %v", part, err)
					}
				}
				assert.Equal(t, accepted, c.accepted)
				if c.accepted == 2 {
					requireInForce(t, hosts, base+2, "inv-03", "tier", "fast")
					requireInForce(t, hosts, base+2, "inv-03", "zone", "other")
				}
			})
		})
	}
}

// Guards against a change whose outcome stays unknown, and against one that is
// applied after its operator was told that it was not.
func TestLostAnswerIsResolvedWhenStoreAnswers(t *testing.T) {
	for _, applied := range []bool{true, false} {
		t.Run(fmt.Sprintf("applied=%v", applied), func(t *testing.T) {
			inCluster(t, func(t *testing.T, _ context.Context, s *fakeStore, hosts []*fakeHost) {
				s.set(func() {
					s.dropResponses, s.dropTxns = 1, 0
					if !applied {
						s.dropResponses, s.dropTxns = 0, 1
					}
				})
				s.beforeTxn = func() { s.set(func() { s.down = true }) }
				c := change("lost", labels("inv-03", 0, "tier=fast"))
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				_, err := hosts[0].writer.Apply(ctx, c)
				assert.Equal(t, kindOf(err), apierror.KindStoreOutcomeUnknown)
				start := time.Now()
				_, err = hosts[0].writer.Apply(context.Background(), change("while-down", labels("inv-04", 0, "tier=fast")))
				assert.Equal(t, kindOf(err), apierror.KindStoreUnavailable)
				assert.Equal(t, time.Since(start), time.Duration(0), "the refusal waits for the store")
				s.beforeTxn = nil
				s.set(func() { s.down = false })
				time.Sleep(time.Second)
				outcome, err := hosts[7].writer.Outcome(context.Background(), c.ID)
				assert.NilError(t, err)
				assert.Equal(t, outcome.Refused, !applied)
				time.Sleep(inForceWithin)
				got, _ := hosts[9].follower.Current().ServerLabels("inventario", "inv-03")
				assert.Equal(t, got["tier"] == "fast", applied)
			})
		})
	}
}

// Guards against a delayed write taking effect after another
// host has told the operator that the change was not accepted.
func TestClosedChangeIsNeverApplied(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, s *fakeStore, hosts []*fakeHost) {
		c := change("delayed", labels("inv-03", 0, "tier=fast"))
		first := true
		s.beforeTxn = func() {
			if first {
				first = false
				outcome, err := hosts[1].writer.Outcome(context.Background(), c.ID)
				assert.NilError(t, err)
				assert.Assert(t, outcome.Refused)
			}
		}
		_, err := hosts[0].writer.Apply(context.Background(), c)
		assert.Equal(t, kindOf(err), apierror.KindConflict)
		assert.Equal(t, hosts[0].follower.Current().Revision(), uint64(0))
	})
}

// Guards against a partitioned host that keeps acting on stale declarations, and
// against an outage of the store alone taking hosts out of service.
func TestFreshness(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, s *fakeStore, hosts []*fakeHost) {
		s.set(func() { s.down = true })
		time.Sleep(time.Minute)
		for _, h := range hosts {
			assert.Assert(t, h.follower.Fresh(), "%s is not fresh during an outage of the store", h.name)
		}
		hosts[6].setPartitioned(true)
		time.Sleep(FreshFor + 100*time.Millisecond)
		assert.Assert(t, !hosts[6].follower.Fresh(), "a partitioned host is still fresh")
		assert.Assert(t, hosts[7].follower.Fresh())
		hosts[6].setPartitioned(false)
		time.Sleep(time.Second)
		assert.Assert(t, hosts[6].follower.Fresh(), "a host is not fresh after the partition")
	})
}

// Guards against a host that keeps acting on stale declarations though it knows
// that it lacks a revision, and against peers that announce a revision which the
// store lacks taking hosts out of service.
func TestUnreadableDeclarations(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, s *fakeStore, hosts []*fakeHost) {
		r := mustApply(t, hosts[0], change("good", labels("inv-03", 0, "tier=fast")))
		hosts[5].bus.Publish(peersync.Topic{Name: Topic, Version: version(r.Revision + 1), Payload: []byte("?")})
		requireInForce(t, hosts, r.Revision, "inv-03", "tier", "fast")
		s.set(func() { s.down = true })
		time.Sleep(FreshFor + probeRetryDelay)
		assert.Assert(t, !hosts[7].follower.Fresh())
	})
}

// Guards against a host that missed many revisions, or has just started during
// an outage of the store, not catching up from its peers alone.
func TestCatchUpFromPeers(t *testing.T) {
	inCluster(t, func(t *testing.T, ctx context.Context, s *fakeStore, hosts []*fakeHost) {
		hosts[11].setPartitioned(true)
		var last Result
		for i := range 3*maxDeltas + 5 {
			last = mustApply(t, hosts[i%10], change(fmt.Sprintf("many-%03d", i), labels("inv-03", last.Revision, fmt.Sprintf("round=%d", i))))
			if i%7 == 0 {
				time.Sleep(time.Second)
			}
		}
		time.Sleep(inForceWithin)
		s.set(func() { s.down = true })
		hosts[11].setPartitioned(false)
		restarted := newFakeHost(s, "host-10", false)
		restarted.start(ctx, hosts[:10])
		requireInForce(t, append(hosts[:10:10], hosts[11], restarted), last.Revision, "inv-03", "round", fmt.Sprint(3*maxDeltas+4))
	})
}

// Guards against a host that goes back to an older revision, for instance one
// that a delayed response of the store contains.
func TestNeverGoesBack(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, _ *fakeStore, hosts []*fakeHost) {
		r := mustApply(t, hosts[0], change("new", labels("inv-03", 0, "tier=fast")))
		old := labels("inv-03", 0, "tier=slow").Document
		for _, revision := range []uint64{0, r.Revision} {
			hosts[0].follower.Install(State{Revision: revision, Documents: map[declaration.Key]*declaration.Document{old.Key(): old}})
			assert.Equal(t, hosts[0].follower.Current().Revision(), r.Revision)
			got, _ := hosts[0].follower.Current().ServerLabels("inventario", "inv-03")
			assert.Equal(t, got["tier"], "fast")
		}
		requireInForce(t, hosts, r.Revision, "inv-03", "tier", "fast")
	})
}

// Guards against an operator who is told that a change was accepted and then
// reads the documents of before from the same host.
func TestAcceptedChangeIsReadFromItsHost(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, _ *fakeStore, hosts []*fakeHost) {
		hosts[0].writer.onAccepted = func(state State) {
			time.Sleep(200 * time.Millisecond)
			hosts[0].follower.Install(state)
		}
		r := mustApply(t, hosts[0], change("read", labels("inv-03", 0, "tier=fast")))
		assert.Equal(t, hosts[0].follower.Current().Revision(), r.Revision)
	})
}

// Guards against unbounded store calls when the edits of a shift come at once, against a
// burst on all hosts starving some, and against a change over the limit
// reaching the store.
func TestBurstAndSizes(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, s *fakeStore, hosts []*fakeHost) {
		const burst = 96
		for _, spread := range []int{1, len(hosts)} {
			errs := make(chan error)
			s.set(func() { s.calls = 0 })
			for i := range burst {
				go func() {
					e := labels(fmt.Sprintf("inv-%02d", i%15), 0, "tier=fast")
					e.Document.Metadata.Name = fmt.Sprintf("burst-%d-%d", spread, i)
					e.Key = e.Document.Key()
					_, err := hosts[i%spread].writer.Apply(context.Background(), change(fmt.Sprintf("burst-%d-%03d", spread, i), e))
					errs <- err
				}()
			}
			for range burst {
				assert.NilError(t, <-errs)
			}
			// A change alone reads the head and the documents and writes once.
			s.set(func() { assert.Assert(t, s.calls < 3*burst, "%d store calls for %d changes", s.calls, burst) })
		}
		big := labels("inv-03", 0, "tier=fast")
		big.Document.Metadata.Description = strings.Repeat("x", MaxChangeBytes)
		_, err := hosts[2].writer.Apply(context.Background(), change("too-large", big))
		assert.Equal(t, kindOf(err), apierror.KindTooLarge)
		assert.ErrorContains(t, err, fmt.Sprint(MaxChangeBytes))
	})
}

// Guards against a part of a change taking effect when another part is refused.
func TestChangeIsAtomic(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, _ *fakeStore, hosts []*fakeHost) {
		bad := labels("inv-99", 0, "tier=fast")
		_, err := hosts[0].writer.Apply(context.Background(), change("atomic", labels("inv-03", 0, "tier=fast"), bad))
		assert.Equal(t, kindOf(err), apierror.KindInvalidDocument)
		assert.ErrorContains(t, err, `has no server "inv-99" (did you mean "inv-09"?)`)
		assert.Equal(t, len(hosts[0].follower.Current().Documents()), 0)
	})
}

// Guards against a history that grows without bound.
func TestHistoryIsBounded(t *testing.T) {
	inCluster(t, func(t *testing.T, _ context.Context, s *fakeStore, hosts []*fakeHost) {
		s.set(func() {
			for i := range maxHistoryChanges + 50 {
				id := fmt.Sprintf("old-%05d", i)
				s.keys[changeKey(id)] = store.KeyValue{Key: changeKey(id), Value: mustMarshal(Accepted{ID: id}), ModRevision: int64(i) - maxHistoryChanges - 50}
			}
		})
		var last Result
		for i := range trimIntervalRevisions {
			last = mustApply(t, hosts[0], change(fmt.Sprintf("trim-%03d", i), labels("inv-03", last.Revision, fmt.Sprintf("round=%d", i))))
		}
		time.Sleep(time.Second)
		history, err := hosts[0].writer.History(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, len(history) <= maxHistoryChanges, "%d changes are kept", len(history))
		assert.Equal(t, history[len(history)-1].ID, last.ID, "the newest change is gone")
	})
}
