package control

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/store"
)

// storeTimeout is the default timeout of a call to the store.
const storeTimeout = time.Second

// silences are the calls that get no answer.
type silences struct {
	mu      sync.Mutex
	store   map[string]bool   // hosts whose calls to the store get none
	watches map[string]string // prefix of the keys whose polls by a host get none
	reads   map[string]string // prefix of the keys whose polls and listings by a host get none
	cut     map[string]bool   // hosts whose calls to and from other hosts get none
}

func newSilences() *silences {
	return &silences{store: make(map[string]bool), watches: make(map[string]string), reads: make(map[string]string), cut: make(map[string]bool)}
}

func (f *silences) silentStore(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store[host]
}

func (f *silences) silentWatch(host, prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	silenced, ok := f.watches[host]
	return f.store[host] || ok && strings.HasPrefix(prefix, silenced) || f.silentReadLocked(host, prefix)
}

func (f *silences) silentRead(host, prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store[host] || f.silentReadLocked(host, prefix)
}

func (f *silences) silentReadLocked(host, prefix string) bool {
	silenced, ok := f.reads[host]
	return ok && strings.HasPrefix(prefix, silenced)
}

func (f *silences) silentLink(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[from] || f.cut[to]
}

// cutOff silences the host towards the store and the other hosts.
func (f *silences) cutOff(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store[host], f.cut[host] = true, true
}

func (f *silences) silenceStore(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store[host] = true
}

func (f *silences) silenceWatches(host, prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watches[host] = prefix
}

func (f *silences) silenceReads(host, prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads[host] = prefix
}

// silenceableStore is a host's store. A call whose answer is silenced, also while it is
// on its way, fails at its timeout.
type silenceableStore struct {
	Store
	host     string
	silences *silences
}

func awaitAnswer[T any](ctx context.Context, limit time.Duration, silent func() bool, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !silent() {
		if out, err := call(ctx); !silent() {
			return out, err
		}
	}
	<-ctx.Done()
	var none T
	return none, &store.Error{Kind: store.KindUnavailable, Err: ctx.Err()}
}

func (s *silenceableStore) silent() bool { return s.silences.silentStore(s.host) }

// listing is what Range returns, and foundKey what Get returns.
type (
	listing struct {
		items    []store.KeyValue
		revision int64
	}
	foundKey struct {
		kv       store.KeyValue
		found    bool
		revision int64
	}
)

func (s *silenceableStore) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	out, err := awaitAnswer(ctx, storeTimeout, s.silent, func(ctx context.Context) (out foundKey, err error) {
		out.kv, out.found, out.revision, err = s.Store.Get(ctx, key)
		return out, err
	})
	return out.kv, out.found, out.revision, err
}

func (s *silenceableStore) Range(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	silent := func() bool { return s.silences.silentRead(s.host, prefix) }
	out, err := awaitAnswer(ctx, storeTimeout, silent, func(ctx context.Context) (out listing, err error) {
		out.items, out.revision, err = s.Store.Range(ctx, prefix)
		return out, err
	})
	return out.items, out.revision, err
}

func (s *silenceableStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	return awaitAnswer(ctx, storeTimeout, s.silent, func(ctx context.Context) (store.TxnResult, error) { return s.Store.Txn(ctx, compares, ops) })
}

func (s *silenceableStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return awaitAnswer(ctx, storeTimeout, s.silent, func(ctx context.Context) (store.LeaseID, error) { return s.Store.GrantLease(ctx, ttl) })
}

func (s *silenceableStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := awaitAnswer(ctx, storeTimeout, s.silent, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.KeepAlive(ctx, id) })
	return err
}

func (s *silenceableStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchBatch, error) {
	silent := func() bool { return s.silences.silentWatch(s.host, prefix) }
	return awaitAnswer(ctx, wait+storeTimeout, silent, func(ctx context.Context) (store.WatchBatch, error) { return s.Store.Poll(ctx, prefix, after, wait) })
}

// silenceableTransport carries the requests of one host to others.
type silenceableTransport struct {
	http.RoundTripper
	from     string
	silences *silences
}

func (s *silenceableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	to := r.URL.Host[len("host-"):]
	if !s.silences.silentLink(s.from, to) {
		if response, err := s.RoundTripper.RoundTrip(r); !s.silences.silentLink(s.from, to) {
			return response, err
		}
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// newsTime returns how long after its write an entry is known at the last of the hosts
// that the fault leaves in touch, and that host. The fault begins right before the write.
func newsTime(t *testing.T, hosts int, startDelay time.Duration, fault beginFault, write func(*cluster), knows func(*Snapshot) bool) (last time.Duration, host string) {
	synctest.Test(t, func(t *testing.T) {
		f := newSilences()
		c := newCluster(t, hosts, 6, 1, func(n *Node) {
			n.Store = &silenceableStore{n.Store, n.Host, f}
			n.PeerClient = &http.Client{Transport: &silenceableTransport{n.PeerClient.Transport, n.Host, f}}
			n.Capacity = 0.16
			if number, err := strconv.Atoi(n.Host[1:]); err == nil && number%5 == 0 {
				n.Capacity = 0.8
			}
		})
		time.Sleep(8*time.Second + startDelay)
		leader := c.leader().name
		var third []string
		for i := range hosts {
			if name := fmt.Sprint("h", i); i%3 == 1 && name != leader {
				third = append(third, name)
			}
		}
		waiting := make(map[string]*Node)
		for _, h := range c.hosts {
			waiting[h.name] = h.node
		}
		for _, name := range fault(c, f, leader, third) {
			delete(waiting, name)
		}
		assert.Assert(t, len(waiting) >= hosts/2)
		time.Sleep(time.Millisecond)
		write(c)
		writtenAt := time.Now()
		for len(waiting) > 0 && time.Since(writtenAt) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
			for name, node := range waiting {
				if knows(node.View().Load()) {
					delete(waiting, name)
					last, host = time.Since(writtenAt), name
				}
			}
		}
		for name := range waiting {
			last, host = time.Since(writtenAt), name
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
	return last, host
}

// beginFault begins a fault and returns the hosts that need not know in time. A third of
// the hosts other than the leader is named to it.
type beginFault func(c *cluster, f *silences, leader string, third []string) (outOfTouch []string)

// newsFaults are faults right before an entry is written.
var newsFaults = []struct {
	name  string
	begin beginFault
}{
	{"none", func(*cluster, *silences, string, []string) []string { return nil }},
	{"poll of the operators' entries silent", func(_ *cluster, f *silences, leader string, _ []string) []string {
		f.silenceWatches(leader, "operator/")
		return nil
	}},
	{"operators' entries silent to the leader", func(_ *cluster, f *silences, leader string, _ []string) []string {
		f.silenceReads(leader, "operator/")
		return nil
	}},
	{"watches silent", func(c *cluster, f *silences, _ string, _ []string) []string {
		for _, h := range c.hosts {
			f.silenceWatches(h.name, "")
		}
		return nil
	}},
	{"store silent to the leader", func(_ *cluster, f *silences, leader string, _ []string) []string {
		f.silenceStore(leader)
		return []string{leader}
	}},
	{"store silent to the leader and a third", func(_ *cluster, f *silences, leader string, third []string) []string {
		for _, name := range append(third, leader) {
			f.silenceStore(name)
		}
		return append(third, leader)
	}},
	{"store refuses the leader", func(c *cluster, _ *silences, leader string, _ []string) []string {
		c.store.Partition(leader)
		return []string{leader}
	}},
	{"leader cut off", func(_ *cluster, f *silences, leader string, _ []string) []string {
		f.cutOff(leader)
		return []string{leader}
	}},
	{"leader and a third cut off", func(_ *cluster, f *silences, leader string, third []string) []string {
		for _, name := range append(third, leader) {
			f.cutOff(name)
		}
		return append(third, leader)
	}},
	{"leader and all relays cut off", func(c *cluster, f *silences, leader string, _ []string) []string {
		lost := []string{leader}
		for _, address := range c.hosts["host-"+leader].node.currentLeadership().relayAddresses() {
			lost = append(lost, c.hosts[address].name)
		}
		if len(lost) > len(c.hosts)/2 {
			return nil // all hosts are relays
		}
		for _, name := range lost {
			f.cutOff(name)
		}
		return lost
	}},
	{"leader killed", func(c *cluster, f *silences, leader string, _ []string) []string {
		f.silenceStore(leader) // it can't revoke its lease
		c.killHost(c.hosts["host-"+leader])
		return []string{leader}
	}},
}

// requireNewsInTime checks with each fault when an entry is known at all hosts in touch.
func requireNewsInTime(t *testing.T, write func(*cluster), knows func(*Snapshot) bool) {
	// The deployments allow 2 s up to 12 hosts, and 2.5 s above.
	for _, size := range []struct {
		hosts int
		limit time.Duration
	}{{12, 2 * time.Second}, {59, 2500 * time.Millisecond}} {
		for _, fault := range newsFaults {
			t.Run(fmt.Sprintf("%d hosts/%s", size.hosts, fault.name), func(t *testing.T) {
				for startDelay := time.Duration(0); startDelay < time.Second; startDelay += 170 * time.Millisecond {
					last, host := newsTime(t, size.hosts, startDelay, fault.begin, write, knows)
					t.Logf("start delay %s: known at the last host, %s, after %s", startDelay, host, last)
					assert.Check(t, last <= size.limit)
				}
			})
		}
	}
}

// Guards against hosts that go by an older configuration for longer than operators allow
// after a newer one was acknowledged, whoever has failed meanwhile.
func TestConfigurationIsInForceInTime(t *testing.T) {
	requireNewsInTime(t, func(c *cluster) { c.putEntry("operator/config", "2") }, func(s *Snapshot) bool { return s.Config.Version == 2 })
}

// Guards against hosts that do not learn of a server's entry within the time in which
// requests may still reach a server that leaves.
func TestServersAreKnownInTime(t *testing.T) {
	requireNewsInTime(t, func(c *cluster) {
		c.startServer("s77")
		c.putEntry("servers/s77", `{"service":"svc","address":"addr-s77","born":99}`)
	}, func(s *Snapshot) bool {
		_, known := s.Servers.Servers["s77"]
		return known
	})
}

// Guards against hosts that look for a newer configuration although the leader is well:
// their calls would grow with the deployment.
func TestConfigurationStaysFreshWithoutFaults(t *testing.T) {
	for _, hosts := range []int{12, 59, manyHosts} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, hosts, 6, 1, nil)
			time.Sleep(8 * time.Second)
			oldest := time.Duration(0)
			for range 400 {
				time.Sleep(13 * time.Millisecond)
				for _, h := range c.hosts {
					oldest = max(oldest, h.node.Clock().Sub(h.node.View().Load().ConfigConfirmedAt))
				}
			}
			t.Logf("%d hosts: the oldest configuration was confirmed %s before", hosts, oldest)
			assert.Check(t, oldest < maxRelayConfigAge)
			assert.Equal(t, len(c.close()), 0, "%v", c.errors)
		})
	}
}
