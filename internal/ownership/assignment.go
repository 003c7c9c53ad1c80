package ownership

import (
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// SlicesPerServer is the number of slices per server in a service's first
// assignment. With 64, removing one server spreads its load over all others of
// services with up to about 60 servers.
const SlicesPerServer = 64

// initialAssignment splits the ring evenly among the servers. Neighbouring
// slices have different owners, and the slices of one owner have successors
// spread over the other servers.
func initialAssignment(service topology.ServiceName, servers []topology.Server, perServer int) *topology.Assignment {
	a := &topology.Assignment{Service: service}
	count := len(servers) * perServer
	if count == 0 {
		return nil
	}
	width := ^topology.Hash(0)/topology.Hash(count) + 1
	if count == 1 {
		width = 0
	}
	used := make(map[topology.ServerName]int, len(servers))
	for i := range count {
		first := topology.Hash(i) * width
		last := first + width - 1
		if i == count-1 {
			last = topology.FullRange.Last
		}
		owner := servers[i%len(servers)].Name
		s := topology.Slice{Range: topology.Range{First: first, Last: last}, Owner: owner}
		s.Successors = successors(servers, owner, used[owner], nil)
		used[owner]++
		a.Slices = append(a.Slices, s)
	}
	return a
}

// successors returns keep, completed to MaxSuccessors with servers other than
// owner. The turn rotates the choice, so that the load of a lost server spreads
// over all. Servers of other availability zones than the owner's come first: a
// slice must outlive the loss of a zone.
func successors(servers []topology.Server, owner topology.ServerName, turn int, keep []topology.ServerName) []topology.ServerName {
	out := slices.Clone(keep)
	zones := make(map[topology.AvailabilityZone]bool)
	position := 0
	for i, s := range servers {
		if s.Name == owner || slices.Contains(keep, s.Name) {
			zones[s.AvailabilityZone] = true
		}
		if s.Name == owner {
			position = i
		}
	}
	for _, otherZone := range []bool{true, false} {
		for i := range servers {
			if len(out) >= topology.MaxSuccessors {
				return out
			}
			s := servers[(position+1+turn+i)%len(servers)]
			if s.Name == owner || slices.Contains(out, s.Name) || otherZone && zones[s.AvailabilityZone] {
				continue
			}
			out = append(out, s.Name)
			zones[s.AvailabilityZone] = true
		}
	}
	return out
}

// splitAt returns slices of which one begins at h.
func splitAt(in []topology.Slice, h topology.Hash) []topology.Slice {
	a := topology.Assignment{Slices: in}
	i := a.FindSlice(h)
	if i < 0 || in[i].Range.First == h {
		return in
	}
	rest := in[i]
	rest.Range.First = h
	rest.Successors = slices.Clone(rest.Successors)
	in[i].Range.Last = h - 1
	return slices.Insert(in, i+1, rest)
}

// apply returns the assignment after one planned change, and whether the
// change fits it.
func apply(a *topology.Assignment, m Move, servers []topology.Server) bool {
	if m.Range.Last < m.Range.First {
		return false
	}
	from := a.FindSlice(m.Range.First)
	to := a.FindSlice(m.Range.Last)
	switch m.Kind {
	case KindSplit:
		a.Slices = splitAt(a.Slices, m.Range.First)
		return true
	case KindMerge:
		for _, s := range a.Slices[from : to+1] {
			if s.Owner != a.Slices[from].Owner {
				return false
			}
		}
		a.Slices[from].Range.Last = a.Slices[to].Range.Last
		a.Slices = slices.Delete(a.Slices, from+1, to+1)
		return true
	}
	for _, s := range a.Slices[from : to+1] {
		if s.Owner != m.From {
			return false
		}
	}
	a.Slices = splitAt(a.Slices, m.Range.First)
	if m.Range.Last != topology.FullRange.Last {
		a.Slices = splitAt(a.Slices, m.Range.Last+1)
	}
	for i := a.FindSlice(m.Range.First); i <= a.FindSlice(m.Range.Last); i++ {
		reassign(&a.Slices[i], m.To, i, servers)
	}
	return true
}

// reassign makes owner the owner of s. The former owner becomes the first
// successor if it is among the servers.
func reassign(s *topology.Slice, owner topology.ServerName, turn int, servers []topology.Server) {
	known := func(name topology.ServerName) bool {
		return slices.ContainsFunc(servers, func(s topology.Server) bool { return s.Name == name })
	}
	keep := make([]topology.ServerName, 0, topology.MaxSuccessors)
	for _, name := range append([]topology.ServerName{s.Owner}, s.Successors...) {
		if name != owner && known(name) && len(keep) < topology.MaxSuccessors {
			keep = append(keep, name)
		}
	}
	s.Owner = owner
	s.Successors = successors(servers, owner, turn, keep)
}

// corrected returns the assignment with the owners that hold ranges in place
// of those that lost them, or nil if it needs no correction. Ranges in a
// planned move keep their planned owner.
func (l *Ledger) corrected(live []topology.Server) *topology.Assignment {
	if l.assignment == nil {
		return nil
	}
	var next *topology.Assignment
	for _, g := range l.segments {
		owner := l.assignment.Slices[g.slice].Owner
		if g.phase != phaseHeld || g.move != nil || g.holder.Name == owner {
			continue
		}
		if next == nil {
			next = l.assignment.Clone()
		}
		next.Slices = splitAt(next.Slices, g.bounds.First)
		if g.bounds.Last != topology.FullRange.Last {
			next.Slices = splitAt(next.Slices, g.bounds.Last+1)
		}
		i := next.FindSlice(g.bounds.First)
		reassign(&next.Slices[i], g.holder.Name, i, live)
	}
	return next
}
