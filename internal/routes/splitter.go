package routes

import "sync"

// Splitter spreads the requests of routes over their backends in proportion to
// the weights. It uses smooth weighted round robin, so that also short spans
// have the configured shares.
type Splitter struct {
	mu      sync.Mutex
	current map[string][]float64 // by route name
}

// NewSplitter returns a Splitter without history.
func NewSplitter() *Splitter { return &Splitter{current: make(map[string][]float64)} }

// Pick returns the service for the next request of route. The offset in [0, 1)
// places the first pick of a route, so that hosts do not start alike.
func (s *Splitter) Pick(route *Route, offset float64) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0.0
	for _, b := range route.Backends {
		total += b.Weight
	}
	credit := s.current[route.Name]
	if len(credit) != len(route.Backends) {
		credit = make([]float64, len(route.Backends))
		credit[0], credit[len(credit)-1] = -offset*total, offset*total
		s.current[route.Name] = credit
	}
	best := -1
	for i, b := range route.Backends {
		credit[i] += b.Weight
		if b.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return route.Backends[0].Service
	}
	credit[best] -= total
	return route.Backends[best].Service
}
