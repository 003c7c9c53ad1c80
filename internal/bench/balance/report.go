package balance

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiasill/cassiasill/internal/admission"
)

// report delivers each server's load to all hosts, late.
func (s *simulation) report() {
	for _, m := range s.servers {
		load := m.load()
		lag := time.Duration(float64(reportLag) * (0.5 + s.random.Float64()))
		if m.frozen {
			continue
		}
		s.clock.after(lag, func() {
			for _, h := range s.hosts {
				h.scheduler.ObserveLoad(s.clock.now, admission.LoadReport{Server: m.name, InFlight: load, Age: lag})
			}
		})
	}
	s.clock.after(reportInterval, s.report)
}

// perServer computes the figures of the servers at the end of the window.
func (s *simulation) perServer() Result {
	slotTime, sheds := 0.0, 0
	most, sum := 0.0, 0.0
	for _, m := range s.servers {
		slotTime += 2 * float64(s.options.Duration)
		sheds += m.sheds
		most = max(most, float64(m.busy))
		sum += float64(m.busy)
	}
	return Result{
		Goodput: float64(s.useful) / slotTime, MaxMean: most * float64(len(s.servers)) / max(sum, 1),
		ShedsPerRequest: float64(sheds) / float64(max(s.count.all, 1)),
	}
}

// perRequest adds the figures of the requests that began in the window.
func (s *simulation) perRequest(r *Result) {
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	n := float64(max(s.count.offered, 1))
	r.P50, r.P99, r.BookingsP99 = at(s.latency, 50), at(s.latency, 99), at(s.bookingLatency, 99)
	r.Answered, r.Refused, r.Expired = float64(s.count.answered)/n, float64(s.count.refused)/n, float64(s.count.late)/n
	r.SendsPerRequest = float64(s.count.sends) / float64(max(s.count.all, 1))
	r.Requests = s.count.offered
	r.Bookings = float64(s.count.bookingsAnswered) / float64(max(s.count.bookings, 1))
}
