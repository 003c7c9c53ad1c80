package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Load of the case stop.
const (
	stopClients = 4
	stopPeriod  = 3 * time.Second // for which the clients send
	// answerBytes is the size of a download, and answerWork how long a server works on it.
	answerBytes = 200_000
	answerWork  = 100
	// clientDeadline is far above the time that an answer takes.
	clientDeadline = 4000 * time.Millisecond
	// A client reads readPiece in each readPause, 1.6 MB/s.
	readPiece = 16 << 10
	readPause = 10 * time.Millisecond
)

// pacedReader reads from a channel at the pace of the client.
type pacedReader struct{ c net.Conn }

func (p pacedReader) Read(b []byte) (int, error) {
	time.Sleep(readPause)
	return p.c.Read(b[:min(len(b), readPiece)])
}

// request returns the head of a GET.
func request(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, clientHost, id, clientDeadline.Milliseconds())
}

// runStop stops a host while clients send further requests behind those that are being
// answered.
func runStop(r *run) error {
	if err := r.configure(1, map[string]bool{"docs": false}, []route{{name: "pull", prefix: "/pull/", kind: "download", service: "docs", timeout: 5}, {name: "look", prefix: "/look/", kind: "safe", service: "docs", timeout: 5}}); err != nil {
		return err
	}
	if err := r.startServers(4, "docs", false); err != nil {
		return err
	}
	if err := r.startHosts(3); err != nil {
		return err
	}
	stopped := r.hosts[0]
	var group sync.WaitGroup
	var mu sync.Mutex
	served, lost := 0, 0
	for i := range stopClients {
		group.Go(func() {
			c := &pipeliningClient{run: r, name: fmt.Sprintf("c%d", i), host: stopped}
			c.send(stopPeriod)
			mu.Lock()
			defer mu.Unlock()
			served, lost = served+c.served, lost+c.lost
		})
	}
	time.Sleep(stopPeriod / 3)
	if r.trouble {
		r.record.add("SIGTERM to %s", stopped.name)
		if err := stopped.signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	group.Wait()
	r.record.add("%d downloads were answered, %d that had been passed on were cut", served, lost)
	if served == 0 {
		return fmt.Errorf("nothing was served")
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d of %d requests that had been passed on to a server were cut", errBroken, lost, lost+served)
	}
	return nil
}

// pipeliningClient sends a download and, before it has been answered, a lookup on the same
// channel.
type pipeliningClient struct {
	run          *run
	name         string
	host         *host
	served, lost int
	sent         int
}

// send sends pairs of requests until the period ends or the host takes no channels.
func (p *pipeliningClient) send(period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); {
		c, err := net.DialTimeout("tcp", p.host.callers, time.Second)
		if err != nil {
			return
		}
		if err := c.(*net.TCPConn).SetReadBuffer(readPiece); err != nil {
			p.run.record.add("%s: %v", p.name, err)
		}
		for time.Now().Before(end) && p.pair(c) {
			continue
		}
		_ = c.Close()
	}
}

// pair sends two requests and reads the answers. It reports whether the channel is kept.
func (p *pipeliningClient) pair(c net.Conn) (kept bool) {
	p.sent++
	pull, look := fmt.Sprintf("%s-%d-pull", p.name, p.sent), fmt.Sprintf("%s-%d-look", p.name, p.sent)
	if err := c.SetDeadline(time.Now().Add(clientDeadline)); err != nil {
		return false
	}
	in := bufio.NewReader(pacedReader{c})
	if _, err := io.WriteString(c, request(fmt.Sprintf("/pull/%d-%d", answerBytes, answerWork), pull)); err != nil {
		return false
	}
	p.run.record.add("%s sends %s to %s", p.name, pull, p.host.name)
	time.Sleep(answerWork / 2 * time.Millisecond)
	if _, err := io.WriteString(c, request("/look/100-10", look)); err == nil {
		p.run.record.add("%s sends %s behind it", p.name, look)
	}
	sentAt := time.Now()
	response, n, err := p.read(in, pull, answerBytes)
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		p.served++
		p.run.record.add("%s: %s is answered, closing %v", p.name, pull, response.Close)
	case err == nil:
		p.run.record.add("%s: %s is answered with %d", p.name, pull, response.StatusCode)
	case p.run.runsOf(pull) > 0 && time.Since(sentAt) < clientDeadline*7/10:
		p.lost++
		p.run.record.add("%s: LOST: %s ran at a server, the channel ended after %d of %d bytes: %v", p.name, pull, n, answerBytes, err)
		return false
	default:
		p.run.record.add("%s: %s: %v", p.name, pull, err)
		return false
	}
	if response.Close {
		return false // the lookup counts as not read, and would be sent again elsewhere
	}
	if response, _, err = p.read(in, look, 100); err != nil || response.Close {
		p.run.record.add("%s: %s: %v", p.name, look, err)
		return false
	}
	return true
}

// read reads one answer and returns the number of bytes of its body.
func (p *pipeliningClient) read(in *bufio.Reader, id string, size int) (*http.Response, int, error) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && !bytes.Equal(body, bodyOf(id, size)) {
		p.run.record.add("MIXED: %s got other bytes", id)
	}
	return response, len(body), err
}
