package placement

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// split puts each heavy and each isolated key into a separate slice and halves
// other hot slices. The parts keep the owner, so a split alone does not interrupt
// requests.
func (p *planner) split() {
	alone := p.positionsToIsolate()
	limit := p.in.Policy.MaxSlicesPerServer * max(len(p.available), 1)
	count := len(p.slices)
	var out []slice
	next := 0
	for i, s := range p.slices {
		first := next
		for next < len(alone) && alone[next].Hash <= s.Range.Last {
			next++
		}
		parts := []slice{s}
		if !s.moving {
			parts = p.isolate(s, alone[first:next])
			parts = p.halve(parts, limit-count-len(parts)+1)
		}
		if out == nil && len(parts) > 1 {
			out = append(make([]slice, 0, len(p.slices)+64), p.slices[:i]...)
		}
		if len(parts) > 1 {
			p.recordSplit(s.Range, parts)
			count += len(parts) - 1
		}
		if out != nil {
			out = append(out, parts...)
		} else {
			p.slices[i] = parts[0]
		}
	}
	if out != nil {
		p.slices = out
	}
}

// positionsToIsolate returns, sorted by position, the keys that need a separate
// slice, with their loads relative to the fair share.
func (p *planner) positionsToIsolate() []HeavyKey {
	var out []HeavyKey
	for _, h := range p.in.Isolated {
		out = append(out, HeavyKey{Hash: h})
	}
	for _, k := range p.in.HeavyKeys {
		load := k.Load / p.fair
		if p.tooFewSamples || load < p.in.Policy.HeavyShare {
			continue
		}
		out = append(out, HeavyKey{Hash: k.Hash, Load: load})
		if load > 1 {
			r := topology.Range{First: k.Hash, Last: k.Hash}
			p.plan.Warnings = append(p.plan.Warnings, Warning{Kind: WarningKeyAboveFairShare, Range: r, Owner: p.slices[p.findSlice(k.Hash)].Owner})
		}
	}
	// Of several entries for one position, the one with the highest load is kept.
	slices.SortFunc(out, func(a, b HeavyKey) int {
		return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(b.Load, a.Load))
	})
	return slices.CompactFunc(out, func(a, b HeavyKey) bool { return a.Hash == b.Hash })
}

// isolate splits s into one slice for each key and slices for the ranges between
// them. The remaining load is divided by width.
func (p *planner) isolate(s slice, keys []HeavyKey) []slice {
	if len(keys) == 0 {
		return []slice{s}
	}
	if s.Range.First == s.Range.Last {
		s.isolated = true
		return []slice{s}
	}
	var parts []slice
	add := func(r topology.Range, load float64, own bool) {
		part := s
		part.Range, part.load, part.isolated = r, load, own
		part.Successors = slices.Clone(s.Successors)
		parts = append(parts, part)
	}
	rest, restWidth := s.load, width(s.Range)
	for _, k := range keys {
		rest = max(rest-k.Load, 0)
	}
	at := s.Range.First
	for _, k := range keys {
		if k.Hash > at {
			r := topology.Range{First: at, Last: k.Hash - 1}
			add(r, rest*width(r)/restWidth, false)
		}
		add(topology.Range{First: k.Hash, Last: k.Hash}, min(k.Load, s.load), true)
		at = k.Hash + 1
	}
	if last := keys[len(keys)-1].Hash; last < s.Range.Last {
		r := topology.Range{First: last + 1, Last: s.Range.Last}
		add(r, rest*width(r)/restWidth, false)
	}
	return parts
}

// halve splits parts whose load is above the threshold in half until they are below
// it or room further parts have been added.
func (p *planner) halve(parts []slice, room int) []slice {
	for i := 0; i < len(parts) && room > 0 && !p.tooFewSamples; {
		s := parts[i]
		if s.isolated || s.load <= p.in.Policy.SplitShare || s.Range.First == s.Range.Last {
			i++
			continue
		}
		left, right := s, s
		left.Range.Last = s.Range.First + (s.Range.Last-s.Range.First)/2
		right.Range.First = left.Range.Last + 1
		left.load, right.load = p.divide(s, left.Range, right.Range)
		right.Successors = slices.Clone(s.Successors)
		parts[i] = left
		parts = slices.Insert(parts, i+1, right)
		room--
	}
	return parts
}

// divide divides the load of s between its halves in proportion to the loads
// counted in them.
func (p *planner) divide(s slice, left, right topology.Range) (float64, float64) {
	l, r := max(p.in.Load(left), 0), max(p.in.Load(right), 0)
	if l+r <= 0 {
		return s.load / 2, s.load / 2
	}
	return s.load * l / (l + r), s.load * r / (l + r)
}

// recordSplit adds a split to the plan.
func (p *planner) recordSplit(r topology.Range, parts []slice) {
	split := Split{Range: r}
	for _, s := range parts {
		split.Parts = append(split.Parts, s.Range)
	}
	p.plan.Splits = append(p.plan.Splits, split)
}

// merge merges cold neighbors with the same owner, up to the width of an initial
// slice.
func (p *planner) merge() {
	if p.tooFewSamples {
		return
	}
	out := p.slices[:0]
	start := 0 // first input slice that is part of the last output slice
	ranges := make([]topology.Range, len(p.slices))
	for i, s := range p.slices {
		ranges[i] = s.Range
		if n := len(out); n > 0 && p.mergeable(out[n-1], s) {
			out[n-1].Range.Last = s.Range.Last
			out[n-1].load += s.load
			out[n-1].recentlyMoved = out[n-1].recentlyMoved || s.recentlyMoved
			continue
		}
		p.recordMerge(ranges[start:i])
		start = i
		out = append(out, s)
	}
	p.recordMerge(ranges[start:])
	p.slices = out
}

// mergeable reports whether the neighbors a and b may become one slice.
func (p *planner) mergeable(a, b slice) bool {
	if a.owner != b.owner || a.owner == noServer || a.isolated || b.isolated || a.moving || b.moving {
		return false
	}
	if !p.fitOneSlice(a, b) {
		return false
	}
	if p.in.Eligible == nil {
		return true
	}
	joined := topology.Range{First: a.Range.First, Last: b.Range.Last}
	for _, s := range p.available {
		e := p.eligible(a.Range, s)
		if e != p.eligible(b.Range, s) || e != p.eligible(joined, s) {
			return false
		}
	}
	return true
}

// fitOneSlice reports whether the joint load and width of a and b are small enough
// for one slice.
func (p *planner) fitOneSlice(a, b slice) bool {
	widest := 1 / float64(max(p.in.Policy.SlicesPerServer*len(p.available), 1))
	return a.load+b.load < p.in.Policy.MergeShare && width(a.Range)+width(b.Range) <= widest*1.001
}

// recordMerge adds a merge to the plan unless there is only one part.
func (p *planner) recordMerge(parts []topology.Range) {
	if len(parts) < 2 {
		return
	}
	p.plan.Merges = append(p.plan.Merges, Merge{
		Parts: slices.Clone(parts),
		Range: topology.Range{First: parts[0].First, Last: parts[len(parts)-1].Last},
	})
}
