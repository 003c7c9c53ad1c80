package entry

import (
	"net/http"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/headers"
)

// upstreamRequestHeaders returns the request headers that are sent to the server.
func upstreamRequestHeaders(in http.Header, names *exchange.HeaderNames) http.Header {
	out := make(http.Header, len(in)+2)
	headers.CopyEndToEnd(out, in, nil)
	out.Del(names.DeadlineMillis)
	out.Del(names.ExpectInstance)
	return out
}

// callerResponseHeaders returns the response headers that are sent to the caller.
func callerResponseHeaders(in http.Header, names *exchange.HeaderNames) http.Header {
	out := make(http.Header, len(in)+2)
	headers.CopyEndToEnd(out, in, nil)
	out.Del(names.Load)
	out.Del(names.NotExecuted)
	out.Del(names.RateLimit)
	return out
}
