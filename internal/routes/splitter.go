package routes

import "sync"

// Splitter distributes the requests of each route over its backends in proportion
// to their weights. It uses smooth weighted round robin, so that even few requests
// in a row are close to the configured shares.
type Splitter struct {
	mu      sync.Mutex
	credits map[string][]float64 // credit of each backend by route name
}

// NewSplitter returns a Splitter that has distributed no requests.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[string][]float64)} }

// Pick returns the service for the next request of route. On the first pick of a
// route, offset in [0, 1) sets the initial credits, so that hosts do not all start
// with the same backend.
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
	credit := s.credits[route.Name]
	if len(credit) != len(route.Backends) {
		credit = make([]float64, len(route.Backends))
		credit[0], credit[len(credit)-1] = -offset*total, offset*total
		s.credits[route.Name] = credit
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
