// Package peer is the connect-go service between hosts: leadership promises,
// topic replication and claims of idempotency keys. It only carries messages;
// the packages leadership, peersync and idempotency decide.
package peer
