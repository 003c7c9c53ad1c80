package topology

import "time"

// Route sends one range to the server that holds it.
type Route struct {
	Range  Range      `json:"range"`
	Server ServerName `json:"server,omitempty"`
	// Token is the version of the grant set under which the server holds the
	// range; the host sends it with each request.
	Token Version `json:"token"`
	// Held is false while the range has no owner or is being moved: requests
	// wait in the host's buffer.
	Held bool `json:"held"`
}

// RouteTable is what the leader publishes for one service. Routes are sorted,
// disjoint and cover the ring.
type RouteTable struct {
	Service ServiceName `json:"service"`
	Version Version     `json:"version"`
	Routes  []Route     `json:"routes"`
}

// SnapshotValidity bounds, for services whose servers do not check fencing
// tokens, how long a host may send under a route table, counted from before it
// asked for the table. The leader waits as long before it grants elsewhere.
const SnapshotValidity = 500 * time.Millisecond
