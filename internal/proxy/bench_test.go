package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// benchmarkPair returns two URLs of an upstream, one direct and one through the
// handler, and a client that does not limit its connections.
func benchmarkPair(b *testing.B) (urls [2]string, client *http.Client) {
	body := make([]byte, 512)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(apierror.HeaderRequestID, r.Header.Get(apierror.HeaderRequestID))
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write(body)
	}))
	b.Cleanup(up.Close)
	h := newHarness(b, func(o *Options) {
		address := up.Listener.Addr().String()
		for i := range o.Services {
			o.Services[i].Servers = []topology.Server{{Name: "s0", Address: address}}
		}
		o.Limits.MaxConnsPerUpstream = 64
		o.Quarantine = quarantine.New(1, 0)
		o.Admitter = immediateAdmitter{}
	})
	client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	b.Cleanup(client.CloseIdleConnections)
	return [2]string{up.URL + "/keyed/k/stock", h.server.URL + "/keyed/k/stock"}, client
}

func get(b *testing.B, client *http.Client, url string) {
	response, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// BenchmarkAddedLatency sends each request once directly and once through the
// handler, and reports the difference between their latency percentiles.
func BenchmarkAddedLatency(b *testing.B) {
	urls, client := benchmarkPair(b)
	var spans [2][]time.Duration
	for b.Loop() {
		for i, url := range urls {
			start := time.Now()
			get(b, client, url)
			spans[i] = append(spans[i], time.Since(start))
		}
	}
	at := func(i int, share float64) float64 {
		slices.Sort(spans[i])
		return float64(spans[i][int(share*float64(len(spans[i])-1))].Microseconds())
	}
	b.ReportMetric(at(0, 0.5), "direct-p50-µs")
	b.ReportMetric(at(1, 0.5)-at(0, 0.5), "added-p50-µs")
	b.ReportMetric(at(1, 0.99)-at(0, 0.99), "added-p99-µs")
}

// BenchmarkThroughput compares the requests per second over 32 connections, and
// the memory allocated per request, directly and through the handler.
func BenchmarkThroughput(b *testing.B) {
	urls, client := benchmarkPair(b)
	var spans [2]time.Duration
	var allocated [2]uint64
	for i, url := range urls {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		var clients sync.WaitGroup
		for range 32 {
			clients.Go(func() {
				for range b.N/32 + 1 {
					get(b, client, url)
				}
			})
		}
		clients.Wait()
		spans[i] = time.Since(start)
		runtime.ReadMemStats(&after)
		allocated[i] = after.TotalAlloc - before.TotalAlloc
	}
	n := float64((b.N/32 + 1) * 32)
	b.ReportMetric(n/spans[1].Seconds(), "proxied-requests/s")
	b.ReportMetric(spans[0].Seconds()/spans[1].Seconds(), "proxied/direct")
	b.ReportMetric((float64(allocated[1])-float64(allocated[0]))/n, "added-B/request")
}

// BenchmarkIdleConnections reports the memory per idle caller connection that
// has sent one request. Both ends of the connection are in this process.
func BenchmarkIdleConnections(b *testing.B) {
	// Both ends count against the limit of 20,000 file descriptors.
	const connections = 8_000
	for b.Loop() {
		urls, _ := benchmarkPair(b)
		address := urls[1][len("http://") : len(urls[1])-len("/keyed/k/stock")]
		before := memory()
		conns := make([]net.Conn, 0, connections)
		response := make([]byte, 4096)
		for range connections {
			conn, err := net.Dial("tcp", address)
			assert.NilError(b, err)
			conns = append(conns, conn)
			_, err = io.WriteString(conn, "GET /keyed/k/stock HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.NilError(b, err)
			_, err = conn.Read(response)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(memory()-before)/connections, "B/connection")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// memory returns the bytes used by heap and stacks after a garbage collection.
func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// immediateAdmitter admits every request at once so that the benchmarks measure
// only the handler.
type immediateAdmitter struct{}

func (immediateAdmitter) Admit(_ context.Context, _ admission.Request, _ []topology.ServerName) (admission.Ticket, error) {
	return immediateTicket{}, nil
}

type immediateTicket struct{}

func (immediateTicket) Server() topology.ServerName           { return "s0" }
func (immediateTicket) Done(admission.Outcome, time.Duration) {}
