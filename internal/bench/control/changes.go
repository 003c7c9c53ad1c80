package control

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// StoreState is how the store behaves while changes are made.
type StoreState string

// The states of the store.
const (
	StoreHealthy  StoreState = "healthy"
	StoreSlow     StoreState = "slow"
	StoreFlapping StoreState = "flapping"
)

const (
	slowCall = 300 * time.Millisecond
	// flapTime is how long a flapping store is up and then down.
	flapTime = time.Second
	// inForceLimit is the target for every live host.
	inForceLimit = 5 * time.Second
	pollInterval = time.Millisecond
	// changePause spreads the changes over several times up and down.
	changePause = 100 * time.Millisecond
)

// Spread is the time from the acceptance of a change until the last host has it
// in force.
type Spread struct {
	Accepted, Refused, Late int
	P50, P99, Max           time.Duration
}

// RunChanges makes changes one after the other and measures their spread.
func RunChanges(ctx context.Context, o Options, state StoreState, changes int) (Spread, error) {
	var out Spread
	err := withDeployment(ctx, o, func(ctx context.Context, d *deployment) error {
		ctx, cancel := context.WithCancel(ctx)
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		inventory := declaration.Inventory{Services: []declaration.Service{
			{Name: serviceName, Partitioned: true, Servers: d.base.Services[0].Servers},
		}}
		writer := configsync.NewWriter(d.store.Client("operator"), inventory, func(configsync.State) {}, zap.NewNop())
		group.Go(func() { _ = writer.Run(ctx) })
		d.disturb(ctx, state, &group)
		histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for i := range changes {
			_ = pause.For(ctx, changePause)
			revision, err := apply(ctx, writer, i)
			if err != nil {
				out.Refused++
				continue
			}
			out.Accepted++
			took := d.inForce(ctx, revision)
			if took > inForceLimit {
				out.Late++
			}
			if err := histogram.RecordValue(took.Microseconds()); err != nil {
				return err
			}
		}
		at := func(q float64) time.Duration { return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond }
		out.P50, out.P99, out.Max = at(50), at(99), at(100)
		return ctx.Err()
	})
	return out, err
}

// disturb brings the store into the state.
func (d *deployment) disturb(ctx context.Context, state StoreState, group *conc.WaitGroup) {
	switch state {
	case StoreSlow:
		d.store.SetResponseDelay(slowCall)
	case StoreFlapping:
		group.Go(func() {
			for pause.For(ctx, flapTime) == nil {
				d.store.StartOutage()
				_ = pause.For(ctx, flapTime)
				d.store.EndOutage()
			}
		})
	}
}

// apply creates one document and returns the revision that contains it.
func apply(ctx context.Context, writer *configsync.Writer, i int) (uint64, error) {
	key := declaration.Key{Kind: declaration.KindKeyLabels, Name: fmt.Sprintf("change-%d", i)}
	document := &declaration.Document{
		APIVersion: declaration.APIVersion, Kind: key.Kind, Metadata: declaration.Metadata{Name: key.Name},
		Spec: declaration.Spec{Service: serviceName, Key: fmt.Sprintf("key-%d", i), Labels: topology.Labels{"change": fmt.Sprint(i)}},
	}
	result, err := writer.Apply(ctx, configsync.Change{
		ID: fmt.Sprintf("bench-change-%08d", i), Author: "bench",
		Edits: []configsync.Edit{{Key: key, BaseAbsent: true, Document: document}},
	})
	return result.Revision, err
}

// inForce waits until every host has the revision in force.
func (d *deployment) inForce(ctx context.Context, revision uint64) time.Duration {
	begin := time.Now()
	for _, h := range d.hosts {
		for h.Declarations().Revision() < revision && time.Since(begin) < 2*inForceLimit {
			if pause.For(ctx, pollInterval) != nil {
				break
			}
		}
	}
	return time.Since(begin)
}
