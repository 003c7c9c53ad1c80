package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is what a client got for a request.
type outcome struct {
	status    int // 0 if the channel ended without a whole answer
	signature string
	length    int
	bodyHash  string
	err       error
}

// send sends one request on a new channel and reads the answer to its end.
func send(ctx context.Context, h *host, id, method, target, body string, key int, limit time.Duration) outcome {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers()+target, strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.GetBody = nil // nothing is sent twice
	request.Host = routeHost
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	request.Header.Set("Accept-Encoding", "identity")
	if key >= 0 {
		request.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{err: err}
	}
	sum := sha256.Sum256(text)
	return outcome{status: response.StatusCode, signature: response.Header.Get("Server-Signature"), length: len(text), bodyHash: hex.EncodeToString(sum[:8])}
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("no whole answer: %v", o.err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, hash %s", o.status, o.signature, o.length, o.bodyHash)
}
