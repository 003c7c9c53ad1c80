package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load of the case channels.
const (
	// holders is the number of clients that read slowly. A host of memoryMB keeps 351
	// channels.
	holders = 360
	// holderAnswer is the size of a download, of which a holder reads holderPiece in each
	// holderPause, 48 KiB/s.
	holderAnswer = 540_000
	holderPiece  = 12 << 10
	holderPause  = 250 * time.Millisecond
	// probers clients try to open a channel, each once in probePause. The rule asks for seven.
	probers     = 10
	probePause  = 200 * time.Millisecond
	probePeriod = 7 * time.Second
	// contact is contact_s.
	contact = 3 * time.Second
)

// runChannels lets clients that read slowly keep their channels, while others try to open one.
func runChannels(r *run) error {
	if err := r.configure(1, map[string]bool{"docs": false}, []route{{name: "pull", prefix: "/pull/", kind: "download", service: "docs", timeout: slowDeadline.Seconds()}, {name: "look", prefix: "/look/", kind: "safe", service: "docs", timeout: 6}}); err != nil {
		return err
	}
	if err := r.startServers(memoryServers, "docs", false); err != nil {
		return err
	}
	if err := r.startHosts(3); err != nil {
		return err
	}
	h := r.hosts[0]
	var group sync.WaitGroup
	pause := holderPause
	if !r.trouble {
		pause = time.Millisecond
	}
	c := &crowd{run: r, host: h, statuses: map[int]int{}, answer: holderAnswer, piece: holderPiece, pause: pause}
	for i := range holders {
		group.Go(func() {
			time.Sleep(time.Duration(i) * clientGap)
			c.client(fmt.Sprintf("holder-%d", i))
		})
	}
	time.Sleep(holders * clientGap)
	p := &probing{run: r, host: h}
	p.begin()
	for i := range probers {
		group.Go(func() { p.try(i) })
	}
	group.Go(p.watchReady)
	group.Wait()
	longest, ready := p.end()
	r.record.add("answers to holders by status, 0 for none: %v", c.statuses)
	r.record.add("longest time without a new channel: %.1f s; readiness answered 200 %d times, otherwise %d times in the %.0f s", longest.Seconds(), ready, p.notReady, probePeriod.Seconds())
	fmt.Printf("%d of %d tries got a channel; longest time without one: %.1f s; ready %d of %d times\n", p.taken, p.tries, longest.Seconds(), ready, ready+p.notReady)
	if longest >= contact && p.notReady == 0 {
		return fmt.Errorf("%w: RECOVER: %s took no new channel for %.1f s and said that it is ready", errBroken, h.name, longest.Seconds())
	}
	return nil
}

// probing records which tries of clients to open a channel succeeded.
type probing struct {
	run  *run
	host *host

	mu              sync.Mutex
	lastTaken       time.Time
	longest         time.Duration
	taken, tries    int
	ready, notReady int
	stopAt          time.Time
}

func (p *probing) begin() {
	p.lastTaken = time.Now()
	p.stopAt = p.lastTaken.Add(probePeriod)
}

// end returns the longest time without a new channel and how often the host said that it is
// ready.
func (p *probing) end() (time.Duration, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.longest, p.stopAt.Sub(p.lastTaken)), p.ready
}

// try opens channels until the period ends. A channel counts as taken if the request on it is
// answered in any way.
func (p *probing) try(client int) {
	for n := 0; time.Now().Before(p.stopAt); n++ {
		id := fmt.Sprintf("prober-%d-%d", client, n)
		status, err := p.lookup(id)
		p.run.record.add("%s tries %s: status %d, %v", id, p.host.name, status, err)
		now := time.Now()
		p.mu.Lock()
		p.tries++
		if err == nil {
			p.taken++
			p.longest = max(p.longest, now.Sub(p.lastTaken))
			p.lastTaken = now
		}
		p.mu.Unlock()
		time.Sleep(probePause)
	}
}

func (p *probing) lookup(id string) (int, error) {
	c, err := net.DialTimeout("tcp", p.host.callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(clientDeadline)); err != nil {
		return 0, err
	}
	if _, err := c.Write([]byte(request("/look/100-5", id))); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// watchReady asks each second, as the platform does, whether the host is ready.
func (p *probing) watchReady() {
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(p.stopAt) {
		response, err := client.Get("http://" + p.host.readiness + "/v1/readyz")
		status := 0
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		p.run.record.add("readiness of %s: %d", p.host.name, status)
		p.mu.Lock()
		if status == http.StatusOK {
			p.ready++
		} else {
			p.notReady++
		}
		p.mu.Unlock()
		time.Sleep(time.Second)
	}
}
