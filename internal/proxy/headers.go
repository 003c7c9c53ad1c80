package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
)

// The headers of the protocol between callers, hosts and upstreams. The project
// reserves every header with ownPrefix.
const (
	ownPrefix          = "Cassiasill-"
	headerTimeout      = "Cassiasill-Timeout-Millis"
	headerFencingToken = "Cassiasill-Fencing-Token"
	headerDeadline     = "Cassiasill-Deadline-Millis"
	headerCaller       = "Cassiasill-Caller"
	headerReplayed     = "Cassiasill-Replayed"
	headerIdempotency  = "Idempotency-Key"
)

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1), and Trailer and Expect, which the handler answers itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	// The framing is set from the parsed length, never from the header.
	"Content-Length": true,
}

// checkHeaders refuses requests whose headers are too large.
func checkHeaders(header http.Header, limits Limits) error {
	size, fields := 0, 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
			fields++
		}
	}
	if size > limits.HeaderBytes || fields > limits.HeaderFields {
		return apierror.New(apierror.KindTooLarge, "the headers exceed %d bytes or %d fields", limits.HeaderBytes, limits.HeaderFields)
	}
	return nil
}

// copyHeaders copies the end-to-end headers from src to dst, without those of
// the project.
func copyHeaders(dst, src http.Header) {
	named := src["Connection"]
	for name, values := range src {
		if hopByHop[name] || isOwn(name) || namedBy(named, name) {
			continue
		}
		dst[name] = values
	}
}

func isOwn(name string) bool {
	return len(name) >= len(ownPrefix) && strings.EqualFold(name[:len(ownPrefix)], ownPrefix)
}

// namedBy reports whether a Connection header names the field as hop-by-hop.
func namedBy(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(token), name) {
				return true
			}
		}
	}
	return false
}

// timeoutOf returns the deadline span that the caller asks for or fallback.
func timeoutOf(header http.Header, fallback, limit time.Duration) (time.Duration, error) {
	values := header[headerTimeout]
	if len(values) == 0 {
		return min(fallback, limit), nil
	}
	millis, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || millis == 0 || len(values) > 1 {
		return 0, apierror.New(apierror.KindBadRequest, "%s is not one positive number of milliseconds", headerTimeout)
	}
	return min(time.Duration(millis)*time.Millisecond, limit), nil
}
