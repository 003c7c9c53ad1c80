// Package peersync replicates versioned topics between hosts.
//
// The newest version of a topic wins and a host never goes back to an older
// one. A subscriber may skip versions that were replaced before it looked, and
// always sees the newest in the end.
//
// Hosts pull. Each host numbers its own changes; a puller keeps a cursor for
// each source and gets what changed after it, so that a request without news
// has a constant size. In each availability zone a few relays, chosen by
// rendezvous hashing, pull from the hosts of their zone and from the relays of
// the other zones; all other hosts pull from the relays of their zone. A topic
// reaches every host over at most three pulls, and no host serves more than its
// own zone and the relays.
//
// Every answer tells how old the answering host's copy of the leader's topics
// can be. The age adds up along the chain of pulls, counted by each puller from
// before it sent its request, so that a host can bound the age of its routes
// without comparing clocks.
package peersync
