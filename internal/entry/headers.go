package entry

import (
	"net/http"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/headers"
)

// forwarded returns the headers of a request that go to the server.
func forwarded(in http.Header, names *exchange.Headers) http.Header {
	out := make(http.Header, len(in)+2)
	headers.CopyEndToEnd(out, in, nil)
	out.Del(names.DeadlineMillis)
	out.Del(names.ExpectInstance)
	return out
}

// returned returns the headers of a server's answer that go to the caller.
func returned(in http.Header, names *exchange.Headers) http.Header {
	out := make(http.Header, len(in)+2)
	headers.CopyEndToEnd(out, in, nil)
	out.Del(names.Load)
	out.Del(names.NotExecuted)
	return out
}
