package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb/peerpbconnect"
)

// Witness handles requests for leadership promises.
type Witness interface {
	Promise(ctx context.Context, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error)
	Seal(ctx context.Context, request *peerpb.SealRequest) (*peerpb.SealResponse, error)
}

// Syncer handles pulls of topics.
type Syncer interface {
	Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error)
}

// ClaimReserver handles claims of idempotency keys.
type ClaimReserver interface {
	Reserve(ctx context.Context, request *peerpb.ReserveRequest) (*peerpb.ReserveResponse, error)
}

// maxMessageBytes bounds a message. The largest one is the response to the first
// pull of a restarted host.
const maxMessageBytes = 64 << 20

// minCompressBytes is the size from which responses are compressed. Compressing
// smaller ones costs more than it saves: a quarter of the CPU time of idle hosts.
const minCompressBytes = 4 << 10

// handler implements the connect service with the three handlers of its requests.
type handler struct {
	witness Witness
	syncer  Syncer
	keeper  ClaimReserver
}

// NewHandler returns the path and the handler of the peer service.
func NewHandler(witness Witness, syncer Syncer, keeper ClaimReserver) (string, http.Handler) {
	h := handler{witness: witness, syncer: syncer, keeper: keeper}
	return peerpbconnect.NewPeerServiceHandler(h, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes))
}

func (h handler) Promise(ctx context.Context, r *connect.Request[peerpb.PromiseRequest]) (*connect.Response[peerpb.PromiseResponse], error) {
	return handle(ctx, r, h.witness.Promise)
}

func (h handler) Seal(ctx context.Context, r *connect.Request[peerpb.SealRequest]) (*connect.Response[peerpb.SealResponse], error) {
	return handle(ctx, r, h.witness.Seal)
}

func (h handler) Sync(ctx context.Context, r *connect.Request[peerpb.SyncRequest]) (*connect.Response[peerpb.SyncResponse], error) {
	return handle(ctx, r, h.syncer.Sync)
}

func (h handler) Reserve(ctx context.Context, r *connect.Request[peerpb.ReserveRequest]) (*connect.Response[peerpb.ReserveResponse], error) {
	return handle(ctx, r, h.keeper.Reserve)
}

// handle calls method and wraps its result for connect.
func handle[Req, Res any](ctx context.Context, request *connect.Request[Req], method func(context.Context, *Req) (*Res, error)) (*connect.Response[Res], error) {
	response, err := method(ctx, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}
