// Package placing shares one dispatcher per service among all hosts.
//
// The leader names a host for each service; the others ask it for a server for
// each request and tell it when the request has ended. So it sees all requests
// of the service and keeps every server exactly at its slots. A question costs
// one round trip between hosts, far less than waiting at the wrong server.
//
// Nothing depends on it: a host that gets no word from a dispatcher within
// silenceLimit places its requests itself, with its share of each server.
package placing
