package entry

import (
	"net/http"
	"strings"

	"github.com/cassiasill/cassiasill/internal/exchange"
)

// hopHeaders concern one connection only; the framing is set anew from the
// parsed length.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Content-Length": true,
}

// forwarded returns the headers of a request that go to the server.
func forwarded(in http.Header, names *exchange.Headers) http.Header {
	out := endToEnd(in)
	out.Del(names.DeadlineMillis)
	out.Del(names.ExpectInstance)
	return out
}

// returned returns the headers of a server's answer that go to the caller.
func returned(in http.Header, names *exchange.Headers) http.Header {
	out := endToEnd(in)
	out.Del(names.Load)
	out.Del(names.NotExecuted)
	return out
}

func endToEnd(in http.Header) http.Header {
	out := make(http.Header, len(in)+2)
	for name, values := range in {
		if !hopHeaders[name] && !namedBy(in["Connection"], name) {
			out[name] = values
		}
	}
	return out
}

func namedBy(connection []string, name string) bool {
	for _, list := range connection {
		for field := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}
