package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatPeriod is how often a server writes its entry.
const heartbeatPeriod = 800 * time.Millisecond

// server is an upstream server that speaks as PROTOCOL.md describes.
type server struct {
	id, service, address string
	slots                int
	sharded              bool
	born                 int64
	record               *record
	listener             net.Listener
	// answer writes the answer to a request that runs. It reports whether the channel may
	// be kept. Nil: answerPath.
	answer func(s *server, c net.Conn, r *http.Request) bool
	// limit holds an entry for each request that runs, if it is not nil.
	limit chan struct{}

	mu      sync.Mutex
	runs    map[string]int // by Attempt-Id
	highest map[int]int64  // highest fencing token seen, by key
	until   map[int]time.Time
}

func startServer(store *platformStore, rec *record, id, service string, sharded bool) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: listener.Addr().String(), slots: 2, sharded: sharded, born: time.Now().UnixMilli(), record: rec, listener: listener,
		runs: make(map[string]int), highest: make(map[int]int64), until: make(map[int]time.Time)}
	go s.accept()
	if err := s.beat(store, 1); err != nil {
		return nil, err
	}
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(heartbeatPeriod)
			if err := s.beat(store, seq); err != nil {
				rec.add("server %s: no heartbeat: %v", id, err)
			}
		}
	}()
	return s, nil
}

func (s *server) beat(store *platformStore, seq int) error {
	return store.put("servers/"+s.id, map[string]any{"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "capacity": s.slots,
		"state": "ready", "warmup_left_s": 0, "seq": seq, "born": s.born})
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the requests on one channel, one after another.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			s.record.add("server %s: the body of %s broke off", s.id, r.Header.Get("Attempt-Id"))
			return
		}
		if !s.handle(c, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the channel may be kept.
func (s *server) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Attempt-Id")
	if meant := r.Header.Get("Expect-Instance"); meant != "" && meant != s.id {
		return s.write(c, http.StatusMisdirectedRequest, "Instance-Id: "+s.id+"\r\nNot-Executed: 1\r\nAttempt-Id: "+id+"\r\n", nil)
	}
	switch {
	case r.URL.Path == "/healthz":
		return s.write(c, http.StatusOK, "Instance-Id: "+s.id+"\r\n", nil)
	case r.URL.Path == "/v1/grant" || r.URL.Path == "/v1/release":
		return s.order(c, r.URL.Path == "/v1/grant", body)
	case s.sharded && !s.holds(r.Header.Get("Shard-Key")):
		return s.write(c, http.StatusMisdirectedRequest, "Instance-Id: "+s.id+"\r\nNot-Executed: 1\r\nAttempt-Id: "+id+"\r\n", nil)
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.record.add("server %s runs %s %s, attempt %s", s.id, r.Method, r.RequestURI, id)
	if s.answer != nil {
		return s.answer(s, c, r)
	}
	return s.answerPath(c, r)
}

// answerPath answers a path that ends with /SIZE-MILLISECONDS after that time with a body of
// that size.
func (s *server) answerPath(c net.Conn, r *http.Request) bool {
	size, work := sizeAndWork(r.URL.Path)
	if s.limit != nil {
		s.limit <- struct{}{}
		defer func() { <-s.limit }()
	}
	time.Sleep(work)
	return s.write(c, http.StatusOK, s.receipt(r), bodyOf(r.Header.Get("Attempt-Id"), size))
}

// sizeAndWork parses the end of a path.
func sizeAndWork(path string) (int, time.Duration) {
	first, second, _ := strings.Cut(path[strings.LastIndexByte(path, '/')+1:], "-")
	size, err := strconv.Atoi(first)
	millis, workErr := strconv.Atoi(second)
	if err != nil || workErr != nil {
		return 0, 0
	}
	return size, time.Duration(millis) * time.Millisecond
}

// bodyOf returns the body of a size for a request. It differs for each request.
func bodyOf(id string, size int) []byte {
	return []byte(strings.Repeat(id+" ", size/(len(id)+1)+1)[:size])
}

// receipt returns the headers of a success.
func (s *server) receipt(r *http.Request) string {
	id := r.Header.Get("Attempt-Id")
	return "Attempt-Id: " + id + "\r\nServer-Signature: " + s.id + "." + id + "\r\nKeep-Alive: timeout=10\r\nServer-Load: 1,0," + strconv.Itoa(s.slots) + "\r\n"
}

// write writes an answer with a length.
func (s *server) write(c net.Conn, status int, headers string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), headers, len(body))
	_, err := c.Write(append([]byte(head), body...))
	return err == nil
}

// ran returns how often the request ran at this server.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// order carries out a grant or a release.
func (s *server) order(c net.Conn, grant bool, body []byte) bool {
	arrival := time.Now()
	var in struct {
		From  int     `json:"from"`
		To    int     `json:"to"`
		Fence int64   `json:"fence"`
		Hold  float64 `json:"hold_s"`
	}
	if json.Unmarshal(body, &in) != nil || in.From > in.To {
		return s.write(c, http.StatusBadRequest, "", nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := in.From; grant && key <= in.To; key++ {
		if s.highest[key] > in.Fence {
			return s.write(c, http.StatusConflict, "", nil)
		}
	}
	for key := in.From; key <= in.To; key++ {
		s.highest[key] = max(s.highest[key], in.Fence)
		if grant {
			s.until[key] = arrival.Add(time.Duration(in.Hold * float64(time.Second)))
		} else {
			delete(s.until, key)
		}
	}
	s.record.add("server %s: grant %v of %d to %d, token %d", s.id, grant, in.From, in.To, in.Fence)
	if grant {
		return s.write(c, http.StatusOK, "", nil)
	}
	return s.write(c, http.StatusOK, "Handover: h-"+s.id+"\r\n", nil)
}

// holds reports whether the server holds the key of a request.
func (s *server) holds(key string) bool {
	n, err := strconv.Atoi(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return err == nil && time.Now().Before(s.until[n])
}
