package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/hostlist"
	"github.com/cassiasill/cassiasill/internal/operator"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// fakeStore holds keys in memory; the hosts of these tests do not watch it.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	revision int64
	keys     map[string]store.KeyValue
	down     bool
}

func (s *fakeStore) lock() (func(), error) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return nil, &store.Error{Kind: store.KindUnavailable}
	}
	return s.mu.Unlock, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, int64, error) {
	unlock, err := s.lock()
	if err != nil {
		return store.KeyValue{}, false, 0, err
	}
	defer unlock()
	kv, ok := s.keys[key]
	return kv, ok, s.revision, nil
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]store.KeyValue, int64, error) {
	unlock, err := s.lock()
	if err != nil {
		return nil, 0, err
	}
	defer unlock()
	var out []store.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.keys[key])
		}
	}
	return out, s.revision, nil
}

func (s *fakeStore) Txn(_ context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	unlock, err := s.lock()
	if err != nil {
		return store.TxnResult{}, err
	}
	defer unlock()
	for _, c := range compares {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return store.TxnResult{}, nil
		}
	}
	s.revision++
	for _, op := range ops {
		s.keys[op.Key] = store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: s.revision}
		if op.Delete {
			delete(s.keys, op.Key)
		}
	}
	return store.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

// fakeBus is shared by all hosts, as if peers answered at once.
type fakeBus struct {
	mu      sync.Mutex
	topics  map[string]peersync.Topic
	changed chan struct{}
}

func (b *fakeBus) Publish(t peersync.Topic) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held, ok := b.topics[t.Name]; ok && !t.Version.NewerThan(held.Version) {
		return false
	}
	b.topics[t.Name] = t
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

func (b *fakeBus) Get(name string) (peersync.Topic, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.topics[name]
	return t, ok
}

func (b *fakeBus) List(prefix string) (out []peersync.Topic) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.topics {
		if strings.HasPrefix(name, prefix) {
			out = append(out, t)
		}
	}
	return out
}

func (b *fakeBus) Changed(string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// adinkra is the catalogue group's deployment.
func adinkra() declaration.Inventory {
	servers := func(prefix string, n int) (out []topology.Server) {
		zones := []topology.AvailabilityZone{"accra-osu", "accra-tema", "accra-legon"}
		for i := range n {
			out = append(out, topology.Server{Name: topology.ServerName(fmt.Sprintf("%s-%02d", prefix, i+1)), AvailabilityZone: zones[i%3]})
		}
		return out
	}
	return declaration.Inventory{Services: []declaration.Service{
		{Name: "finishes", Partitioned: true, Servers: servers("fin", 12)},
		{Name: "orders", Servers: servers("ord", 7)}, {Name: "documents", Servers: servers("doc", 11)},
	}}
}

// deployment is three hosts with their operator interfaces.
type deployment struct {
	store *fakeStore
	urls  []string
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	d := &deployment{store: &fakeStore{keys: map[string]store.KeyValue{}}}
	bus := &fakeBus{topics: map[string]peersync.Topic{}, changed: make(chan struct{})}
	var tokens strings.Builder
	for _, name := range []string{"akua", "kofi"} {
		assert.NilError(t, os.WriteFile(name+".token", []byte(name+"-secret\n"), 0o600))
		fmt.Fprintf(&tokens, "%s sha256:%x\n", name, sha256.Sum256([]byte(name+"-secret")))
	}
	assert.NilError(t, os.WriteFile("tokens", []byte(tokens.String()), 0o600))
	var hosts hostlist.Static
	for i, zone := range []topology.AvailabilityZone{"accra-osu", "accra-tema", "accra-legon"} {
		hosts = append(hosts, topology.Host{Name: topology.HostName(fmt.Sprint("host-", i+1)), AvailabilityZone: zone})
	}
	for _, host := range hosts {
		follower := configsync.NewFollower(configsync.FollowerConfig{
			Host: host.Name, Store: d.store, Bus: bus, Inventory: adinkra(),
			Watching: func() bool { return false }, PeerHeard: time.Now, Log: zap.NewNop(),
		})
		writer := configsync.NewWriter(d.store, adinkra(), follower.Install, zap.NewNop())
		server, err := operator.New(operator.Config{
			Host: host.Name, Settings: operator.Settings{Listen: "127.0.0.1:0", TokenFile: "tokens"}, Inventory: adinkra(),
			Writer: writer, Follower: follower, Bus: bus, Hosts: hosts, Log: zap.NewNop(),
		})
		assert.NilError(t, err)
		running.Go(func() { _ = follower.Run(ctx) })
		running.Go(func() { _ = writer.Run(ctx) })
		listener := httptest.NewServer(server)
		t.Cleanup(listener.Close)
		d.urls = append(d.urls, listener.URL)
	}
	t.Setenv("CASSIASILL_SERVER", strings.Join(d.urls, ","))
	t.Setenv("CASSIASILL_TOKEN_FILE", "akua.token")
	return d
}

// run runs the tool and returns what it printed, without changing parts.
func run(args ...string) (string, int) {
	var out bytes.Buffer
	code := Run(context.Background(), args, strings.NewReader(""), &out, &out)
	text := regexp.MustCompile(`20\d\d-\d\d-\d\d`).ReplaceAllString(out.String(), "2026-12-04")
	text = regexp.MustCompile(`([T ])\d\d:\d\d:\d\dZ`).ReplaceAllString(text, "${1}06:12:00Z")
	if code != 0 {
		text += fmt.Sprintf("(exit code %d)\n", code)
	}
	return text, code
}

// splitArgs splits a command line at spaces outside quotes.
func splitArgs(line string) (out []string) {
	for _, m := range regexp.MustCompile(`(?:[^\s"']|"[^"]*"|'[^']*')+`).FindAllString(line, -1) {
		out = append(out, regexp.MustCompile(`["']`).ReplaceAllString(m, ""))
	}
	return out
}

// Guards against a page for operators whose commands no longer work as shown.
// Each console block is run against three hosts and its output compared.
func TestOperatorsPage(t *testing.T) {
	page, err := filepath.Abs("../../docs/operators.md")
	assert.NilError(t, err)
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	t.Chdir(t.TempDir())
	startDeployment(t)
	var got strings.Builder
	block, commands := "", 0
	var file *os.File
	for line := range strings.Lines(string(data)) {
		command, isCommand := strings.CutPrefix(line, "$ cassiasillctl ")
		switch {
		case strings.HasPrefix(line, "```"):
			block = strings.TrimSpace(strings.TrimPrefix(line, "```"))
		case block == "yaml" && strings.HasPrefix(line, "# "):
			file, err = os.Create(strings.TrimSpace(strings.TrimPrefix(line, "# ")))
			assert.NilError(t, err)
		case block == "yaml":
			_, err = file.WriteString(line)
			assert.NilError(t, err)
		case block == "console" && !isCommand:
			continue // an output, compared below
		}
		got.WriteString(line)
		if isCommand {
			output, _ := run(splitArgs(command)...)
			got.WriteString(output)
			commands++
		}
	}
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(page, []byte(got.String()), 0o644))
		return
	}
	assert.Assert(t, commands > 15, "only %d commands found", commands)
	assert.Equal(t, got.String(), string(data))
}

const drainFile = `apiVersion: cassiasill/v1
kind: ServerLabels
metadata: {name: drain}
spec: {service: finishes, server: fin-01, labels: {cassiasill/drain: "true"}}
`

// Guards against exit codes that scripts rely on changing, and against a
// command that succeeds though nothing was done.
func TestExitCodes(t *testing.T) {
	t.Chdir(t.TempDir())
	d := startDeployment(t)
	write := func(name, text string) { assert.NilError(t, os.WriteFile(name, []byte(text), 0o600)) }
	write("drain.yaml", drainFile)
	write("bad.yaml", strings.Replace(drainFile, "server:", "sever:", 1))
	write("unknown.yaml", strings.Replace(drainFile, "fin-01", "fin-99", 1))
	write("wrong.token", "wrong")
	write("editor", "#!/bin/sh\nsed -i s/fin-01/fin-02/ \"$1\"\n")
	assert.NilError(t, os.Chmod("editor", 0o700))
	t.Setenv("EDITOR", "./editor")
	storeDown := func(down bool) { d.store.mu.Lock(); d.store.down = down; d.store.mu.Unlock() }
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"--help", ExitOK, "Exit codes: 0 done"},
		{"aply -f x", ExitUsage, "Unknown command"},
		{"get serverlabel/x", ExitUsage, `unknown kind "serverlabel" (did you mean "ServerLabels"?)`},
		{"apply -f bad.yaml", ExitInvalid, `bad.yaml:4: spec.sever: unknown field (did you mean "server"?)`},
		{"apply -f unknown.yaml", ExitInvalid, `has no server "fin-99"`},
		{"diff -f drain.yaml", ExitDiffers, "+ spec.labels.cassiasill/drain: true"},
		{"apply -f drain.yaml --dry-run", ExitOK, "ServerLabels/drain (created)"},
		{"get ServerLabels/drain", ExitNotFound, "there is no document"},
		{"apply -f drain.yaml", ExitOK, "created"},
		{"apply -f drain.yaml", ExitOK, "unchanged"},
		{"diff -f drain.yaml", ExitOK, "no differences"},
		{"edit ServerLabels/drain", ExitOK, "spec.server"},
		{"get -o json", ExitOK, `"server": "fin-02"`},
		{"get --token-file wrong.token", ExitUnauthorized, "not known"},
		{"status --wait --revision 2", ExitOK, "in force"},
		{"explain finishes/KOF-1 -o yaml", ExitOK, "eligible: false"},
		{"explain nowhere/KOF-1", ExitNotFound, "no service"},
		{"label finishes/fin-03 tier", ExitUsage, "neither LABEL=VALUE nor LABEL-"},
		{"completion fish", ExitUsage, "no completion"},
		{"completion bash", ExitOK, "complete -o default"},
	} {
		got, code := run(splitArgs(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s", c.args, got)
		assert.Assert(t, strings.Contains(got, c.want), "%s: %q is missing in\n%s", c.args, c.want, got)
	}
	storeDown(true)
	got, code := run("label", "finishes/fin-03", "tier=fast")
	assert.Equal(t, code, ExitUnavailable, got)
	assert.Assert(t, strings.Contains(got, "executed: no"), got)
	storeDown(false)
	t.Setenv("CASSIASILL_SERVER", "http://127.0.0.1:1")
	got, code = run("label", "finishes/fin-03", "tier=fast")
	assert.Equal(t, code, ExitUnavailable, got)
}

// Guards against a change that is applied twice or reported wrongly when the
// first host is gone or its answer is lost.
func TestSeveralServersAndLostAnswer(t *testing.T) {
	t.Chdir(t.TempDir())
	d := startDeployment(t)
	lose := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			// The request is passed on and its answer dropped.
			request, err := http.NewRequest(r.Method, d.urls[1]+r.URL.Path, r.Body)
			assert.Check(t, err == nil)
			request.Header = r.Header
			response, err := http.DefaultClient.Do(request)
			if assert.Check(t, err == nil) {
				assert.Check(t, errors.Is(response.Body.Close(), nil))
			}
		}
		panic(http.ErrAbortHandler)
	})
	proxy := httptest.NewServer(lose)
	defer proxy.Close()
	t.Setenv("CASSIASILL_SERVER", strings.Join([]string{"127.0.0.1:1", proxy.URL, d.urls[0]}, ","))
	got, code := run("label", "finishes/fin-03", "tier=fast")
	assert.Equal(t, code, ExitOK, got)
	assert.Assert(t, strings.Contains(got, "created"), got)
	got, _ = run("history")
	assert.Equal(t, strings.Count(got, "created"), 1, got)
}
