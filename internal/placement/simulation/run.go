package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/sketch"
)

// Options are the parameters of a run.
type Options struct {
	Servers           int
	Hosts             int
	Keys              int
	RequestsPerServer float64
	Duration          time.Duration
	// Warmup is the time at the start that the figures exclude, except Settle.
	Warmup    time.Duration
	PlanEvery time.Duration
	// MoveGap is the time for which a key is not served while it moves. LossGap
	// is the time for which it is not served after the loss of its server.
	MoveGap, LossGap time.Duration
	Weights          placement.Weights
	Budget           placement.Budget
	Policy           placement.Policy
	Sketch           sketch.Config
	MessageBytes     int
	Seed             uint64
}

// Figures are the result of a run. Imbalance, Churn and UnavailableTime are the
// three measures of the objective.
type Figures struct {
	// Imbalance is the time-weighted mean of maximum over mean server load.
	Imbalance float64 `json:"imbalance"`
	// ImbalanceP99 is the 99th percentile of that ratio over the seconds.
	ImbalanceP99 float64 `json:"imbalanceP99"`
	// Bound is the mean of the lowest possible ratio of maximum over mean
	// server load, which the hottest key determines.
	Bound float64 `json:"bound"`
	// Churn is the share of the load whose owner changed, per minute.
	Churn float64 `json:"churnPerMinute"`
	// ChurnWorstMinute is the share in the minute with the most churn. ChurnPerHour
	// is the share per hour.
	ChurnWorstMinute float64 `json:"churnWorstMinute"`
	ChurnPerHour     float64 `json:"churnPerHour"`
	// UnavailableTime is the time in seconds per hour for which the key of an
	// average request is not served.
	UnavailableTime float64 `json:"unavailableSecondsPerHour"`
	// UnservedKeySeconds is the sum over keys of unserved seconds, per hour.
	UnservedKeySeconds float64 `json:"unservedKeySecondsPerHour"`
	// SettleSeconds is the second from the start at which the ratio first was at most
	// 1.15 times the bound, or -1.
	SettleSeconds int `json:"settleSeconds"`
	// Slices is the number of slices at the end, if the placement has slices.
	Slices int `json:"slices,omitempty"`
}

// Reference values of Score: the targets for imbalance and churn, and the
// unavailable time if one of fifteen servers is lost per hour.
const (
	referenceImbalance   = 0.15
	referenceChurn       = 0.02
	referenceUnavailable = 1.9 / 15
)

// Score returns the weighted mean of the three measures, each relative to its
// reference value. Lower is better. Only the imbalance above Bound counts.
func (f Figures) Score(w placement.Weights) float64 {
	sum := w.Imbalance + w.Churn + w.UnavailableTime
	return (w.Imbalance*(f.Imbalance-f.Bound)/referenceImbalance +
		w.Churn*f.Churn/referenceChurn +
		w.UnavailableTime*f.UnavailableTime/referenceUnavailable) / sum
}

// placer is a placement under test.
type placer interface {
	// start assigns all keys.
	start(w *world) error
	// step may reassign keys. The view is nil before the first counts.
	step(w *world, view *sketch.View, second int) error
	// sliceCount returns the number of slices, or 0 if the placement has none.
	sliceCount() int
}

// Run simulates one placement under one scenario. The placer name is one of
// Placers.
func Run(s Scenario, placerName string, o Options) (Figures, error) {
	p, err := newPlacer(placerName)
	if err != nil {
		return Figures{}, err
	}
	w := newWorld(s, o)
	h := newHosts(o, o.Seed)
	if err := p.start(w); err != nil {
		return Figures{}, err
	}
	w.recount()
	r := &recorder{options: o, settle: -1}
	planEvery := max(int(o.PlanEvery/time.Second), 1)
	for second := range int(o.Duration / time.Second) {
		w.moved, w.unserved, w.unservedKeySeconds = 0, 0, 0
		w.change(second)
		if second%planEvery == 0 {
			view, err := h.view()
			if err != nil {
				return Figures{}, err
			}
			if err := p.step(w, view, second); err != nil {
				return Figures{}, fmt.Errorf("%s under %s at %d s: %w", placerName, s.Name, second, err)
			}
		}
		h.count(w.load, o.RequestsPerServer*float64(o.Servers), func(k int) bool { return w.alive(int(w.owners[k])) })
		// Messages are one second old when the next step reads them.
		if (second+2)%planEvery == 0 {
			if err := h.publish(second); err != nil {
				return Figures{}, err
			}
		}
		r.record(w, second)
	}
	figures := r.figures()
	figures.Slices = p.sliceCount()
	return figures, nil
}

// change applies the scenario's changes of this second.
func (w *world) change(second int) {
	at := time.Duration(second) * time.Second
	changed := w.load.change(w.scenario, second, w.options.Servers)
	if w.scenario.AbsorbAt > 0 && at == w.scenario.AbsorbAt {
		w.load.absorb(w.scenario, w.absorbedKeys())
		changed = true
	}
	if changed {
		w.recount()
	}
	for _, e := range w.scenario.Events {
		if at == e.At {
			w.applyEvent(e, second)
		}
	}
}

// recorder collects the data for the figures.
type recorder struct {
	options  Options
	ratios   []float64
	bounds   float64
	moved    []float64 // share per second
	unserved float64
	keys     float64
	settle   int
}

// record records the state at the end of a second.
func (r *recorder) record(w *world, second int) {
	ratio, bound := w.ratios()
	if r.settle < 0 && ratio <= 1.15*bound {
		r.settle = second
	}
	if time.Duration(second)*time.Second < r.options.Warmup {
		return
	}
	r.ratios = append(r.ratios, ratio)
	r.bounds += bound
	r.moved = append(r.moved, w.moved/w.load.total())
	r.unserved += w.unserved / w.load.total()
	r.keys += w.unservedKeySeconds
}

// figures computes the figures from the recorded data.
func (r *recorder) figures() Figures {
	n := float64(len(r.ratios))
	if n == 0 {
		return Figures{SettleSeconds: r.settle}
	}
	f := Figures{Bound: r.bounds / n, SettleSeconds: r.settle, UnavailableTime: r.unserved / n * 3600, UnservedKeySeconds: r.keys / n * 3600}
	window, moved := 0.0, 0.0
	for i, m := range r.moved {
		f.Imbalance += r.ratios[i] / n
		moved += m
		window += m
		if i >= 60 {
			window -= r.moved[i-60]
		}
		f.ChurnWorstMinute = max(f.ChurnWorstMinute, window)
	}
	f.Churn, f.ChurnPerHour = moved/n*60, moved/n*3600
	slices.Sort(r.ratios)
	f.ImbalanceP99 = r.ratios[int(0.99*n)]
	return f
}
