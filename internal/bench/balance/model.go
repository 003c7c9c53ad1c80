package balance

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// modelServer is what the policies see of a server: slots, a bounded queue in
// order of arrival, shedding beyond it, and faults.
type modelServer struct {
	clock   *clock
	name    topology.ServerName
	zone    topology.AvailabilityZone
	slots   int
	queue   []*job
	limit   int // length of the queue
	running []*job
	factor  float64 // service times are multiplied by this
	coldTo  time.Duration
	frozen  bool
	lying   bool // reports no load
	busy    time.Duration
	sheds   int
}

// job is one request at a server.
type job struct {
	work      time.Duration
	canceled  bool
	started   time.Duration
	end       func(shed bool)
	remaining time.Duration
	epoch     int
}

// coldFactor is how much slower a server is that has just started.
const coldFactor = 4

func (m *modelServer) arrive(j *job) {
	if m.frozen {
		m.queue = append(m.queue, j) // the socket's buffer
		return
	}
	if len(m.running) < m.slots {
		m.start(j)
		return
	}
	if len(m.queue) >= m.limit {
		m.sheds++
		j.end(true)
		return
	}
	m.queue = append(m.queue, j)
}

func (m *modelServer) start(j *job) {
	factor := m.factor
	if m.clock.now < m.coldTo {
		factor *= coldFactor
	}
	j.remaining = time.Duration(float64(j.work) * factor)
	m.running = append(m.running, j)
	m.run(j)
}

func (m *modelServer) run(j *job) {
	j.started = m.clock.now
	j.epoch++
	epoch := j.epoch
	m.clock.after(j.remaining, func() {
		if j.epoch != epoch || m.frozen {
			return
		}
		m.finish(j)
		if !j.canceled {
			j.end(false)
		}
	})
}

// finish frees the slot of j and starts the next waiting request.
func (m *modelServer) finish(j *job) {
	j.epoch++
	m.busy += m.clock.now - j.started
	for i, other := range m.running {
		if other == j {
			m.running = append(m.running[:i], m.running[i+1:]...)
			break
		}
	}
	m.refill()
}

func (m *modelServer) refill() {
	for len(m.running) < m.slots && len(m.queue) > 0 {
		next := m.queue[0]
		m.queue = m.queue[1:]
		if !next.canceled {
			m.start(next)
		}
	}
}

// cancel ends j early, as a server does whose caller or deadline is gone.
func (m *modelServer) cancel(j *job) {
	j.canceled = true
	if m.frozen {
		return
	}
	for _, running := range m.running {
		if running == j {
			m.finish(j)
			return
		}
	}
	for i, queued := range m.queue {
		if queued == j {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return
		}
	}
}

func (m *modelServer) freeze() {
	m.frozen = true
	for _, j := range m.running {
		j.remaining = max(j.remaining-(m.clock.now-j.started), 0)
		m.busy += m.clock.now - j.started
		j.epoch++
	}
}

func (m *modelServer) resume() {
	m.frozen = false
	for _, j := range m.running {
		m.run(j)
	}
	m.refill()
}

// load is the number of requests at the server as it reports it.
func (m *modelServer) load() float64 {
	if m.lying {
		return 0
	}
	return float64(len(m.running) + len(m.queue))
}
