package topology

import "time"

// Route maps one range to the server that holds it.
type Route struct {
	Range  Range      `json:"range"`
	Server ServerName `json:"server,omitempty"`
	// Token is the fencing token: the version of the grant set under which the
	// server holds the range. The host sends it with each request.
	Token Version `json:"token"`
	// Held is false while the range has no owner or is being moved. Requests
	// for the range then wait in the host's buffer.
	Held bool `json:"held"`
}

// RouteTable holds the routes of one service, as published by the leader.
// Routes are sorted, disjoint and cover the ring.
type RouteTable struct {
	Service ServiceName `json:"service"`
	Version Version     `json:"version"`
	Routes  []Route     `json:"routes"`
}

// RouteTableValidity bounds how long a host may send requests by a route table
// to servers that do not check fencing tokens. The time counts from before the
// host requested the table. The leader waits for the same time before it grants
// a range to another server.
const RouteTableValidity = 500 * time.Millisecond
