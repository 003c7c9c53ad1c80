package control

import (
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Reports collects what a host has seen since its last sync with the leader.
type Reports struct {
	mu      sync.Mutex
	loads   map[string]map[uint32]uint32
	servers map[string]*fleetpb.ServerReport
	crashes []*fleetpb.Crash
}

// maxCrashes bounds the crash reports that wait for a leader.
const maxCrashes = 256

// NewReports returns an empty collection.
func NewReports() *Reports {
	return &Reports{loads: make(map[string]map[uint32]uint32), servers: make(map[string]*fleetpb.ServerReport)}
}

// CountKey counts one request for a key position.
func (r *Reports) CountKey(service string, position uint16) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loads[service] == nil {
		r.loads[service] = make(map[uint32]uint32)
	}
	r.loads[service][uint32(position)]++
}

// CountAnswer counts one answer of a server. Expected is the work it should
// have taken and observed the time it took; both are zero if the answer says
// nothing of the server's speed.
func (r *Reports) CountAnswer(server string, failed bool, expected, observed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		s = &fleetpb.ServerReport{Server: server}
		r.servers[server] = s
	}
	s.Answers++
	if failed {
		s.Failures++
	}
	s.ExpectedSeconds += expected.Seconds()
	s.ObservedSeconds += observed.Seconds()
}

// CountCrash reports that a server broke off while it had a request, or that a
// request that was reported before has completed.
func (r *Reports) CountCrash(fingerprint []byte, server string, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) < maxCrashes {
		r.crashes = append(r.crashes, &fleetpb.Crash{Fingerprint: fingerprint, Server: server, Completed: completed})
	}
}

// take moves what was collected into a request. What a failed sync has taken is
// lost: loads are estimates, and a crash is reported again at the next.
func (r *Reports) take(into *fleetpb.SyncRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, counts := range r.loads {
		load := &fleetpb.ServiceLoad{Service: service}
		for position, count := range counts {
			load.Positions = append(load.Positions, position)
			load.Counts = append(load.Counts, count)
		}
		into.Loads = append(into.Loads, load)
	}
	for _, s := range r.servers {
		into.Servers = append(into.Servers, s)
	}
	into.Crashes = r.crashes
	r.loads, r.servers, r.crashes = make(map[string]map[uint32]uint32), make(map[string]*fleetpb.ServerReport), nil
}
