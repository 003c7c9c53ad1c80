package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// leavingDelay is how long a host still uses a server that has told it that it is
// shutting down. The leader learns of it meanwhile and moves the server's keys.
const leavingDelay = 500 * time.Millisecond

// leavingServer is a server that has told this host that it is shutting down.
type leavingServer struct {
	*fleetpb.LeavingServer
	seenAt   boottime.Instant
	reported bool // to a leader
}

// watchLeaving stops the use of servers that told this host leavingDelay ago that
// they are shutting down. It returns those that no leader has been told of.
func (n *Node) watchLeaving() (unreported []*fleetpb.LeavingServer) {
	now := n.Clock()
	var due []*fleetpb.LeavingServer
	n.mu.Lock()
	for _, s := range n.Reports.takeLeaving() {
		n.leaving = append(n.leaving, leavingServer{LeavingServer: s, seenAt: now})
	}
	kept := n.leaving[:0]
	for _, s := range n.leaving {
		isDue := now.Sub(s.seenAt) >= leavingDelay
		if isDue {
			due = append(due, s.LeavingServer)
		}
		if !s.reported {
			unreported = append(unreported, s.LeavingServer)
		}
		if !isDue || !s.reported {
			kept = append(kept, s)
		}
	}
	n.leaving = kept
	n.mu.Unlock()
	n.markLeaving(due)
	return unreported
}

// StopUsingLeavingServers stops the use of servers that have told this host that they
// are shutting down. It is called each second, since a step of a host that looks for
// a leader may take longer than such a server may still be used.
func (n *Node) StopUsingLeavingServers() { n.watchLeaving() }

// recordLeavingReported records that a leader has been told of the servers.
func (n *Node) recordLeavingReported(reported []*fleetpb.LeavingServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.leaving {
		if slices.Contains(reported, n.leaving[i].LeavingServer) {
			n.leaving[i].reported = true
		}
	}
}

// markLeaving marks servers as draining that have said that they are shutting down.
func (n *Node) markLeaving(servers []*fleetpb.LeavingServer) {
	for _, s := range servers {
		if n.view.setDraining(s.Server, s.Born) {
			n.Log.Info("control: server says that it is shutting down", zap.String("server", s.Server))
		}
	}
}
