// Package hostlist reads the platform's list of live and leaving hosts. The list
// lags behind, so it is a hint and never proves that a host is up or down.
package hostlist

import (
	"context"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Lister lists the hosts that the platform considers live or leaving.
type Lister interface {
	Hosts(ctx context.Context) ([]topology.Host, error)
}

// Static is a Lister of a fixed list from the settings.
type Static []topology.Host

// Hosts returns the fixed list.
func (s Static) Hosts(context.Context) ([]topology.Host, error) { return s, nil }
