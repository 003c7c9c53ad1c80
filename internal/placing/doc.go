// Package placing shares one dispatcher per service among all hosts.
//
// The leader names one host as the dispatcher of each service. The other hosts
// request a server from it for each request and report when the request has ended.
// So the dispatcher sees all requests of the service and keeps every server at its
// slots. This costs one round trip between hosts per request, far less than
// queueing at the wrong server.
//
// The dispatcher is no single point of failure: a host that receives nothing from
// it for silenceTimeout chooses servers itself, with its share of each server's
// slots.
package placing
