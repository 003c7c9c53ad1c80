package control

import (
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Reports collects what a host has observed since its last sync with the
// leader.
type Reports struct {
	mu      sync.Mutex
	loads   map[string]map[uint32]uint32
	servers map[string]*fleetpb.ServerReport
	crashes []*fleetpb.Crash
	// leaving holds the incarnations of servers that have said that they are shutting
	// down, by ID; it is never emptied. unreported are those not yet taken.
	leaving    map[string]int64
	unreported []*fleetpb.LeavingServer
}

// maxCrashes bounds the number of crash reports that wait for a sync.
const maxCrashes = 256

// NewReports returns an empty Reports.
func NewReports() *Reports {
	return &Reports{loads: make(map[string]map[uint32]uint32), servers: make(map[string]*fleetpb.ServerReport), leaving: make(map[string]int64)}
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

// CountResponse counts one attempt at a server. Expected is the work that it
// should have taken and observed the time that it took. Both are zero if the
// attempt says nothing about the server's speed.
func (r *Reports) CountResponse(server string, failed bool, expected, observed time.Duration) {
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

// ReportCrash reports that the connection to a server broke while it had a
// request, or that a request that was reported before has completed.
func (r *Reports) ReportCrash(fingerprint []byte, server string, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) < maxCrashes {
		r.crashes = append(r.crashes, &fleetpb.Crash{Fingerprint: fingerprint, Server: server, Completed: completed})
	}
}

// ReportLeaving reports that a server process has said that it is shutting down.
func (r *Reports) ReportLeaving(server string, incarnation int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reported, known := r.leaving[server]; known && reported == incarnation {
		return
	}
	r.leaving[server] = incarnation
	r.unreported = append(r.unreported, &fleetpb.LeavingServer{Server: server, Born: incarnation})
}

// takeLeaving returns the servers reported as shutting down since the last call.
func (r *Reports) takeLeaving() []*fleetpb.LeavingServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.unreported
	r.unreported = nil
	return out
}

// drainInto moves the collected reports into a sync request. If that sync fails
// they are lost: loads are estimates, and the next crash under the same request
// is reported again.
func (r *Reports) drainInto(request *fleetpb.SyncRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, counts := range r.loads {
		load := &fleetpb.ServiceLoad{Service: service}
		for position, count := range counts {
			load.Positions = append(load.Positions, position)
			load.Counts = append(load.Counts, count)
		}
		request.Loads = append(request.Loads, load)
	}
	for _, s := range r.servers {
		request.Servers = append(request.Servers, s)
	}
	request.Crashes = r.crashes
	r.loads, r.servers, r.crashes = make(map[string]map[uint32]uint32), make(map[string]*fleetpb.ServerReport), nil
}
