// Package peer is the connect-go service between hosts for leadership promises,
// topic replication and claims of idempotency keys. It only transports messages;
// the packages leadership, peersync and idempotency handle them.
package peer
