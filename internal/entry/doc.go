// Package entry accepts callers' requests and returns the answers.
//
// A request goes through: route, body, quarantine, dispatch, exchange, and
// again from dispatch if what happened proves that the request may be sent once
// more. What an outcome allows is decided in verdict.go and nowhere else.
package entry
