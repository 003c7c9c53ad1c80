// Package ownership is the leader's control loop over the servers that own
// keys: it sends heartbeats with grants, takes over from earlier leaders, fails
// over, moves ranges and persists assignments.
//
// Ledger decides; it is pure and takes the time from its caller. Controller
// runs it against servers, store and bus.
package ownership
