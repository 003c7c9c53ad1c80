package host

import (
	"context"
	"slices"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// eligibleAdmitter excludes the upstreams that the serving rules do not allow for
// a request's caller. It passes on requests that are pinned to the owner of their
// key, because ownership rules already decide which server may own a key.
type eligibleAdmitter struct {
	admission.Admitter
	follower *configsync.Follower
	servers  map[topology.ServiceName][]topology.ServerName
}

// Admit excludes the upstreams that may not serve the caller.
func (a eligibleAdmitter) Admit(ctx context.Context, request admission.Request, exclude []topology.ServerName) (admission.Ticket, error) {
	if request.Server != "" {
		return a.Admitter.Admit(ctx, request, exclude)
	}
	all := a.servers[request.Service]
	allowed := a.follower.Current().MayServe(request.Service, request.Caller)
	if len(allowed) == len(all) {
		return a.Admitter.Admit(ctx, request, exclude)
	}
	if len(allowed) == 0 {
		return nil, apierror.New(apierror.KindNoUpstream, "no upstream of %s may serve this caller", request.Service)
	}
	exclude = slices.Clone(exclude)
	for _, server := range all {
		if !slices.Contains(allowed, server) {
			exclude = append(exclude, server)
		}
	}
	return a.Admitter.Admit(ctx, request, exclude)
}
