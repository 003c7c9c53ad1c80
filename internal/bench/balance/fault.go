package balance

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/admission"
)

// scheduleOutage freezes all servers for outageTime; they resume recoveryTime
// before the measurement, which therefore shows the time after the recovery.
func (s *simulation) scheduleOutage() {
	resume := max(s.options.Warmup-recoveryTime, outageTime)
	s.clock.at(resume-outageTime, func() {
		for _, m := range s.servers {
			m.freeze()
		}
	})
	s.clock.at(resume, func() {
		for _, m := range s.servers {
			m.resume()
		}
	})
}

// startFault starts the fault of the first server.
func (s *simulation) startFault() {
	m := s.servers[0]
	switch s.options.Fault {
	case "slow":
		m.factor = 10
	case "frozen":
		m.freeze()
	case "lying":
		m.lying = true
		m.factor = 4
	case "shedding":
		m.limit, m.slots = 0, 0
	case "cold":
		m.coldTo = s.clock.now + 5*time.Second
		for _, h := range s.hosts {
			h.scheduler.SetState(s.clock.now, m.name, admission.ServerGone)
			h.scheduler.SetState(s.clock.now, m.name, admission.ServerReady)
		}
	}
}
