package routing

import "github.com/cassiasill/cassiasill/internal/topology"

// State describes whether a request for a key can be sent to its owner now.
type State uint8

const (
	// StateServed means that the owner holds the key's range.
	StateServed State = iota
	// StateWaiting means that the range is being moved or has lost its owner.
	// The request must wait for a change of the routes.
	StateWaiting
	// StateStale means that this host's snapshot is too old to be used.
	StateStale
	// StateUnknown means that there is no such service divided by key.
	StateUnknown
)

// Owner is the result of a lookup.
type Owner struct {
	Server topology.ServerName
	// Token is the fencing token to send with the request.
	Token topology.Version
	State State
}

// Resolver finds the owner of a key. Its methods never block.
type Resolver interface {
	// Owner returns the owner of position h in the service. It does not
	// allocate.
	Owner(service topology.ServiceName, h topology.Hash) Owner
	// Changed returns a channel that is closed at the next change of the
	// service's routes.
	Changed(service topology.ServiceName) <-chan struct{}
}
