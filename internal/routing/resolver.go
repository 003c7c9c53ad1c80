package routing

import "github.com/cassiasill/cassiasill/internal/topology"

// State tells whether a key can be sent to its owner now.
type State uint8

// The states of a key's route.
const (
	// StateServed: the owner holds the key's range.
	StateServed State = iota
	// StateWaiting: the range is being moved or has lost its owner; the
	// request waits for a change.
	StateWaiting
	// StateStale: this host's snapshot is too old to be acted on.
	StateStale
	// StateUnknown: no such service divided by key.
	StateUnknown
)

// Owner is the answer to a lookup.
type Owner struct {
	Server topology.ServerName
	// Token is the fencing token to send with the request.
	Token topology.Version
	State State
}

// Resolver finds the owner of a key. Its methods never block.
type Resolver interface {
	// Owner returns the owner of the position h in service. It allocates
	// nothing.
	Owner(service topology.ServiceName, h topology.Hash) Owner
	// Changed returns a channel that is closed when the service's routes
	// change next.
	Changed(service topology.ServiceName) <-chan struct{}
}
