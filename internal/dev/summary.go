package dev

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/invariant"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// ErrViolated means that a guarantee was broken; the summary says which.
var ErrViolated = errors.New("a guarantee was broken")

// summarize prints the summary and fails if a guarantee was broken.
func (d *Deployment) summarize() error {
	var executions []invariant.Execution
	perServer := make(map[topology.ServerName]int)
	for _, e := range d.executions() {
		executions = append(executions, invariant.Execution{RequestID: e.RequestID, Server: string(e.Server), Start: e.Start})
		perServer[e.Server]++
	}
	o := d.observer
	o.mu.Lock()
	violations := append(slices.Clone(o.violations), invariant.CheckRequests(o.outcomes, executions)...)
	defer o.mu.Unlock()
	out := d.options.Out
	fmt.Fprintf(out, "requests          %d\n", o.requests)
	for _, kind := range slices.Sorted(maps.Keys(o.errors)) {
		fmt.Fprintf(out, "  %-15s %d\n", kind, o.errors[kind])
	}
	fmt.Fprintf(out, "executions        %d\n", len(executions))
	fmt.Fprintf(out, "moves             %d ranges changed their owner\n", o.moves)
	for _, service := range d.services {
		fmt.Fprintf(out, "imbalance         %.2f max/mean executions per server of %s\n",
			imbalance(perServer, service.Servers), service.Name)
	}
	for _, service := range slices.Sorted(maps.Keys(o.gaps)) {
		fmt.Fprintf(out, "longest unserved  %s for a key of %s\n", o.gaps[service].LongestGap().Round(time.Millisecond), service)
	}
	fmt.Fprintf(out, "violations        %d\n", len(violations))
	for _, v := range violations[:min(len(violations), 10)] {
		fmt.Fprintf(out, "  %s\n", v)
	}
	if len(violations) > 0 {
		return ErrViolated
	}
	return nil
}

// imbalance returns the highest count over the mean, or zero without any.
func imbalance(counts map[topology.ServerName]int, servers []topology.Server) float64 {
	highest, total := 0, 0
	for _, s := range servers {
		highest = max(highest, counts[s.Name])
		total += counts[s.Name]
	}
	if total == 0 {
		return 0
	}
	return float64(highest) * float64(len(servers)) / float64(total)
}
