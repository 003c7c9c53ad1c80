package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Load of the case memory.
const (
	memoryServers = 40
	// memoryClients is below callers.maxConnections of a host of memoryMB, 351.
	memoryClients = 345
	// clientGap is the time between the starts of two clients.
	clientGap = 10 * time.Millisecond
	// memoryWork is how long a server works on a request, in ms: the mean of archive-pulls.
	memoryWork = 180
	// memoryAnswer is the size of an answer, and slowPiece what a client reads of it in
	// each slowPause until slowPeriod has passed.
	memoryAnswer = 200_000
	slowPiece    = 4 << 10
	slowPause    = 500 * time.Millisecond
	slowPeriod   = 9 * time.Second
	// slowDeadline is the time limit of archive-pulls.
	slowDeadline = 12 * time.Second
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = time.Second
	// headBytes is the size of a head; max_header_bytes is 16,384.
	headBytes = 16_200
)

// runMemory lets clients that read slowly send heads of legal size to two of three machines.
// Like the platform, it kills a process that exceeds the memory of its machine.
func runMemory(r *run) error {
	if err := r.configure(1, map[string]bool{"docs": false}, []route{{name: "pull", prefix: "/pull/", kind: "download", service: "docs", timeout: slowDeadline.Seconds()}}); err != nil {
		return err
	}
	if err := r.startServers(memoryServers, "docs", false); err != nil {
		return err
	}
	if err := r.startHosts(3); err != nil {
		return err
	}
	var group sync.WaitGroup
	crowds := make([]crowd, 2)
	for i := range crowds {
		crowds[i] = crowd{run: r, host: r.hosts[i], answer: memoryAnswer, piece: slowPiece, pause: slowPause, shortFields: r.trouble, statuses: map[int]int{}}
		group.Go(func() { crowds[i].err = crowds[i].press() })
	}
	group.Wait()
	var err error
	for i := range crowds {
		c := &crowds[i]
		if c.err != nil {
			return c.err
		}
		text := fmt.Sprintf("%s: up to %d MB of %d, ended %d times; %d requests on kept channels that a sound server had run got no answer, %d a part of one",
			c.host.name, c.peak, memoryMB, c.kills, c.unanswered, c.incomplete)
		r.record.add("%s; answers by status, 0 for none: %v", text, c.statuses)
		fmt.Println(text)
		if c.kills > 0 && c.unanswered > maxLost {
			err = fmt.Errorf("%w: LOST: %s ended by itself, above its memory, and lost %d requests on kept channels, more than %d", errBroken, c.host.name, c.unanswered, maxLost)
		}
	}
	return err
}

// maxLost is how many requests the rule LOST lets a machine lose on kept channels.
const maxLost = 3

// crowd is the clients of one machine.
type crowd struct {
	run  *run
	host *host
	// answer is the size of an answer, of which a client reads a piece after each pause.
	answer, piece int
	pause         time.Duration
	// shortFields fills heads up with fields that have short names.
	shortFields bool
	err         error

	mu    sync.Mutex
	peak  int
	kills int
	// unanswered are requests that a server had run and that got no answer at all, and
	// incomplete those whose answer ended early.
	unanswered, incomplete int
	statuses               map[int]int
}

// press sends the requests of all clients.
func (c *crowd) press() error {
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		c.guard(stop)
	}()
	var clients sync.WaitGroup
	for i := range memoryClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * clientGap)
			c.client(fmt.Sprintf("%s-%d", c.host.name, i))
		})
	}
	clients.Wait()
	close(stop)
	<-watched
	select {
	case <-c.host.exited:
		time.Sleep(restartDelay)
		if err := c.host.start(c.run.root, c.run.dir); err != nil {
			return err
		}
	default:
	}
	return c.host.awaitReady(15 * time.Second)
}

// guard kills the process when it exceeds the memory of its machine: its own memory and the
// bytes that it has received and not read.
func (c *crowd) guard(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		own, err := residentBytes(c.host)
		if err != nil {
			return // it has ended
		}
		unread := unreadBytes(c.host)
		used := int((own + unread) >> 20)
		c.mu.Lock()
		c.peak = max(c.peak, used)
		c.mu.Unlock()
		if used > memoryMB {
			c.run.record.add("%s uses %d MB and has %d MB unread: more than its %d MB, the platform kills it", c.host.name, own>>20, unread>>20, memoryMB)
			c.host.kill()
			c.mu.Lock()
			c.kills++
			c.mu.Unlock()
			return
		}
	}
}

// residentBytes returns the memory that a process uses.
func residentBytes(h *host) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("no memory of %s", h.name)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// unreadBytes returns the bytes that wait in the channels of a host's clients, 0 if they are
// unknown.
func unreadBytes(h *host) (sum int64) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := hexAddress(h.callers)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 4 && fields[1] == local && fields[3] == "01" { // established
			_, queue, _ := strings.Cut(fields[4], ":")
			if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return sum
}

// hexAddress returns an IPv4 address with a port as /proc/net/tcp has it, or "".
func hexAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return ""
	}
	ip := address.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port())
}

// client sends one request and reads its answer slowly.
func (c *crowd) client(id string) {
	status, whole := c.exchange(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
	switch {
	case status == 0 && c.run.runsOf(id) > 0:
		c.unanswered++
		c.run.record.add("LOST: %s ran at a server and got no answer", id)
	case status == http.StatusOK && !whole:
		c.incomplete++
	}
}

// exchange returns the status of the answer, or 0, and false if its channel ended early.
func (c *crowd) exchange(id string) (status int, whole bool) {
	channel, err := net.DialTimeout("tcp", c.host.callers, time.Second)
	if err != nil {
		return 0, false
	}
	defer channel.Close()
	if channel.(*net.TCPConn).SetReadBuffer(2*c.piece) != nil || channel.SetDeadline(time.Now().Add(slowDeadline)) != nil {
		return 0, false
	}
	// A first small request makes the channel a kept one.
	in := bufio.NewReader(channel)
	if _, err := io.WriteString(channel, request("/pull/10-5", id+"-first")); err != nil {
		return 0, false
	}
	first, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil || first.Close {
		return 0, false
	}
	head := fmt.Sprintf("GET /pull/%d-%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", c.answer, memoryWork, clientHost, id, slowDeadline.Milliseconds())
	if c.shortFields {
		head += shortFields(headBytes - len(head) - 2)
	}
	c.run.record.add("%s sends %s, a head of %d bytes", c.host.name, id, len(head)+2)
	if _, err := io.WriteString(channel, head+"\r\n"); err != nil {
		return 0, false
	}
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false
	}
	for end := time.Now().Add(slowPeriod); time.Now().Before(end); time.Sleep(c.pause) {
		if _, err := io.CopyN(io.Discard, response.Body, int64(c.piece)); err != nil {
			return response.StatusCode, err == io.EOF
		}
	}
	_, err = io.Copy(io.Discard, response.Body) // the rest at once
	return response.StatusCode, err == nil
}

// shortFields returns header fields of a total size with names of two characters.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+.^_`|~"
	var b strings.Builder
	for _, x := range letters {
		for _, y := range letters {
			if b.Len()+6 <= size && (x != 't' || y != 'e') { // TE concerns one channel
				b.WriteString(string(x) + string(y) + ":\r\n")
			}
		}
	}
	return b.String()
}
