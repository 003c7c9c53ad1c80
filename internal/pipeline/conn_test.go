package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedConn returns the caller's bytes in pieces of random size.
type scriptedConn struct {
	net.Conn
	rest   string
	random *rand.Rand
	most   int // bytes of a piece
	// background is true while net/http watches the connection; reads may then be ended.
	background bool
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.background && c.random.IntN(4) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if c.rest == "" {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), 1+c.random.IntN(c.most))], c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *scriptedConn) Close() error { return nil }

// recorder is a Starter that starts up to depth requests.
type recorder struct {
	depth   int
	raw     map[uint64]string
	waiting int
	left    bool
	refuse  string // targets with this text are served in their turn
}

func (r *recorder) HasRoom() bool { return r.waiting < r.depth }
func (r *recorder) CallerLeft()   { r.left = true }
func (r *recorder) Closing()      {}
func (r *recorder) Start(number uint64, raw []byte) Decision {
	if r.refuse != "" && strings.Contains(string(raw), r.refuse) {
		return InTurn
	}
	if _, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw))); err != nil {
		return Stop
	}
	r.raw[number] = string(raw)
	r.waiting++
	return Started
}

// served is a request as net/http sees it.
type served struct {
	request *http.Request
	body    string
	raw     string
	number  uint64
}

// serveAll reads requests as net/http does: by a bufio.Reader that it keeps, and with a
// read of one byte while a request is being served. It returns the requests and the
// bytes that it got.
func serveAll(c *Conn, script *scriptedConn, starter *recorder) (requests []served, got string) {
	var delivered strings.Builder
	source := io.TeeReader(c, &delivered)
	var early []byte
	reader := bufio.NewReader(readerFunc(func(p []byte) (int, error) {
		if len(early) > 0 {
			n := copy(p, early)
			early = nil
			return n, nil
		}
		return source.Read(p)
	}))
	for !starter.left {
		before := delivered.Len() - reader.Buffered() - len(early)
		r, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			break
		}
		end := delivered.Len() - reader.Buffered()
		if _, started := starter.raw[c.Current()]; started {
			starter.waiting--
		}
		requests = append(requests, served{r, string(body), delivered.String()[before:end], c.Current()})
		if reader.Buffered() > 0 {
			continue
		}
		script.background = true
		var p [1]byte
		if n, _ := source.Read(p[:]); n == 1 {
			early = p[:]
		}
		script.background = false
	}
	return requests, delivered.String()
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

// reference is what net/http makes of the bytes without reading ahead.
func reference(data string) []string {
	source := strings.NewReader(data)
	reader := bufio.NewReader(source)
	var raw []string
	for start := 0; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return raw
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return raw
		}
		end := len(data) - source.Len() - reader.Buffered()
		raw = append(raw, data[start:end])
		start = end
	}
}

func serveScript(data string, seed uint64, most int, starter *recorder) ([]served, string) {
	script := &scriptedConn{rest: data, random: rand.New(rand.NewPCG(seed, 0)), most: most}
	c := NewConn(script, nil)
	c.SetStarter(starter)
	defer c.Close()
	return serveAll(c, script, starter)
}

// Guards against requests that are started with other boundaries than those that net/http
// sees, and against bytes that are lost, changed or reordered.
func FuzzBoundaries(f *testing.F) {
	post := "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"
	for _, s := range []string{
		strings.Repeat(get("/x"), 5), get("/1") + post + "12345" + get("/2"), get("/1") + "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n" + get("/3"),
		get("/1") + "garbage\r\n\r\n", "GET /1 HTTP/1.1\nHost: a\n\n" + get("/2"), get("/1") + "\r\n" + get("/2"), post + "12345\r\n" + get("/2"),
		"GET /1 HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n" + get("/2"), "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/2"),
		"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n12345" + get("/2"),
		"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n12345" + get("/2"),
		"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + get("/2"),
		"GET /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n" + get("/2"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n" + get("/3"), get("/1") + "GET /2%zz HTTP/1.1\r\nHost: a\r\n\r\n" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n" + get("/3"),
	} {
		f.Add(s, uint64(1), uint16(4096))
		f.Add(s, uint64(2), uint16(1))
	}
	f.Fuzz(func(t *testing.T, data string, seed uint64, most uint16) {
		starter := &recorder{depth: 16, raw: make(map[uint64]string)}
		requests, got := serveScript(data, seed, int(most)%8192+1, starter)
		assert.Assert(t, strings.HasPrefix(data, got), "%q was delivered", got)
		want := reference(data)
		for number, raw := range starter.raw {
			assert.Assert(t, number <= uint64(len(want)), "request %d was started: %q", number, raw)
			assert.Equal(t, raw, want[number-1], "request %d", number)
		}
		for i, r := range requests {
			assert.Equal(t, r.raw, want[i])
			if raw, started := starter.raw[r.number]; started && r.number == uint64(i+1) {
				assert.Equal(t, raw, r.raw)
			}
		}
	})
}

// Guards against requests that are started although they must wait, or are not although
// nothing speaks against it, however the bytes arrive.
func TestStartedRequests(t *testing.T) {
	body := "PUT /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345"
	chunked := "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	last := "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	cases := map[string]struct {
		data    string
		started []uint64 // if all bytes arrive at once
	}{
		"two":            {get("/1") + get("/2"), []uint64{2}},
		"behind a body":  {get("/1") + body + get("/3") + get("/4"), []uint64{3, 4}},
		"refused":        {get("/1") + get("/turn") + get("/3"), []uint64{3}},
		"unparsable":     {get("/1") + get("/2%zz") + get("/3"), nil},
		"chunked":        {get("/1") + get("/2") + chunked + get("/4"), []uint64{2}},
		"last":           {get("/1") + last + get("/3"), []uint64{2}},
		"HTTP/1.0":       {get("/1") + strings.Replace(get("/2"), "1.1", "1.0", 1) + get("/3"), nil},
		"garbage":        {get("/1") + get("/2") + "garbage\r\n" + get("/4"), []uint64{2}},
		"bare line feed": {get("/1") + strings.ReplaceAll(get("/2"), "\r", "") + get("/3"), nil},
		"huge head":      {get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n" + get("/3"), nil},
		"no host":        {get("/1") + "GET /2 HTTP/1.1\r\nX: y\r\n\r\n" + get("/3"), nil},
		"expect":         {get("/1") + strings.Replace(body, "Host", "Expect: 100-continue\r\nHost", 1) + get("/3"), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, most := range []int{1 << 20, 1} {
				starter := &recorder{depth: 16, raw: make(map[uint64]string), refuse: "/turn"}
				requests, _ := serveScript(c.data, 5, most, starter)
				assert.Assert(t, len(requests) > 0)
				for number := range starter.raw {
					assert.Assert(t, strings.Contains(c.data, starter.raw[number]))
				}
				if most > 1 {
					assert.DeepEqual(t, slices.Sorted(maps.Keys(starter.raw)), c.started)
				}
			}
		})
	}
}

// countingBudget has a limited number of bytes.
type countingBudget struct{ left int64 }

func (b *countingBudget) TryAcquire(n int64) bool {
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}
func (b *countingBudget) Release(n int64) { b.left += n }

// Guards against more bytes or requests than the bounds allow, against a budget that
// isn't given back, and against requests that a bound loses.
func TestBounds(t *testing.T) {
	for _, available := range []int64{0, minBufferBytes, 1 << 20} {
		budget := &countingBudget{left: available}
		script := &scriptedConn{rest: strings.Repeat(get("/x"), 2000), random: rand.New(rand.NewPCG(1, 1)), most: 1 << 20}
		starter := &recorder{depth: 3, raw: make(map[uint64]string)}
		c := NewConn(script, budget)
		c.SetStarter(starter)
		requests, got := serveAll(c, script, starter)
		// The end of the connection ends those that are in progress.
		assert.Assert(t, len(requests) >= 2000-starter.depth, "%d requests", len(requests))
		assert.Assert(t, len(got) >= len(requests)*len(get("/x")))
		assert.Assert(t, starter.waiting <= 3)
		assert.Assert(t, available == 0 || len(starter.raw) > 1000)
		assert.NilError(t, c.Close())
		assert.Equal(t, budget.left, available)
	}
	b := buffer{}
	assert.Assert(t, b.add(make([]byte, maxBufferBytes)))
	assert.Assert(t, !b.add(make([]byte, 1)) && len(b.tail()) == 0)
}

// Guards against the end of a connection that is noticed only after the response.
func TestEndIsNoticedBehindStartedRequests(t *testing.T) {
	for _, behind := range []string{"", "GET /3 HT", "garbage\r\n"} {
		script := &scriptedConn{rest: get("/1") + get("/2") + behind, random: rand.New(rand.NewPCG(1, 1)), most: 1 << 20}
		starter := &recorder{depth: 16, raw: make(map[uint64]string)}
		c := NewConn(script, nil)
		c.SetStarter(starter)
		_, err := http.ReadRequest(bufio.NewReader(c))
		assert.NilError(t, err)
		_, err = c.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, io.EOF) && starter.left, "%q: %v", behind, err)
		assert.Equal(t, len(starter.raw), 1)
	}
}
