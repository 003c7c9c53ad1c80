package granter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// HeartbeatPath is where servers accept heartbeats.
const HeartbeatPath = "/cassiasill/grants"

// maxReplyBytes bounds a reply: 100,000 ranges of at most 60 bytes each.
const maxReplyBytes = 6 << 20

type httpGranter struct{ client *http.Client }

// NewHTTP returns a Granter that posts heartbeats as JSON to the server's
// address. The client's transport and the context bound the time.
func NewHTTP(client *http.Client) Granter { return &httpGranter{client: client} }

// Heartbeat posts one heartbeat.
func (g *httpGranter) Heartbeat(ctx context.Context, server topology.Server, heartbeat Heartbeat) (Reply, error) {
	reply, err := g.post(ctx, server.Address, heartbeat)
	if err != nil {
		return Reply{}, fmt.Errorf("heartbeat to %s: %w", server.Name, err)
	}
	return reply, nil
}

func (g *httpGranter) post(ctx context.Context, address string, heartbeat Heartbeat) (Reply, error) {
	var reply Reply
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return reply, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+HeartbeatPath, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := g.client.Do(request)
	if err != nil {
		return reply, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("status %s", answer.Status)
	}
	// The body is read to its end so that the connection is used again.
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes))
	if err != nil {
		return reply, err
	}
	err = json.Unmarshal(content, &reply)
	return reply, err
}
