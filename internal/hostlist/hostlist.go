// Package hostlist is the port to the platform's list of live and leaving
// hosts. The list lags: it is a hint and never evidence of life or death.
package hostlist

import (
	"context"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Lister returns the hosts that the platform believes to be live or leaving.
type Lister interface {
	Hosts(ctx context.Context) ([]topology.Host, error)
}

// Static is a Lister with a fixed list, as the settings give it.
type Static []topology.Host

// Hosts returns the fixed list.
func (s Static) Hosts(context.Context) ([]topology.Host, error) { return s, nil }
