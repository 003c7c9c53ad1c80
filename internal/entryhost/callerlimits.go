package entryhost

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/connlimit"
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

const (
	// peerMemoryDivisor is the part of the callers' memory that bodies of other hosts may
	// have besides it, so that callers can't displace them: one in eight.
	peerMemoryDivisor = 8
	// maxPeerBodyBytes is above the largest message between hosts, a server list.
	maxPeerBodyBytes = 16 << 20
	// maxAdminConns bounds the connections to each of the readiness and metrics ports.
	maxAdminConns = 64
	// adminTimeout bounds a request for readiness or metrics and its response.
	adminTimeout = 10 * time.Second
	// maxInternalHeaderBytes bounds the heads of requests of other hosts and operators.
	maxInternalHeaderBytes = 16 << 10
)

// countPeerLimit counts a connection of another host that was refused or closed.
func (o *Options) countPeerLimit() {
	o.limitEvents.Reached(entry.LimitPeerConnections, "limits.maxDescriptors")
}

// boundPeers returns the server for other hosts.
func (o *Options) boundPeers(handler http.Handler) *connlimit.Server {
	if memory := o.Callers.MemoryBytes / peerMemoryDivisor; memory > 0 {
		handler = entry.BoundBodies(handler, membudget.New(memory, memory/reserveDivisor), o.Callers.Limits, maxPeerBodyBytes)
	}
	return connlimit.NewServer(&http.Server{Handler: handler, ReadHeaderTimeout: time.Second, MaxHeaderBytes: maxInternalHeaderBytes,
		ConnContext: network.ContextWithConn, ErrorLog: zap.NewStdLog(o.Log)}, o.MaxPeerConns, func(bool) { o.countPeerLimit() })
}

// boundAdmin returns the server of the readiness or the metrics port.
func (o *Options) boundAdmin(handler http.Handler) *connlimit.Server {
	return connlimit.NewServer(&http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, MaxHeaderBytes: maxInternalHeaderBytes,
		ErrorLog: zap.NewStdLog(o.Log)}, maxAdminConns, func(bool) { o.limitEvents.Reached(entry.LimitAdminConnections, "none") })
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
