package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Load of the case queue.
const (
	queueServers, queueSlots = 8, 2
	// pullWork is how long a server works on a download, pullTarget and pullDeadline are the
	// aim and the time limit of archive-pulls.
	pullWork     = 500
	pullTarget   = 4 * time.Second
	pullDeadline = 12 * time.Second
	// busyClients send one download after the other to the hosts that go on.
	busyClients = 84
	// pooledClients have kept channels at the host that stops, and send one download each
	// between pooledFirst and pooledLast after the SIGTERM.
	pooledClients           = 40
	pooledFirst, pooledLast = 2700 * time.Millisecond, 2950 * time.Millisecond
	// lossSlack is loss_slack_s.
	lossSlack = 200 * time.Millisecond
	// busyFor is the time from their start to that of the pooled clients, whose channels are
	// idle for idleFor before the SIGTERM.
	busyGap = 50 * time.Millisecond
	busyFor = 9 * time.Second
	idleFor = 4 * time.Second
)

// runQueue stops a host while requests wait for a server.
func runQueue(r *run) error {
	if err := r.configure(1, map[string]bool{"archive": false}, []route{{name: "pull", prefix: "/pull/", kind: "download", service: "archive", timeout: pullDeadline.Seconds(), target: pullTarget.Seconds()}}); err != nil {
		return err
	}
	if err := r.startServers(queueServers, "archive", false); err != nil {
		return err
	}
	for _, s := range r.servers {
		s.limit = make(chan struct{}, queueSlots)
	}
	if err := r.startHosts(3); err != nil {
		return err
	}
	// A host with a duty for the others gives that up when it stops, which changes the queue.
	i := slices.IndexFunc(r.hosts, func(h *host) bool { return !h.placesForOthers() && !r.hasLed(h) })
	if i < 0 {
		return errors.New("each host has a duty")
	}
	stopped, others := r.hosts[i], slices.Delete(slices.Clone(r.hosts), i, i+1)
	q := &queueClients{run: r}
	var busy, pooled sync.WaitGroup
	stop := make(chan struct{})
	for i := range busyClients {
		busy.Go(func() {
			time.Sleep(time.Duration(i) * busyGap)
			q.sendUntil(stop, others[i%2], fmt.Sprintf("busy-%d", i))
		})
	}
	time.Sleep(busyFor)
	channels := make([]net.Conn, pooledClients)
	for i := range channels {
		c, err := net.DialTimeout("tcp", stopped.callers, time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		channels[i] = c
		pooled.Go(func() { q.pull(c, stopped, fmt.Sprintf("before-%d", i)) })
	}
	pooled.Wait()
	time.Sleep(idleFor)
	if r.trouble {
		r.record.add("SIGTERM to %s", stopped.name)
		if err := stopped.signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for i, c := range channels {
		pooled.Go(func() {
			time.Sleep(pooledFirst + time.Duration(i)*(pooledLast-pooledFirst)/pooledClients)
			q.pull(c, stopped, fmt.Sprintf("pooled-%d", i))
		})
	}
	pooled.Wait()
	close(stop)
	busy.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	r.record.add("answers by status: %v; %d requests that waited for a server were not answered", q.statuses, q.lost)
	fmt.Printf("answers by status: %v; %d requests that waited for a server were not answered\n", q.statuses, q.lost)
	if q.statuses[http.StatusOK] == 0 {
		return errors.New("nothing was served")
	}
	if q.lost > 0 {
		return fmt.Errorf("%w: LOST: %d requests that a stopping host had read ended with their channels", errBroken, q.lost)
	}
	return nil
}

// queueClients records what clients get.
type queueClients struct {
	run *run

	mu       sync.Mutex
	statuses map[int]int
	lost     int
}

func (q *queueClients) sendUntil(stop chan struct{}, h *host, name string) {
	c, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		q.run.record.add("%s: %v", name, err)
		return
	}
	defer c.Close()
	for n := 0; ; n++ {
		wait, kept := q.pull(c, h, fmt.Sprintf("%s-%d", name, n))
		if !kept {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// pull sends one download. It returns how long the client has to wait before the next, and
// whether the channel is kept.
func (q *queueClients) pull(c net.Conn, h *host, id string) (wait time.Duration, kept bool) {
	if err := c.SetDeadline(time.Now().Add(pullDeadline)); err != nil {
		return 0, false
	}
	_, err := fmt.Fprintf(c, "GET /pull/1000-%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", pullWork, clientHost, id, pullDeadline.Milliseconds())
	sentAt := time.Now()
	q.run.record.add("%s is sent to %s", id, h.name)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	took := time.Since(sentAt)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		ran := q.run.runsOf(id)
		q.run.record.add("%s: %v after %.2f s, run by %d servers", id, err, took.Seconds(), ran)
		if ran == 0 && took > lossSlack && took < pullDeadline {
			q.lost++
		}
		return 0, false
	}
	if q.statuses == nil {
		q.statuses = make(map[int]int)
	}
	q.statuses[response.StatusCode]++
	q.run.record.add("%s: %d after %.2f s", id, response.StatusCode, took.Seconds())
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	return wait, !response.Close
}

// placesForOthers reports whether other hosts are connected to the address at which the host
// accepts requests to place.
func (h *host) placesForOthers() bool {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	local := hexAddress(h.placing)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[1] == local && fields[3] == "01" { // established
			return true
		}
	}
	return false
}

// hasLed reports whether the host's log says that it leads.
func (r *run) hasLed(h *host) bool {
	data, err := os.ReadFile(filepath.Join(r.dir, h.name+".log"))
	return err == nil && strings.Contains(string(data), "control: leading")
}
