package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load of the case behind.
const (
	behindClients = 8
	behindPeriod  = 8 * time.Second
	// streamBytes is the size of a download, more than a host buffers of one answer.
	streamBytes = 1_000_000
	// lookupsBehind is how many lookups a client sends behind a download.
	lookupsBehind = 4
	// garbleDelay and garblePeriod are when the servers break off answers: the kind garble
	// lasts 5.5 s.
	garbleDelay  = 2 * time.Second
	garblePeriod = 5500 * time.Millisecond
	// Of downloadServers, garblingServers break off one in garbledAnswers of their answers:
	// a share of 0.33 and an x of 0.02, where the site has 0.35 and 0.02.
	downloadServers, garblingServers, garbledAnswers = 6, 2, 50
)

// runBehind lets some servers break off some downloads, while clients send lookups behind
// them, which other servers answer.
func runBehind(r *run) error {
	if err := r.configure(1, map[string]bool{"docs": false, "stock": false}, []route{{name: "pull", prefix: "/pull/", kind: "download", service: "docs", timeout: 5}, {name: "look", prefix: "/look/", kind: "safe", service: "stock", timeout: 5}}); err != nil {
		return err
	}
	if err := r.startServers(downloadServers, "docs", false); err != nil {
		return err
	}
	var breakers []*breaker
	for _, s := range r.servers[:garblingServers] {
		b := &breaker{}
		s.answer, breakers = b.answer, append(breakers, b)
	}
	if err := r.startServers(4, "stock", false); err != nil {
		return err
	}
	if err := r.startHosts(2); err != nil {
		return err
	}
	if r.trouble {
		time.AfterFunc(garbleDelay, func() { r.garble(breakers, true) })
		time.AfterFunc(garbleDelay+garblePeriod, func() { r.garble(breakers, false) })
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	downloads, broken := 0, 0
	lost := make(map[*host]int)
	for i := range behindClients {
		group.Go(func() {
			c := &lookupClient{run: r, name: fmt.Sprintf("c%d", i), host: r.hosts[i%2]}
			c.send(behindPeriod)
			mu.Lock()
			defer mu.Unlock()
			downloads, broken = downloads+c.downloads, broken+c.broken
			lost[c.host] += c.lost
		})
	}
	group.Wait()
	r.record.add("%d downloads, %d of them broken off", downloads, broken)
	fmt.Printf("%d downloads, %d of them broken off\n", downloads, broken)
	if downloads == broken {
		return errors.New("no download was served")
	}
	var err error
	for _, h := range r.hosts {
		r.record.add("%s closed channels without an answer to %d lookups that sound servers had run", h.name, lost[h])
		fmt.Printf("%s closed channels without an answer to %d lookups that sound servers had run\n", h.name, lost[h])
		if lost[h] > maxLost {
			err = fmt.Errorf("%w: LOST: %s lost %d requests on kept channels, more than %d", errBroken, h.name, lost[h], maxLost)
		}
	}
	return err
}

// garble begins or ends the trouble.
func (r *run) garble(breakers []*breaker, on bool) {
	r.record.add("servers break off answers: %v", on)
	for _, b := range breakers {
		b.mu.Lock()
		b.on = on
		b.mu.Unlock()
	}
}

// breaker breaks off one answer in garbledAnswers while it is on.
type breaker struct {
	mu sync.Mutex
	on bool
	n  int
}

func (b *breaker) answer(s *server, c net.Conn, r *http.Request) bool {
	b.mu.Lock()
	if b.on {
		b.n++
	}
	breaks := b.on && b.n%garbledAnswers == 0
	b.mu.Unlock()
	if !breaks {
		return s.answerPath(c, r)
	}
	size, work := sizeAndWork(r.URL.Path)
	time.Sleep(work)
	s.record.add("server %s breaks off its answer to %s", s.id, r.Header.Get("Attempt-Id"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", s.receipt(r), size)
	_, _ = c.Write(append([]byte(head), bodyOf(r.Header.Get("Attempt-Id"), size)[:size*9/10]...))
	time.Sleep(200 * time.Millisecond)
	return false
}

// lookupClient sends a download and lookups behind it on a kept channel.
type lookupClient struct {
	run                     *run
	name                    string
	host                    *host
	sent                    int
	downloads, broken, lost int
}

func (p *lookupClient) send(period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); {
		c, err := net.DialTimeout("tcp", p.host.callers, time.Second)
		if err != nil {
			p.run.record.add("%s: %v", p.name, err)
			return
		}
		in := bufio.NewReader(c)
		for time.Now().Before(end) && p.round(c, in) {
			continue
		}
		_ = c.Close()
	}
}

// round reports whether the channel is kept.
func (p *lookupClient) round(c net.Conn, in *bufio.Reader) bool {
	p.sent++
	p.downloads++
	pull := fmt.Sprintf("%s-%d-pull", p.name, p.sent)
	if c.SetDeadline(time.Now().Add(clientDeadline)) != nil {
		return false
	}
	if _, err := io.WriteString(c, request(fmt.Sprintf("/pull/%d-20", streamBytes), pull)); err != nil {
		return false
	}
	p.run.record.add("%s sends %s", p.name, pull)
	var looks []string
	for i := range lookupsBehind {
		looks = append(looks, fmt.Sprintf("%s-%d-look%d", p.name, p.sent, i))
		if _, err := io.WriteString(c, request("/look/100-5", looks[i])); err != nil {
			return false
		}
	}
	for i, id := range append([]string{pull}, looks...) {
		size := 100
		if i == 0 {
			size = streamBytes
		}
		response, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		switch {
		case err != nil:
			p.broken++
			p.run.record.add("%s: the answer to %s ended: %v", p.name, id, err)
			time.Sleep(50 * time.Millisecond)
			for _, look := range looks {
				if n := p.run.runsOf(look); n > 0 {
					p.lost++
					p.run.record.add("%s: LOST: a sound server ran %s, and the channel ended without an answer", p.name, look)
				}
			}
			return false
		case response.StatusCode == http.StatusOK && !bytes.Equal(body, bodyOf(id, size)):
			p.run.record.add("MIXED: %s got other bytes", id)
		}
		looks = looks[min(i, 1)*min(1, len(looks)):]
		if response.Close {
			return false
		}
	}
	return true
}
