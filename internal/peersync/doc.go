// Package peersync replicates versioned topics between hosts.
//
// The newest version of a topic wins, and a host never returns to an older
// version. A reader may miss versions that were replaced before it looked, but
// eventually sees the newest one.
//
// Hosts pull topics from each other. Each host numbers its own changes; a puller
// keeps a cursor for each source and gets the changes after it, so that a pull
// without changes has a constant size. In each availability zone a few relays, chosen by
// rendezvous hashing, pull from the hosts of their zone and from the relays of
// the other zones; all other hosts pull from the relays of their zone. A topic
// reaches every host over at most three pulls, and no host serves more than its
// own zone and the relays.
//
// Every response contains an upper bound for the age of the responding host's copy
// of the leader's topics. The age adds up along the chain of pulls; each puller
// counts from before it sent its request. A host can therefore bound the age of
// its routes without comparing clocks.
package peersync
