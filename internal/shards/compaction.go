package shards

// Parameters of the number of ranges of a service above maxSmallService servers.
const (
	// maxRangesPerServerOnAverage bounds the ranges of all servers together. One leader
	// renews each range by a call a second, and with 0.8 of a core it can renew some
	// 1,200.
	maxRangesPerServerOnAverage = 4
	// compactRangesPerServer is the average above which narrow ranges are given back.
	// Below it they stay where they are, since each move has a price and keys may become
	// hot again.
	compactRangesPerServer = 3
	// maxCompactedWidth is the greatest width in positions of a range that is given back
	// for the sake of the number of ranges.
	maxCompactedWidth = 48
	// maxCompactedShare is the greatest load of such a range, as a share of the fair load
	// of its new owner.
	maxCompactedShare = 0.1
)

// rangeBudget returns how many ranges may be added to the assignment.
func rangeBudget(a *Assignment, servers int) int {
	return max(maxRangesPerServerOnAverage*servers-len(a.Ranges), 0)
}

// PlanCompaction returns moves of narrow ranges without much load to the owner of a
// wider neighbor, with which they are merged. There are none while the service has few
// ranges or has no more than maxSmallService servers.
func PlanCompaction(a *Assignment, candidates []Candidate, load func() Load) []Move {
	excess := len(a.Ranges) - compactRangesPerServer*len(candidates)
	if !IsLarge(len(candidates)) || excess <= 0 {
		return nil
	}
	p := newPlanner(a, candidates, load())
	mean := p.total / p.capacity
	limit := min(excess, len(candidates)/serversPerHotMove)
	var moves []Move
	owner := "" // of the wide range before, also of the narrow ones that move to it
	for _, r := range a.Ranges {
		if !r.Held() || r.Width() > maxCompactedWidth || p.servers[r.Owner] == nil {
			owner = ""
			if r.Held() {
				owner = r.Owner
			}
			continue
		}
		target := p.servers[owner]
		if len(moves) == limit || target == nil || r.Owner == owner {
			continue
		}
		moved := p.loadOf(r)
		if moved > maxCompactedShare*mean*target.Capacity || target.load+moved > moveThresholdRatio*mean*target.Capacity {
			owner = ""
			continue
		}
		target.load += moved
		moves = append(moves, Move{From: r.From, To: r.To, NewOwner: owner})
	}
	return moves
}
