package control

import (
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// warmup returns what the service's servers bear while they are cold.
func (m *assignmentManager) warmup() routes.Warmup {
	if config := m.leadership.node.view.Load().Config; config != nil {
		return config.Services[m.service].Warmup
	}
	return routes.Warmup{}
}

// maxRate returns the requests per second that a server bears: the lower of the limit
// that it announces, 0 if none, and of what it bears while it is cold; 0 if neither.
func maxRate(s registry.Server, limit float64, warmup routes.Warmup) float64 {
	switch {
	case s.Warmup == 0 || warmup.Rate == 0:
		return limit
	case limit == 0:
		return warmup.Rate
	default:
		return min(limit, warmup.Rate)
	}
}
