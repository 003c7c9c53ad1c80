// Package dispatch decides which server gets a request, how long the request
// waits for it, and when it is rejected instead.
//
// Core is the decision: it has no clock, network or randomness; time is passed
// in. One Core that sees all requests of a service keeps every server at its
// number of slots and queues the rest where they can still go to whichever
// server is free first. A Core that sees only the requests of one host uses the
// same rules with a share of each server.
//
// The queue answers these load patterns:
//
//   - A short burst: requests wait, those that can still be answered within
//     their target first, the earliest target first.
//   - Overload: requests that can no longer meet their target yield to those
//     that can. One that can't be served before its deadline either is rejected
//     at once with the time after which the queue will have drained.
//   - Returning callers: a request that was rejected before goes before new
//     ones of its priority, since a second rejection costs its caller most.
//   - One hot owner of keys: its queue is its own; others are not delayed.
package dispatch
