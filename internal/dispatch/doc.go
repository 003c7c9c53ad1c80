// Package dispatch decides which server gets a request, how long the request is
// queued, and when it is rejected instead.
//
// Scheduler makes the decisions for one service. It uses no clock, network or
// randomness of its own; callers pass in the time. A Scheduler that sees all requests
// of a service keeps every server at its number of slots and queues the other
// requests centrally, so that each goes to the server that is free first. A Scheduler
// that sees only the requests of one host follows the same rules with a share of
// each server's slots.
//
// The queues are designed for these load patterns:
//
//   - Short burst: requests are queued. Those that can still meet their
//     target time go first, the earliest target first.
//   - Overload: requests that can no longer meet their target go after those that
//     can. A request that can't be served before its deadline is rejected at once,
//     with the time after which the queue will have drained.
//   - Retries after a rejection: a request that was rejected before goes before
//     new ones of its priority, since a second rejection costs its caller most.
//   - One hot server that owns keys: it has a queue of its own, so requests for
//     other servers are not delayed.
package dispatch
