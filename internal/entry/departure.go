package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// stage is how far a request has come. It tells where requests were when their
// callers left.
type stage string

// The stages in the order in which a request passes them. A retry goes back to
// stageRetrying.
const (
	stageReading       stage = "reading"        // its body is being read
	stageWaiting       stage = "waiting"        // for a dispatcher of this process to choose a server
	stageWaitingRemote stage = "waiting-remote" // for a dispatcher on another host
	stageConnecting    stage = "connecting"     // a server is chosen, and nothing is sent to it yet
	stageSent          stage = "sent"           // the server has the request and has not responded
	stageRetrying      stage = "retrying"       // between two attempts
	stageReady         stage = "ready"          // the response waits for those to the requests before it
	stageResponding    stage = "responding"     // the response is being written
)

// occupiesServer reports whether a server may be working on a request in the stage.
func (s stage) occupiesServer() bool { return s == stageSent || s == stageResponding }

// waitingStage returns the stage of a request that waits for a server of the service.
func (h *Handler) waitingStage(service string) stage {
	if h.Placer.DispatchesRemotely(service) {
		return stageWaitingRemote
	}
	return stageWaiting
}

// endDeparted ends a request whose caller has left: it logs and counts where the
// request was, and closes the caller's connection.
func (h *Handler) endDeparted(q *request) {
	h.recordDeparted(q)
	panic(http.ErrAbortHandler)
}

// recordDeparted logs and counts where a request was when its caller left.
func (h *Handler) recordDeparted(q *request) {
	now := time.Now()
	unseen := max(now.Sub(q.caller.lastSeen()), 0)
	h.Metrics.recordResult(q.route, "canceled", now.Sub(q.started))
	h.Metrics.recordDeparture(q.stage, unseen)
	server := ""
	if n := len(q.attemptedServers); n > 0 && q.stage.occupiesServer() {
		server = q.attemptedServers[n-1]
	}
	h.Log.Info("entry: caller left", zap.String("request", q.id), zap.String("stage", string(q.stage)), zap.String("service", q.service),
		zap.Duration("after", now.Sub(q.started)), zap.Duration("last_seen", unseen), zap.String("server", server), zap.Int("attempts", len(q.attemptedServers)))
}
