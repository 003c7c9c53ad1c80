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

// HeartbeatPath is the path at which servers accept heartbeats.
const HeartbeatPath = "/cassiasill/grants"

// maxReplyBytes bounds a reply. It has room for 100,000 ranges of at most 60 bytes
// each.
const maxReplyBytes = 6 << 20

type httpGranter struct{ client *http.Client }

// NewHTTP returns a Granter that posts heartbeats as JSON to the server's address.
// Timeouts come from the client and the context.
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
	response, err := g.client.Do(request)
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("status %s", response.Status)
	}
	// The body is read to its end so that the connection can be reused.
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply, err
	}
	err = json.Unmarshal(content, &reply)
	return reply, err
}
