package entryhost

import (
	"context"
	"net"

	"go.opentelemetry.io/otel/metric"

	"github.com/cassiasill/cassiasill/internal/entry"
	"github.com/cassiasill/cassiasill/internal/membudget"
	"github.com/cassiasill/cassiasill/internal/network"
)

// CallerOptions bound what callers hold. Zero values set no bound.
type CallerOptions struct {
	// MemoryBytes is for bodies and responses of all callers together.
	MemoryBytes int64
	// MaxConns bounds the open connections.
	MaxConns int
	// ReceiveBufferBytes and SendBufferBytes bound the kernel's buffers of a connection.
	ReceiveBufferBytes, SendBufferBytes int
	// Limits are those of one caller.
	Limits entry.CallerLimits
}

// reserveDivisor is the part of the callers' memory that is kept for small messages: one in
// four.
const reserveDivisor = 4

// newBudget returns the byte budget of the process, nil if none is set.
func (o *CallerOptions) newBudget() *membudget.Budget {
	if o.MemoryBytes == 0 {
		return nil
	}
	return membudget.New(o.MemoryBytes, o.MemoryBytes/reserveDivisor)
}

// setBuffers bounds the kernel's buffers of the connections that the listener accepts.
func (o *CallerOptions) setBuffers(l net.Listener) error {
	if o.ReceiveBufferBytes == 0 {
		return nil
	}
	return network.SetListenerBuffers(l, o.ReceiveBufferBytes, o.SendBufferBytes)
}

// registerCallerGauges registers gauges of the byte budget and of the callers' connections.
func registerCallerGauges(meter metric.Meter, budget *membudget.Budget, connections func() int) error {
	gauges := []struct {
		name, description string
		value             func() int64
	}{
		{"entry.budget_bytes", "Byte budget for bodies and responses of callers.", func() int64 { return budget.Usage().Total }},
		{"entry.budget_used_bytes", "Bytes taken of the budget.", func() int64 { return budget.Usage().Used }},
		{"entry.budget_evicted", "Bodies that had to give way since the start.", func() int64 { return budget.Usage().Evicted }},
		{"entry.budget_refused", "Bodies refused since the start because the budget had no room.", func() int64 { return budget.Usage().Refused }},
		{"entry.connections", "Open connections of callers.", func() int64 { return int64(connections()) }},
	}
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.value())
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}
