package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cassiasill/cassiasill/internal/invariant"
	"github.com/cassiasill/cassiasill/internal/ownership"
	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	sampleInterval = 10 * time.Millisecond
	// servedWithin is how long after a loss a key may be unserved.
	servedWithin = 3 * time.Second
)

// watcher observes a deployment from outside and checks the guarantees.
type watcher struct {
	d   *deployment
	log *zap.Logger
	end chan struct{}

	mu         sync.Mutex
	owners     *invariant.OwnerChecker
	gaps       invariant.GapTracker
	force      *invariant.ChangeChecker
	frozen     map[topology.ServerName]bool
	stored     topology.Version
	moves      []string // planned moves that were started, as ids of OwnerChecker
	outcomes   []invariant.Outcome
	exchanges  []invariant.Exchange
	shutdowns  map[string]time.Time
	leaving    map[topology.ServerName]time.Time
	violations []string
	lines      []string
	// event is when something was last lost or put back.
	event      time.Time
	unanswered time.Duration
	unknown    int // bookings whose outcome the caller does not know
	requests   int
}

func newWatcher(d *deployment) *watcher {
	w := &watcher{
		d: d, end: make(chan struct{}), owners: invariant.NewOwnerChecker(), force: invariant.NewChangeChecker(),
		frozen: make(map[topology.ServerName]bool), shutdowns: make(map[string]time.Time), leaving: make(map[topology.ServerName]time.Time),
	}
	w.log = zap.New(&logCore{w, nil})
	return w
}

// logCore keeps the hosts' log and notes the moves that they start.
type logCore struct {
	watcher *watcher
	fields  []zapcore.Field
}

func (c *logCore) Enabled(level zapcore.Level) bool { return level >= zapcore.InfoLevel }
func (c *logCore) Sync() error                      { return nil }
func (c *logCore) With(fields []zapcore.Field) zapcore.Core {
	return &logCore{c.watcher, append(slices.Clip(c.fields), fields...)}
}

func (c *logCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

func (c *logCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	encoder := zapcore.NewMapObjectEncoder()
	for _, f := range append(slices.Clip(c.fields), fields...) {
		f.AddTo(encoder)
	}
	line := time.Now().Format("05.000 ") + e.Level.CapitalString() + " " + e.Message
	for _, name := range slices.Sorted(maps.Keys(encoder.Fields)) {
		line += fmt.Sprintf(" %s=%v", name, encoder.Fields[name])
	}
	c.watcher.mu.Lock()
	defer c.watcher.mu.Unlock()
	c.watcher.lines = append(c.watcher.lines, line)
	role := map[string]string{
		"ownership: " + string(ownership.EventMoveStarted): "",
		// Such a move is durable if the stored assignment names the successor.
		"ownership: " + string(ownership.EventEvacuation): "successor ",
	}
	if role, ok := role[e.Message]; ok {
		first := fmt.Sprint(encoder.Fields["first"])[1:17]
		c.watcher.moves = append(c.watcher.moves, fmt.Sprintf("%v %s %s%v", encoder.Fields["service"], first, role, encoder.Fields["to"]))
	}
	return nil
}

func (w *watcher) violated(what, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, time.Now().Format("05.000 ")+what+": "+fmt.Sprintf(format, args...))
}

// note adds a line of the harness to the log.
func (w *watcher) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.event = time.Now()
	w.lines = append(w.lines, w.event.Format("05.000 ")+"---- "+fmt.Sprintf(format, args...))
}

// ownership is told by servers what they hold from now on.
func (w *watcher) ownership(o standin.Ownership) {
	if o.Incarnation == "" {
		w.owners.Dropped(o.Service, o.Server)
		return
	}
	now := time.Now()
	w.owners.Granted(now, o.Service, o.Server, o.Ranges, now.Add(o.Expiry-o.Clock))
}

func (w *watcher) run() {
	// The store is read apart, because it may be slow.
	storeCtx, cancel := context.WithCancel(context.Background())
	w.d.group.Go(func() {
		for storeCtx.Err() == nil {
			w.readStore(storeCtx)
			time.Sleep(sampleInterval)
		}
	})
	for {
		select {
		case <-w.end:
			cancel()
			return
		case <-time.After(sampleInterval):
			w.sample(time.Now())
		}
	}
}

func (w *watcher) stop() { close(w.end) }

func (w *watcher) sample(now time.Time) {
	var held []topology.Range
	for _, s := range w.d.of(stock) {
		if o := s.Ownership(); o.Valid && !w.isFrozen(o.Server) {
			held = append(held, o.Ranges...)
		}
	}
	w.mu.Lock()
	w.gaps.Observe(now, held)
	w.mu.Unlock()
	for _, h := range w.d.hosts {
		h.noteWell(now)
		h.mu.Lock()
		entry, starts := h.entry, h.starts
		h.mu.Unlock()
		if entry == nil {
			continue
		}
		ready, _ := entry.Ready()
		revision := entry.Declarations().Revision()
		if wrap := w.d.variant.wrapRevision; wrap != nil {
			revision = wrap(now, revision)
		}
		w.mu.Lock()
		w.force.Observe(now, fmt.Sprintf("%s (start %d)", h.name, starts), ready, revision)
		w.mu.Unlock()
	}
}

func (w *watcher) isFrozen(server topology.ServerName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen[server]
}

// covered reports whether every key is served now.
func (w *watcher) covered() bool {
	var held []topology.Range
	for _, s := range w.d.of(stock) {
		if o := s.Ownership(); o.Valid && !w.isFrozen(o.Server) {
			held = append(held, o.Ranges...)
		}
	}
	return len(topology.SubtractRanges([]topology.Range{topology.FullRange}, held)) == 0
}

// readStore notes each new assignment in the store and checks that its version
// never goes back.
func (w *watcher) readStore(ctx context.Context) {
	kvs, _, err := w.d.store.Range(ctx, "assignment/"+string(stock)+"/")
	if err != nil {
		return
	}
	values := make(map[string][]byte)
	for _, kv := range kvs {
		values[kv.Key] = kv.Value
	}
	var manifest struct {
		Version topology.Version
		Chunks  []struct{ Key string }
	}
	if json.Unmarshal(values[ownership.ManifestKey(stock)], &manifest) != nil || manifest.Version == w.stored {
		return
	}
	if !manifest.Version.NewerThan(w.stored) {
		w.violated(string(invariant.Durable), "the stored assignment went from version %s to %s", w.stored, manifest.Version)
	}
	assignment := topology.Assignment{Service: stock, Version: manifest.Version}
	for _, c := range manifest.Chunks {
		var part []topology.Slice
		if err := json.Unmarshal(values[c.Key], &part); err != nil {
			w.violated(string(invariant.Durable), "chunk %s of version %s: %v", c.Key, manifest.Version, err)
		}
		assignment.Slices = append(assignment.Slices, part...)
	}
	if err := assignment.Validate(); err != nil {
		w.violated(string(invariant.Durable), "%v", err)
	}
	for _, s := range assignment.Slices {
		w.owners.Stored(fmt.Sprintf("%s %016x %s", stock, uint64(s.Range.First), s.Owner))
		for _, successor := range s.Successors {
			w.owners.Stored(fmt.Sprintf("%s %016x successor %s", stock, uint64(s.Range.First), successor))
		}
	}
	w.stored = manifest.Version
}

// moveStarted reports whether a host has started a planned move away from a
// server that leaves.
func (w *watcher) moveStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.leaving) > 0 && len(w.moves) > 0
}

func (w *watcher) freeze(s *standin.Server, on bool) {
	w.mu.Lock()
	w.frozen[s.Name()] = on
	w.mu.Unlock()
	if on {
		s.Freeze()
	} else {
		s.Resume()
	}
}

func (w *watcher) shutdownBegan(host string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shutdowns[host] = at
}

func (w *watcher) leaves(server topology.ServerName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[server] = time.Now()
}

// check adds the breaches that only the whole run shows and returns all.
func (w *watcher) check() []string {
	var byPath, all []invariant.Execution
	crashed := make(map[string]int)
	for _, s := range w.d.servers {
		for _, e := range s.Executions() {
			x := invariant.Execution{RequestID: e.Path, Server: string(e.Server), Start: e.Start}
			all = append(all, x)
			if isPoison(e.Path) {
				crashed[e.Path]++
				continue
			}
			byPath = append(byPath, x)
			if e.Service == stock && !e.Held {
				w.violated(string(invariant.OneOwner), "%s ran %s %s without owning its key", e.Server, e.Path, e.Start.Format("05.000"))
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.moves {
		w.owners.Acknowledged(time.Now(), stock, id)
	}
	found := append(w.owners.Violations(), w.force.Violations()...)
	found = append(found, invariant.CheckRequests(w.outcomes, byPath)...)
	for server, since := range w.leaving {
		found = append(found, invariant.CheckLeaving(string(server), since, all)...)
	}
	for host, begun := range w.shutdowns {
		found = append(found, invariant.CheckShutdown(host, begun, balancerNotice, w.exchanges)...)
	}
	for path, n := range crashed {
		if n > 2 {
			w.violations = append(w.violations, "quarantine: "+path+" crashed "+strconv.Itoa(n)+" upstreams, more than 2")
		}
	}
	for _, v := range found {
		w.violations = append(w.violations, v.String())
	}
	if longest := w.gaps.LongestGap(); longest > servedWithin {
		w.violations = append(w.violations, fmt.Sprintf("served again: a key was unserved for %s, more than %s", longest, servedWithin))
	}
	return w.violations
}
