// Package entry forwards callers' requests to servers and returns the responses.
//
// A request is matched to a route, its body is read, it is checked against the
// quarantine, the dispatcher chooses a server, and package exchange sends it.
// If the outcome proves that a retry is safe, the request returns to the
// dispatcher. Only decision.go decides what an outcome allows.
package entry
