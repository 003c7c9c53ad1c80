package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendPipelined opens a connection and sends requests in one segment. Each consists of a
// method and a target; its id is its target.
func sendPipelined(t *testing.T, p *testHost, requests ...string) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	var data strings.Builder
	for _, r := range requests {
		method, target, _ := strings.Cut(r, " ")
		data.WriteString(requestHead(method, target, target) + "\r\n")
	}
	c := dialHost(t, p)
	assert.NilError(t, c.SetDeadline(time.Now().Add(15*time.Second)))
	_, err := io.WriteString(c, data.String())
	assert.NilError(t, err)
	return c, bufio.NewReader(c)
}

// readResponse reads the next response.
func readResponse(t *testing.T, reader *bufio.Reader) (status int, id, body string, closing bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header.Get("X-Id"), string(data), response.Close
}

// respondTarget responds with the target, slowly to targets with "slow".
func respondTarget(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.RequestURI, "slow") {
		time.Sleep(50 * time.Millisecond)
	}
	w.Header().Set("X-Signature", "s")
	_, _ = io.WriteString(w, "body of "+r.RequestURI)
}

func checkOwnResponse(t *testing.T, reader *bufio.Reader, target string) (closing bool) {
	t.Helper()
	status, id, body, closing := readResponse(t, reader)
	assert.Equal(t, fmt.Sprintf("%d %s %s", status, id, body), fmt.Sprintf("200 %s body of %s", target, target))
	return closing
}

// gatedServer keeps each request until it is let through.
type gatedServer struct {
	began, ended chan string
	gate         chan struct{}
}

func newGatedServer() *gatedServer {
	return &gatedServer{began: make(chan string, 200), ended: make(chan string, 200), gate: make(chan struct{})}
}

func (s *gatedServer) serve(w http.ResponseWriter, r *http.Request) {
	s.began <- r.Header.Get("X-Id")
	select {
	case <-s.gate:
		respondTarget(w, r)
	case <-r.Context().Done():
		s.ended <- r.Header.Get("X-Id")
	}
}

// receiveAll returns the next n values in ascending order.
func receiveAll(c <-chan string, n int) (values []string) {
	for range n {
		values = append(values, receive(c, 5*time.Second))
	}
	slices.Sort(values)
	return values
}

func targets(n int) (requests []string) {
	for i := range n {
		requests = append(requests, fmt.Sprintf("GET /safe/%02d", i))
	}
	return requests
}

func same(f http.HandlerFunc, n int) []http.HandlerFunc {
	return slices.Repeat([]http.HandlerFunc{f}, n)
}

// Guards against pipelined requests that wait for those ahead of them.
func TestPipelinedRequestsRunAtTheSameTime(t *testing.T) {
	server := newGatedServer()
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(server.serve, 8)...)
	requests := targets(8)
	_, reader := sendPipelined(t, p, requests...)
	for i, id := range receiveAll(server.began, 8) { // none responds before all have begun
		assert.Equal(t, "GET "+id, requests[i])
	}
	close(server.gate)
	for _, r := range requests {
		checkOwnResponse(t, reader, r[4:])
	}
}

// Guards against responses that are lost, incomplete or in another order than their
// requests, however these arrive.
func TestPipelinedResponsesAreInOrder(t *testing.T) {
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(respondTarget, 8)...)
	for _, n := range []int{2, 8, 100} {
		requests := targets(n)
		requests[0] += "/slow"
		_, reader := sendPipelined(t, p, requests...)
		for _, r := range requests {
			checkOwnResponse(t, reader, r[4:])
		}
	}
	_, reader := sendPipelined(t, p, "GET /safe/slow", "HEAD /safe/head", "GET /safe/1")
	checkOwnResponse(t, reader, "/safe/slow")
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get("X-Id"), "/safe/head")
	checkOwnResponse(t, reader, "/safe/1")
	c, reader := sendPipelined(t, p, "GET /safe/slow")
	for _, b := range []byte(nextRequest + nextRequest) {
		_, err := c.Write([]byte{b})
		assert.NilError(t, err)
	}
	checkOwnResponse(t, reader, "/safe/slow")
	for range 2 {
		_, _, body, _ := readResponse(t, reader)
		assert.Equal(t, body, "body of /safe/next")
	}
}

// Guards against requests that run although an earlier one, which may run only in its
// turn, has not been taken up.
func TestRequestInTurnHoldsThoseBehindIt(t *testing.T) {
	body := requestHead("PUT", "/safe/1", "/safe/1") + "Content-Length: 4\r\n\r\nbody"
	for _, second := range []string{requestHead("POST", "/unsafe/1", "/unsafe/1") + "Content-Length: 0\r\n\r\n", requestHead("GET", "/unsafe/1", "/unsafe/1") + "\r\n", body} {
		server := newGatedServer()
		p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(server.serve, 4)...)
		c, reader := sendPipelined(t, p, "GET /safe/0")
		_, err := io.WriteString(c, second+requestHead("GET", "/safe/2", "/safe/2")+"\r\n")
		assert.NilError(t, err)
		assert.Equal(t, receive(server.began, 5*time.Second), "/safe/0")
		assert.Equal(t, receive(server.began, 100*time.Millisecond), "")
		server.gate <- struct{}{}
		checkOwnResponse(t, reader, "/safe/0")
		began := receiveAll(server.began, 2)
		close(server.gate)
		assert.Assert(t, slices.Contains(began, "/safe/2"), "%v", began)
		checkOwnResponse(t, reader, strings.Fields(second)[1])
		checkOwnResponse(t, reader, "/safe/2")
	}
}

// Guards against requests that run behind one that ends the connection or whose end is
// not certain.
func TestNothingRunsBehindAnUnclearOrLastRequest(t *testing.T) {
	get := requestHead("GET", "/safe/1", "/safe/1") + "\r\n"
	for name, second := range map[string]string{"garbage": "garbage\r\n\r\n", "HTTP/1.0": strings.Replace(get, "HTTP/1.1", "HTTP/1.0", 1),
		"last": strings.Replace(get, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)} {
		p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(respondTarget, 4)...)
		c, reader := sendPipelined(t, p, "GET /safe/slow")
		_, err := io.WriteString(c, second+nextRequest)
		assert.NilError(t, err)
		checkOwnResponse(t, reader, "/safe/slow")
		executions := int64(1)
		if name == "garbage" {
			status, _, _, closing := readResponse(t, reader)
			assert.Assert(t, status == http.StatusBadRequest && closing)
		} else {
			assert.Assert(t, checkOwnResponse(t, reader, "/safe/1"))
			executions++
		}
		_, err = reader.ReadByte()
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%s: more than the responses", name)
		assert.Equal(t, p.executions.Load(), executions, name)
	}
}

// Guards against a failure that changes the responses to the requests around it.
func TestFailuresInAPipelineStayTheirOwn(t *testing.T) {
	p := newTestHostWith(t, testHostOptions{timeout: time.Second}, same(func(w http.ResponseWriter, r *http.Request) {
		switch r.RequestURI {
		case "/safe/refused":
			refuse(w, r)
		case "/safe/late":
			<-r.Context().Done()
		case "/safe/broken":
			closeConnection(w, r)
		default:
			respondTarget(w, r)
		}
	}, 12)...) // enough servers for each second attempt beside those that failed
	_, reader := sendPipelined(t, p, "GET /safe/0", "GET /safe/refused", "GET /safe/1", "GET /safe/late", "GET /safe/broken", "GET /elsewhere/x", "GET /safe/2")
	for _, c := range []struct {
		target string
		status int
	}{{"/safe/0", 200}, {"/safe/refused", 503}, {"/safe/1", 200}, {"/safe/late", 504}, {"/safe/broken", 502}, {"/elsewhere/x", 404}, {"/safe/2", 200}} {
		if c.status == 200 {
			checkOwnResponse(t, reader, c.target)
			continue
		}
		status, id, _, closing := readResponse(t, reader)
		assert.Equal(t, fmt.Sprint(status, id, closing), fmt.Sprint(c.status, c.target, false))
	}
}

// Guards against servers that work on for callers that have left, and against departures
// that are logged not once for each request.
func TestStartedRequestsEndWhenTheirCallerLeaves(t *testing.T) {
	for name, leave := range departures {
		if strings.Contains(name, "behind a next request") {
			continue
		}
		server := newGatedServer()
		p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(server.serve, 4)...)
		c, _ := sendPipelined(t, p, targets(4)...)
		began := receiveAll(server.began, 4)
		leave(t, c)
		var ended []string
		for range began {
			ended = append(ended, receive(server.ended, maxWorkAfterDeparture))
		}
		slices.Sort(ended)
		assert.DeepEqual(t, ended, began)
		for _, id := range began {
			checkDepartureLog(t, p, id, stageSent)
		}
		waitFor(t, func() bool { return p.handler.readAhead.waitingCount() == 0 })
	}
}

// Guards against a truncated response that is followed by others, and against servers
// that work on for them.
func TestBrokenOffResponseCancelsThoseBehindIt(t *testing.T) {
	server := newGatedServer()
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == "/safe/large" {
			time.Sleep(50 * time.Millisecond) // until the others have begun
			abortLargeResponse(w, r)
		}
		server.serve(w, r)
	}, 4)...)
	_, reader := sendPipelined(t, p, "GET /safe/large", "GET /safe/1", "GET /safe/2")
	assert.DeepEqual(t, receiveAll(server.began, 2), []string{"/safe/1", "/safe/2"})
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, receiveAll(server.ended, 2), []string{"/safe/1", "/safe/2"})
	waitFor(t, func() bool { return p.logs.FilterMessage("entry: started request canceled").Len() == 2 })
}
