package matrix

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/invariant"
	"github.com/cassiasill/cassiasill/internal/netfault"
	"github.com/cassiasill/cassiasill/internal/store/gateway"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// operator edits declarations through a writer of its own, as a host does on
// behalf of an operator.
type operator struct {
	d       *deployment
	name    string
	network *netfault.Network
	writer  *configsync.Writer
	sent    int
	// accepted and refused hold the ids of changes by what the operator was told.
	accepted, refused, unknown []string
	// revisions are those of the documents that the operator has seen.
	revisions map[declaration.Key]uint64
}

func (d *deployment) newOperator(ctx context.Context, name string) *operator {
	network := netfault.NewNetworkOver(d.pipes, func(string) time.Duration { return latency })
	var inventory declaration.Inventory
	for _, s := range d.settings.Services {
		inventory.Services = append(inventory.Services, declaration.Service{Name: s.Name, Partitioned: s.DividedByKey, Servers: s.Servers})
	}
	transport := &http.Transport{DialContext: network.Dial}
	store := gateway.New(&http.Client{Transport: transport}, time.Duration(d.settings.Store.Timeout), d.settings.Store.Endpoints...)
	o := &operator{d: d, name: name, network: network, revisions: make(map[declaration.Key]uint64),
		writer: configsync.NewWriter(store, inventory, func(configsync.State) {}, d.watch.log)}
	d.group.Go(func() {
		defer network.Kill()
		_ = o.writer.Run(ctx)
	})
	return o
}

// keyLabels returns a document that changes no routing.
func keyLabels(name string, labels topology.Labels) *declaration.Document {
	return &declaration.Document{APIVersion: declaration.APIVersion, Kind: declaration.KindKeyLabels,
		Metadata: declaration.Metadata{Name: name}, Spec: declaration.Spec{Service: stock, Prefix: "unused-" + name, Labels: labels}}
}

// apply writes the document over the version that the operator has seen.
func (o *operator) apply(document *declaration.Document) (revision uint64, err error) {
	o.sent++
	change := configsync.Change{ID: fmt.Sprintf("change-%s-%d", o.name, o.sent), Author: o.name}
	edit := configsync.Edit{Key: document.Key(), Document: document, BaseRevision: o.revisions[document.Key()]}
	edit.BaseAbsent = edit.BaseRevision == 0
	change.Edits = []configsync.Edit{edit}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	result, err := o.writer.Apply(ctx, change)
	var problem *apierror.Error
	switch {
	case err == nil:
		o.accepted = append(o.accepted, change.ID)
		o.revisions[document.Key()] = result.Revision
		w := o.d.watch
		w.mu.Lock()
		w.force.RecordAcceptedChange(time.Now(), result.Revision)
		w.mu.Unlock()
	case errors.As(err, &problem) && problem.Response().Executed == apierror.ExecutedNo:
		o.refused = append(o.refused, change.ID)
	default:
		o.unknown = append(o.unknown, change.ID)
	}
	return result.Revision, err
}

// work makes small changes until ctx ends.
func (o *operator) work(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		_, _ = o.apply(keyLabels(fmt.Sprintf("%s-%d", o.name, n), topology.Labels{"note": "x"}))
		time.Sleep(700 * time.Millisecond)
	}
}

// verify compares what the operator was told with the history.
func (o *operator) verify() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	history, err := o.writer.History(ctx)
	if err != nil {
		o.d.watch.violated(string(invariant.ChangeInEffect), "the history is not readable at the end: %v", err)
		return
	}
	kept := make(map[string]bool)
	for _, a := range history {
		kept[a.ID] = true
	}
	for _, id := range o.accepted {
		if !kept[id] {
			o.d.watch.violated(string(invariant.ChangeInEffect), "%s was accepted but is not in the history", id)
		}
	}
	for _, id := range o.refused {
		if kept[id] {
			o.d.watch.violated(string(invariant.NotExecutedIsTrue), "%s was refused with executed: no but is in the history", id)
		}
	}
}

// race lets two operators change the same field of one document at the same
// time until stop is closed: at most one of them may be accepted each time.
func race(d *deployment, a, b *operator, stop <-chan struct{}) {
	document := func(o *operator, round int) *declaration.Document {
		return keyLabels("raced", topology.Labels{"turn": fmt.Sprintf("%s-%d", o.name, round), o.name: fmt.Sprint(round)})
	}
	key := document(a, 0).Key()
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		seen := max(a.revisions[key], b.revisions[key])
		a.revisions[key], b.revisions[key] = seen, seen
		var errB error
		done := make(chan struct{})
		d.group.Go(func() {
			defer close(done)
			_, errB = b.apply(document(b, round))
		})
		_, errA := a.apply(document(a, round))
		<-done
		if errA == nil && errB == nil {
			d.watch.violated(string(invariant.ChangeInEffect), "both operators were told that their value of one field is accepted in round %d", round)
		}
	}
}
